"""What one node sends another in one exchange, and its wire form."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
from lovageshunt.account import AccountSnapshot, snapshot_from_dict
from lovageshunt.errors import (
    LovageshuntError,
    MalformedEnvelopeError,
)
from lovageshunt.membership import Bulletin, MembershipDigest
from lovageshunt.retries import SuspectReport, Suspicion
from lovageshunt.rules import Message, decode_message, encode_message

#: A longer envelope is refused unread.
MAX_ENVELOPE_BYTES: Final = 2_000_000


class Envelope(Record):
    """Everything that waits to be told to one peer.

    ``sender``, ``incarnation`` and ``address`` (the admin address) say who
    tells it.
    """

    __slots__ = (
        'sender',
        'incarnation',
        'address',
        'rules',
        'bulletins',
        'digest',
        'suspects',
        'snapshot',
    )

    def __init__(
        self,
        *,
        sender: str,
        incarnation: str,
        address: str,
    ) -> None:
        """Begin with nothing but who sends it."""
        self.sender = sender
        self.incarnation = incarnation
        self.address = address
        self.rules: list[Message] = []
        self.bulletins: list[Bulletin] = []
        self.digest: MembershipDigest | None = None
        self.suspects: list[SuspectReport] = []
        self.snapshot: AccountSnapshot | None = None


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as compact JSON; what is empty is left out."""
    fields: dict[str, Any] = {
        'sender': envelope.sender,
        'incarnation': envelope.incarnation,
        'address': envelope.address,
        'rules': [
            orjson.Fragment(encode_message(message))
            for message in envelope.rules
        ],
        'bulletins': [one.as_dict() for one in envelope.bulletins],
        'suspects': [one.as_dict() for one in envelope.suspects],
    }
    if envelope.digest is not None:
        fields['digest'] = envelope.digest.as_dict()
    if envelope.snapshot is not None:
        fields['snapshot'] = envelope.snapshot.as_dict()
    kept = {name: part for name, part in fields.items() if part}
    return orjson.dumps(kept)


def decode_envelope(body: bytes) -> Envelope:
    """Return the envelope in JSON; raises ``MalformedEnvelopeError``."""
    try:
        return _envelope_of(orjson.loads(body))
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error
    except LovageshuntError as error:
        raise MalformedEnvelopeError(str(error)) from error


def _envelope_of(fields: dict[str, Any]) -> Envelope:
    envelope = Envelope(
        sender=_text(fields['sender']),
        incarnation=_text(fields['incarnation']),
        address=_text(fields['address']),
    )
    envelope.rules = [_rules_of(one) for one in fields.get('rules', ())]
    envelope.bulletins = [
        Bulletin.from_fields(one) for one in fields.get('bulletins', ())
    ]
    envelope.suspects = [
        SuspectReport(
            fingerprint=_text(one['fingerprint']),
            suspicion=Suspicion(one['suspicion']),
        )
        for one in fields.get('suspects', ())
    ]
    digest = fields.get('digest')
    if digest is not None:
        envelope.digest = MembershipDigest.from_fields(digest)
    snapshot = fields.get('snapshot')
    if snapshot is not None:
        envelope.snapshot = snapshot_from_dict(snapshot)
    return envelope


def _rules_of(content: Any) -> Message:
    decoded = decode_message(orjson.dumps(content))
    if decoded.is_error():
        raise decoded.error
    return decoded.ok


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError('text was expected')
    return content
