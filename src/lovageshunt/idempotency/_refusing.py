"""How attempts are refused, and what is remembered of it."""

from lovageshunt.calls import RefusalReason
from lovageshunt.idempotency._actions import (
    Action,
    AnswerNotRun,
    AnswerUnknown,
    Redirect,
)
from lovageshunt.idempotency._entry import Arrival, Entry
from lovageshunt.idempotency._records import Identity, stamp_of
from lovageshunt.idempotency._state import NodeState

#: A first attempt is one message, so a refusal of it needs no memory.
FIRST_ATTEMPT = 1


def refuse_all(
    state: NodeState,
    entry: Entry,
    reason: RefusalReason,
    retry_after_ms: int,
) -> list[Action]:
    """Refuse every attempt at an entry of which nothing was dispatched.

    *Not run* is said only where no earlier attempt can run any more: to
    a first attempt, to one that is stamped with this home, or when every
    other node gave its promise.
    """
    arrivals = state.release(entry)
    proved = [each for each in arrivals if _is_proved(entry, each)]
    highest = max((each.attempt for each in proved), default=0)
    entry.refused_through = max(entry.refused_through, highest)
    settle_refused(state, entry)
    return [
        _refusal(each, each in proved, reason, retry_after_ms)
        for each in arrivals
    ]


def settle_refused(state: NodeState, entry: Entry) -> None:
    """Keep a tombstone where one is needed; forget the entry elsewhere."""
    entry.life.step('refuse')
    entry.is_exclusive = False
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    if entry.refused_through <= FIRST_ATTEMPT:
        state.drop(entry)


def doubt_all(
    state: NodeState,
    entry: Entry,
    reason: RefusalReason = RefusalReason.IN_DOUBT,
) -> list[Action]:
    """End an inquiry without proof; nothing of the call runs here."""
    entry.life.step('doubt')
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    retry_after_ms = state.settings.doubt_retry_ms
    return [
        _refusal(each, each.attempt == FIRST_ATTEMPT, reason, retry_after_ms)
        for each in state.release(entry)
    ]


def refuse_one(
    arrival: Arrival,
    *,
    is_proved: bool,
    reason: RefusalReason,
    retry_after_ms: int,
) -> list[Action]:
    """Refuse one attempt that waits at no entry."""
    return [_refusal(arrival, is_proved, reason, retry_after_ms)]


def yield_to(state: NodeState, entry: Entry, home: Identity) -> list[Action]:
    """Promise a call to another node and send waiting attempts there."""
    entry.life.step('promise')
    entry.home = home
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    return [redirect(each, home) for each in state.release(entry)]


def redirect(arrival: Arrival, home: Identity) -> Redirect:
    """Return the action that sends an attempt to the promised home.

    It carries no stamp, and a first attempt loses its number: a home that
    has forgotten the call must inquire and not run it.
    """
    is_first = arrival.attempt == FIRST_ATTEMPT
    return Redirect(
        call_id=arrival.call_id,
        home=stamp_of(home),
        stamp=None,
        attempt=0 if is_first else arrival.attempt,
    )


def _is_proved(entry: Entry, arrival: Arrival) -> bool:
    if arrival.attempt <= FIRST_ATTEMPT:
        return arrival.attempt == FIRST_ATTEMPT
    return arrival.is_stamped_here or entry.is_exclusive


def _refusal(
    arrival: Arrival,
    is_proved: bool,
    reason: RefusalReason,
    retry_after_ms: int,
) -> Action:
    kind = AnswerNotRun if is_proved else AnswerUnknown
    return kind(
        call_id=arrival.call_id,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
