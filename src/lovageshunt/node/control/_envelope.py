"""What one node sends another in one exchange, and its wire form."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
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
        'snapshots',
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
        #: Accounts to keep, in their wire form.
        self.snapshots: list[bytes] = []


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
        'snapshots': [orjson.Fragment(raw) for raw in envelope.snapshots],
    }
    if envelope.digest is not None:
        fields['digest'] = envelope.digest.as_dict()
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
    envelope.snapshots = [
        orjson.dumps(one) for one in fields.get('snapshots', ())
    ]
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
