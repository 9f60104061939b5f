"""Refusal and redirection of attempts, and the tombstones of refusals."""

from lovageshunt.calls import RefusalReason
from lovageshunt.idempotency._actions import (
    Action,
    AnswerNotRun,
    AnswerUnknown,
    Redirect,
)
from lovageshunt.idempotency._entry import Attempt, Entry
from lovageshunt.idempotency._records import Identity, stamp_of
from lovageshunt.idempotency._state import NodeState

#: A first attempt is a single message, so its refusal needs no tombstone.
FIRST_ATTEMPT = 1


def refuse_all(
    state: NodeState,
    entry: Entry,
    reason: RefusalReason,
    retry_after_ms: int,
) -> list[Action]:
    """Refuse every waiting attempt of an entry that did not run.

    The answer is *not run* only if no earlier attempt can still run: for a
    first attempt, for one stamped with this node as its home, or when every
    other node gave its promise. Otherwise it is *unknown*.
    """
    attempts = state.release_waiters(entry)
    proved = [each for each in attempts if _is_proved_not_run(entry, each)]
    highest = max((each.number for each in proved), default=0)
    entry.refused_through = max(entry.refused_through, highest)
    settle_refused(state, entry)
    return [
        _refusal(each, each in proved, reason, retry_after_ms)
        for each in attempts
    ]


def settle_refused(state: NodeState, entry: Entry) -> None:
    """Turn an entry into a tombstone, or drop it if none is needed."""
    entry.life.step('refuse')
    entry.is_exclusive = False
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    if entry.refused_through <= FIRST_ATTEMPT:
        state.drop(entry)


def end_in_doubt(
    state: NodeState,
    entry: Entry,
    reason: RefusalReason = RefusalReason.IN_DOUBT,
) -> list[Action]:
    """End an inquiry without proof; no attempt of the call runs here."""
    entry.life.step('doubt')
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    retry_after_ms = state.settings.doubt_retry_ms
    return [
        _refusal(each, each.number == FIRST_ATTEMPT, reason, retry_after_ms)
        for each in state.release_waiters(entry)
    ]


def refuse_one(
    attempt: Attempt,
    *,
    is_proved_not_run: bool,
    reason: RefusalReason,
    retry_after_ms: int,
) -> list[Action]:
    """Refuse one attempt that does not wait at an entry."""
    return [_refusal(attempt, is_proved_not_run, reason, retry_after_ms)]


def yield_to(state: NodeState, entry: Entry, home: Identity) -> list[Action]:
    """Promise a call to another node and redirect waiting attempts there."""
    entry.life.step('promise')
    entry.home = home
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    return [redirect(each, home) for each in state.release_waiters(entry)]


def redirect(attempt: Attempt, home: Identity) -> Redirect:
    """Return the action that redirects an attempt to the promised home.

    It is sent without a stamp, and a first attempt without its number, so
    that a home that no longer has the entry inquires before it runs the call.
    """
    is_first = attempt.number == FIRST_ATTEMPT
    return Redirect(
        call_id=attempt.call_id,
        home=stamp_of(home),
        stamp=None,
        attempt=0 if is_first else attempt.number,
    )


def _is_proved_not_run(entry: Entry, attempt: Attempt) -> bool:
    if attempt.number <= FIRST_ATTEMPT:
        return attempt.number == FIRST_ATTEMPT
    return attempt.is_stamped_here or entry.is_exclusive


def _refusal(
    attempt: Attempt,
    is_proved_not_run: bool,
    reason: RefusalReason,
    retry_after_ms: int,
) -> Action:
    kind = AnswerNotRun if is_proved_not_run else AnswerUnknown
    return kind(
        call_id=attempt.call_id,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
