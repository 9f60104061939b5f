"""What the end of an exchange with a target proves."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission import LoadReported
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.http1 import ExchangeEnd, Response
from lovageshunt.sidecar._dialect import HeaderNames

_MISDIRECTED: Final = 421
_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300


class ReadAnswer(Record):
    """An outcome with its reason, and the load that the target reported."""

    __slots__ = ('outcome', 'reason', 'detail', 'reported')

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        detail: str = '',
        reported: LoadReported | None = None,
    ) -> None:
        """Take every field by name; ``detail`` is for the log."""
        self.outcome = outcome
        self.reason = reason
        self.detail = detail
        self.reported = reported


def read_response(
    end: ExchangeEnd,
    response: Response | None,
    dialect: HeaderNames,
) -> ReadAnswer:
    """Return what is certain of a request after its exchange."""
    if end is ExchangeEnd.UNSENT:
        return ReadAnswer(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.TARGET_FAILED,
            detail='no connection to the target',
        )
    if end is ExchangeEnd.CANCELLED:
        return ReadAnswer(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.CANCELLED,
            detail='cut off here',
        )
    if end is not ExchangeEnd.WHOLE or response is None:
        return _doubt('the answer was lost or broken off')
    return _read_whole(response, dialect)


def _read_whole(response: Response, dialect: HeaderNames) -> ReadAnswer:
    load = response.header(dialect.load)
    reported = dialect.read_load(load) if load else None
    if response.status == _MISDIRECTED:
        return ReadAnswer(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.LEAVING,
            detail='another target has the address',
        )
    if response.header(dialect.not_run):
        return ReadAnswer(
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.SHED,
            detail=f'refused by the target with {response.status}',
            reported=reported,
        )
    fault = _fault_of(response, dialect)
    if fault:
        return _doubt(fault)
    return ReadAnswer(outcome=Outcome.ANSWERED, reported=reported)


def _fault_of(response: Response, dialect: HeaderNames) -> str:
    """Return why a response cannot be passed on as the target's own."""
    if not response.header(dialect.attempt_id):
        return 'the answer names no attempt'
    if response.header(b'content-encoding'):
        return 'the answer is encoded'
    is_success = _FIRST_SUCCESS <= response.status < _FIRST_REDIRECT
    if is_success and not response.header(dialect.proof):
        return 'the answer bears no proof'
    return ''


def _doubt(detail: str) -> ReadAnswer:
    return ReadAnswer(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.TARGET_FAILED,
        detail=detail,
    )
