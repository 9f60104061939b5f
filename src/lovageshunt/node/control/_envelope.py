"""The message that nodes exchange, and its JSON encoding."""

from typing import Any, Final

import orjson

from lovageshunt._record import Record
from lovageshunt.errors import (
    LovageshuntError,
    MalformedEnvelopeError,
)
from lovageshunt.membership import Bulletin, MembershipDigest
from lovageshunt.retries import SuspectReport
from lovageshunt.rules import Message, decode_message, encode_message

#: A longer envelope is rejected unread.
MAX_ENVELOPE_BYTES: Final = 2_000_000


class Envelope(Record):
    """Holds the pending updates for one peer.

    ``sender``, ``incarnation`` and ``address`` (its admin address, IP:PORT)
    identify the sending node. ``snapshots`` are account snapshots in their
    wire form.
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
        self.sender = sender
        self.incarnation = incarnation
        self.address = address
        self.rules: list[Message] = []
        self.bulletins: list[Bulletin] = []
        self.digest: MembershipDigest | None = None
        self.suspects: list[SuspectReport] = []
        self.snapshots: list[bytes] = []


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as compact JSON, without empty fields."""
    fields: dict[str, Any] = {
        'sender': envelope.sender,
        'incarnation': envelope.incarnation,
        'address': envelope.address,
        'rules': [
            orjson.Fragment(encode_message(message))
            for message in envelope.rules
        ],
        'bulletins': [item.as_dict() for item in envelope.bulletins],
        'suspects': [item.as_dict() for item in envelope.suspects],
        'snapshots': [orjson.Fragment(raw) for raw in envelope.snapshots],
    }
    if envelope.digest is not None:
        fields['digest'] = envelope.digest.as_dict()
    non_empty = {name: part for name, part in fields.items() if part}
    return orjson.dumps(non_empty)


def decode_envelope(body: bytes) -> Envelope:
    """Decode an envelope; raises ``MalformedEnvelopeError``."""
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
    envelope.rules = [_rules_of(item) for item in fields.get('rules', ())]
    envelope.bulletins = [
        Bulletin.from_fields(item) for item in fields.get('bulletins', ())
    ]
    envelope.suspects = [
        SuspectReport.from_fields(item) for item in fields.get('suspects', ())
    ]
    digest = fields.get('digest')
    if digest is not None:
        envelope.digest = MembershipDigest.from_fields(digest)
    envelope.snapshots = [
        orjson.dumps(item) for item in fields.get('snapshots', ())
    ]
    return envelope


def _rules_of(content: Any) -> Message:
    decoded = decode_message(orjson.dumps(content))
    if decoded.is_error():
        raise decoded.error
    return decoded.ok


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError(
            f'expected a string, got {type(content).__name__}',
        )
    return content
