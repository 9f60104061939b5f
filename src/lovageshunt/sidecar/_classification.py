"""Classifies the end of an exchange with a target.

An outcome is only as certain as the exchange proves it: a request counts as
not run only if it was not sent or the target said so.
"""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission import LoadReported, RateLimitReported
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.http1 import ExchangeEnd, Response
from lovageshunt.sidecar._header_names import HeaderNames

#: How an exchange ends if nothing of the request was sent.
_UNSENT_ENDS: Final = frozenset((ExchangeEnd.UNSENT, ExchangeEnd.REFUSED))
_MISDIRECTED: Final = 421
_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300


class ClassifiedResponse(Record):
    """An outcome with its reason, and what the target reported of itself.

    ``detail`` explains the outcome in the log. ``is_leaving`` is true if the
    target said that it leaves, ``rate_limit`` is ``None`` if the response does
    not tell whether it limits its calls.
    """

    __slots__ = (
        'outcome',
        'reason',
        'detail',
        'reported',
        'is_leaving',
        'rate_limit',
    )

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        detail: str = '',
        reported: LoadReported | None = None,
        is_leaving: bool = False,
        rate_limit: RateLimitReported | None = None,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.detail = detail
        self.reported = reported
        self.is_leaving = is_leaving
        self.rate_limit = rate_limit


def classify_response(
    end: ExchangeEnd,
    response: Response | None,
    header_names: HeaderNames,
) -> ClassifiedResponse:
    """Return what is certain about a request once its exchange ended."""
    if end in _UNSENT_ENDS:
        return ClassifiedResponse(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.TARGET_FAILED,
            detail='no connection to the target',
        )
    if end is ExchangeEnd.CANCELLED:
        return ClassifiedResponse(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.CANCELLED,
            detail='cancelled by this node',
        )
    if end is not ExchangeEnd.COMPLETE or response is None:
        return _unknown('response lost or truncated')
    classified = _classify_complete(response, header_names)
    if response.status != _MISDIRECTED:
        classified.is_leaving = bool(response.header(header_names.leaving))
        classified.rate_limit = _rate_limit_of(response, header_names)
    return classified


def _rate_limit_of(
    response: Response,
    header_names: HeaderNames,
) -> RateLimitReported | None:
    limit = response.header(header_names.rate_limit)
    if not limit:
        return RateLimitReported(per_second=None)
    return header_names.read_rate_limit(limit)


def _classify_complete(
    response: Response,
    header_names: HeaderNames,
) -> ClassifiedResponse:
    load = response.header(header_names.load)
    reported = header_names.read_load(load) if load else None
    if response.status == _MISDIRECTED:
        return ClassifiedResponse(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.LEAVING,
            detail='another target now has this address',
        )
    if response.header(header_names.not_run):
        return ClassifiedResponse(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.SHED,
            detail=f'refused by the target with status {response.status}',
            reported=reported,
        )
    fault = _fault_of(response, header_names)
    if fault:
        return _unknown(fault)
    return ClassifiedResponse(outcome=Outcome.ANSWERED, reported=reported)


def _fault_of(response: Response, header_names: HeaderNames) -> str:
    """Return why a response cannot be forwarded as the target's own."""
    if not response.header(header_names.attempt_id):
        return 'response has no attempt id'
    if response.header(b'content-encoding'):
        return 'response has a content-encoding'
    is_success = _FIRST_SUCCESS <= response.status < _FIRST_REDIRECT
    if is_success and not response.header(header_names.proof):
        return 'response has no proof of execution'
    return ''


def _unknown(detail: str) -> ClassifiedResponse:
    return ClassifiedResponse(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.TARGET_FAILED,
        detail=detail,
    )
