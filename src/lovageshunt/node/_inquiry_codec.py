"""The wire form of inquiries about a call, and of a hand-over."""

from base64 import b64decode, b64encode
from typing import Any

import orjson

from lovageshunt.calls import HomeStamp, Outcome, RefusalReason
from lovageshunt.errors import MalformedEnvelopeError
from lovageshunt.idempotency import (
    Claim,
    Ending,
    HandedEntry,
    HandedOver,
    Inquire,
    Inquired,
    InquiryAnswer,
    StoredAnswer,
)


def encode_inquiry(asker: HomeStamp, inquiry: Inquire) -> bytes:
    """Return the question of one node as JSON."""
    return orjson.dumps(
        {
            'key': inquiry.key,
            'asker': asker.as_dict(),
            'age_ms': inquiry.age_ms,
            'number': inquiry.number,
            'digest': inquiry.digest,
        },
    )


def decode_inquiry(body: bytes) -> Inquired:
    """Return the question; raises ``MalformedEnvelopeError``."""
    try:
        fields = orjson.loads(body)
        return Inquired(
            key=str(fields['key']),
            asker=HomeStamp(**fields['asker']),
            age_ms=int(fields['age_ms']),
            number=int(fields['number']),
            digest=int(fields['digest']),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error


def encode_inquiry_answer(answer: InquiryAnswer) -> bytes:
    """Return the answer to an inquiry as JSON."""
    home = answer.home
    return orjson.dumps(
        {
            'claim': answer.claim,
            'answerer': answer.answerer.as_dict(),
            'home': None if home is None else home.as_dict(),
            'refused_through': answer.refused_through,
            'known': [one.as_dict() for one in answer.known],
            'covered': [one.as_dict() for one in answer.covered],
            'is_witness': answer.is_witness,
        },
    )


def decode_inquiry_answer(body: bytes) -> InquiryAnswer:
    """Return the answer; raises ``MalformedEnvelopeError``."""
    try:
        fields = orjson.loads(body)
        home = fields['home']
        return InquiryAnswer(
            claim=Claim(fields['claim']),
            answerer=HomeStamp(**fields['answerer']),
            home=None if home is None else HomeStamp(**home),
            refused_through=int(fields['refused_through']),
            known=tuple(HomeStamp(**one) for one in fields['known']),
            covered=tuple(HomeStamp(**one) for one in fields['covered']),
            is_witness=bool(fields['is_witness']),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise MalformedEnvelopeError(repr(error)) from error


def encode_hand_over(
    leaver: HomeStamp,
    entries: tuple[HandedEntry, ...],
) -> bytes:
    """Return what a leaving node knows of calls as JSON."""
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


def decode_hand_over(body: bytes) -> HandedOver:
    """Return what was handed over; raises ``MalformedEnvelopeError``."""
    try:
        fields = orjson.loads(body)
        return HandedOver(
            leaver=HomeStamp(**fields['leaver']),
            entries=tuple(
                HandedEntry(
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
