"""JSON encoding of inquiries about a call, and of hand-overs."""

from base64 import b64decode, b64encode
from typing import Any

import orjson

from lovageshunt.calls import HomeNode, Outcome, RefusalReason
from lovageshunt.errors import MalformedEnvelopeError
from lovageshunt.idempotency import (
    Claim,
    Ending,
    HandOverEntry,
    HandOverReceived,
    Inquire,
    InquiryAnswer,
    InquiryReceived,
    StoredAnswer,
)


def encode_inquiry(asker: HomeNode, inquiry: Inquire) -> bytes:
    """Encode an inquiry; ``peer``, its recipient, is not sent."""
    fields = inquiry.as_dict()
    fields.pop('peer')
    fields['asker'] = asker.as_dict()
    return orjson.dumps(fields)


def decode_inquiry(body: bytes) -> InquiryReceived:
    """Decode an inquiry; raises ``MalformedEnvelopeError``."""
    try:
        fields = orjson.loads(body)
        asker = HomeNode(**fields.pop('asker'))
        return InquiryReceived(asker=asker, **fields)
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error


def encode_inquiry_answer(answer: InquiryAnswer) -> bytes:
    fields = answer.as_dict()
    fields['answerer'] = answer.answerer.as_dict()
    fields['home'] = answer.home.as_dict() if answer.home else None
    fields['known'] = [stamp.as_dict() for stamp in answer.known]
    fields['covered'] = [stamp.as_dict() for stamp in answer.covered]
    return orjson.dumps(fields)


def decode_inquiry_answer(body: bytes) -> InquiryAnswer:
    """Decode an inquiry answer; raises ``MalformedEnvelopeError``."""
    try:
        return _inquiry_answer_of(orjson.loads(body))
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error


def _inquiry_answer_of(fields: dict[str, Any]) -> InquiryAnswer:
    home = fields.pop('home')
    return InquiryAnswer(
        claim=Claim(fields.pop('claim')),
        answerer=HomeNode(**fields.pop('answerer')),
        home=HomeNode(**home) if home else None,
        known=tuple(HomeNode(**stamp) for stamp in fields.pop('known')),
        covered=tuple(HomeNode(**stamp) for stamp in fields.pop('covered')),
        **fields,
    )


def encode_hand_over(
    leaver: HomeNode,
    entries: tuple[HandOverEntry, ...],
) -> bytes:
    """Encode the call records of a leaving node."""
    return orjson.dumps(
        {
            'leaver': leaver.as_dict(),
            'entries': [
                {
                    'key': entry.key,
                    'ending': _ending_fields(entry.ending),
                    'refused_through': entry.refused_through,
                }
                for entry in entries
            ],
        },
    )


def decode_hand_over(body: bytes) -> HandOverReceived:
    """Decode a hand-over; raises ``MalformedEnvelopeError``."""
    try:
        fields = orjson.loads(body)
        return HandOverReceived(
            leaver=HomeNode(**fields['leaver']),
            entries=tuple(
                HandOverEntry(
                    key=str(entry['key']),
                    ending=_ending_of(entry['ending']),
                    refused_through=int(entry['refused_through']),
                )
                for entry in fields['entries']
            ),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error


def _ending_fields(ending: Ending | None) -> dict[str, Any] | None:
    if ending is None:
        return None
    return {
        'outcome': ending.outcome,
        'reason': ending.reason,
        'answer': _answer_fields(ending.answer),
    }


def _answer_fields(answer: StoredAnswer | None) -> dict[str, Any] | None:
    if answer is None:
        return None
    return {
        'status': answer.status,
        'headers': answer.headers,
        'body': b64encode(answer.body).decode(),
    }


def _ending_of(fields: dict[str, Any] | None) -> Ending | None:
    if fields is None:
        return None
    reason = fields['reason']
    return Ending(
        outcome=Outcome(fields['outcome']),
        reason=None if reason is None else RefusalReason(reason),
        answer=_answer_of(fields['answer']),
    )


def _answer_of(fields: dict[str, Any] | None) -> StoredAnswer | None:
    if fields is None:
        return None
    return StoredAnswer(
        status=int(fields['status']),
        headers=tuple((name, text) for name, text in fields['headers']),
        body=b64decode(fields['body'], validate=True),
    )
