"""Handling of attempts when they arrive."""

from lovageshunt._record import Record
from lovageshunt.calls import RefusalReason
from lovageshunt.idempotency._actions import (
    Action,
    Redirect,
    Replay,
    Run,
    Wait,
)
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._entry import Attempt, Entry
from lovageshunt.idempotency._events import AttemptReceived
from lovageshunt.idempotency._inquiring import start_inquiry
from lovageshunt.idempotency._records import Identity, identity_of
from lovageshunt.idempotency._refusing import (
    FIRST_ATTEMPT,
    redirect,
    refuse_one,
    settle_refused,
)
from lovageshunt.idempotency._state import NodeState

_JOINABLE_STATES = frozenset(('queued', 'running', 'inquiring'))


class _Request(Record):
    """An arrived attempt with the values derived from its event.

    ``began_at`` is the earliest time at which the call may have begun, in
    seconds of the node's clock. ``stamped_home`` is the node that the stamp
    names, ``None`` without a stamp or if it names this node.
    """

    __slots__ = ('event', 'attempt', 'began_at', 'stamped_home', 'peers')

    def __init__(
        self,
        *,
        event: AttemptReceived,
        attempt: Attempt,
        began_at: float,
        stamped_home: Identity | None,
        peers: set[Identity],
    ) -> None:
        self.event = event
        self.attempt = attempt
        self.began_at = began_at
        self.stamped_home = stamped_home
        self.peers = peers

    @property
    def is_first(self) -> bool:
        """Return whether the sender states that this is the first attempt."""
        return self.attempt.number == FIRST_ATTEMPT


@decide.register
def _on_attempt_received(
    event: AttemptReceived,
    state: NodeState,
    now: float,
) -> list[Action]:
    request = _request_of(event, state, now)
    entry = state.find(event.key, now)
    if entry is None:
        return _handle_new(request, state, now)
    if entry.ending is not None:
        return [Replay(call_id=event.call_id, ending=entry.ending)]
    if entry.state in _JOINABLE_STATES:
        state.add_waiter(entry, request.attempt)
        return [Wait(call_id=event.call_id)]
    if entry.state == 'elsewhere' and entry.home in request.peers:
        return [redirect(request.attempt, entry.home)]
    return _handle_known(request, state, entry, now)


def _request_of(
    event: AttemptReceived,
    state: NodeState,
    now: float,
) -> _Request:
    stamp = None if event.stamp is None else identity_of(event.stamp)
    is_stamped_here = stamp == state.identity
    return _Request(
        event=event,
        attempt=Attempt(
            call_id=event.call_id,
            number=event.attempt,
            deadline=event.deadline,
            is_stamped_here=is_stamped_here,
        ),
        began_at=state.earliest_start(event.age_ms, now),
        stamped_home=None if is_stamped_here else stamp,
        peers=set(map(identity_of, event.peers or ())) - {state.identity},
    )


def _handle_known(
    request: _Request,
    state: NodeState,
    entry: Entry,
    now: float,
) -> list[Action]:
    """Handle a call refused, left in doubt or promised away here before."""
    if entry.is_blocked(request.event.attempt):
        return refuse_one(
            request.attempt,
            is_proved_not_run=request.event.attempt >= FIRST_ATTEMPT,
            reason=RefusalReason.CANCELLED,
            retry_after_ms=state.settings.refusal_retry_ms,
        )
    reason = _refusal_reason(request, state, now)
    if reason is not None:
        return refuse_one(
            request.attempt,
            is_proved_not_run=request.is_first,
            reason=reason,
            retry_after_ms=state.settings.refusal_retry_ms,
        )
    may_run_again = entry.state == 'refused' and request.attempt.is_stamped_here
    if may_run_again and state.cautious_until <= now:
        return _accept(request, state, entry)
    return _inquire(request, state, entry, now)


def _handle_new(
    request: _Request,
    state: NodeState,
    now: float,
) -> list[Action]:
    event = request.event
    if event.stamp is not None and request.stamped_home in request.peers:
        return [
            Redirect(
                call_id=event.call_id,
                home=event.stamp,
                stamp=event.stamp,
                attempt=event.attempt,
            ),
        ]
    reason = _refusal_reason(request, state, now)
    if reason is not None:
        return _refuse_new(request, state, reason, now)
    if now < state.cautious_until:
        return _inquire(request, state, None, now)
    is_only_node = not request.peers and not event.gone
    is_settled = is_only_node or state.is_settled_for(request.began_at)
    if request.is_first and not is_settled:
        return _refuse_new(request, state, RefusalReason.SETTLING, now)
    may_run = request.is_first or request.attempt.is_stamped_here
    if may_run and is_settled:
        entry = state.create(event.key, began_at=request.began_at, now=now)
        return _accept(request, state, entry)
    return _inquire(request, state, None, now)


def _refusal_reason(
    request: _Request,
    state: NodeState,
    now: float,
) -> RefusalReason | None:
    if request.began_at < now - state.settings.retention_seconds:
        # It may have run here or elsewhere and its entry may have expired.
        return RefusalReason.IN_DOUBT
    if state.is_leaving:
        return RefusalReason.LEAVING
    if request.event.peers is None:
        return RefusalReason.SETTLING
    if request.is_first and request.stamped_home is not None:
        # The home is gone, and only it could have run this single message.
        return RefusalReason.STALE_PICTURE
    return None


def _refuse_new(
    request: _Request,
    state: NodeState,
    reason: RefusalReason,
    now: float,
) -> list[Action]:
    is_proved = request.is_first
    if request.attempt.is_stamped_here and reason is RefusalReason.LEAVING:
        is_proved = is_proved or _store_tombstone(request, state, now)
    settings = state.settings
    return refuse_one(
        request.attempt,
        is_proved_not_run=is_proved,
        reason=reason,
        retry_after_ms=settings.refusal_retry_ms,
    )


def _store_tombstone(request: _Request, state: NodeState, now: float) -> bool:
    """Block this and all earlier attempts here; return whether it worked."""
    if request.event.attempt < FIRST_ATTEMPT:
        return False
    key = request.event.key
    entry = state.create(key, began_at=request.began_at, now=now)
    if entry is None:
        return False
    entry.refused_through = request.event.attempt
    settle_refused(state, entry)
    return True


def _accept(
    request: _Request,
    state: NodeState,
    entry: Entry | None,
) -> list[Action]:
    if entry is None:
        return _refuse_full(request, state)
    entry.life.step('take')
    entry.epoch = state.epoch
    entry.runner = request.event.call_id
    state.add_waiter(entry, request.attempt)
    return [Run(call_id=request.event.call_id)]


def _inquire(
    request: _Request,
    state: NodeState,
    entry: Entry | None,
    now: float,
) -> list[Action]:
    event = request.event
    began_at = request.began_at
    if entry is None:
        entry = state.create(event.key, began_at=began_at, now=now)
    if entry is None:
        return _refuse_full(request, state)
    entry.began_at = min(entry.began_at, began_at)
    state.add_waiter(entry, request.attempt)
    possible_runners = state.possible_runners(
        event.gone,
        began_at=entry.began_at,
        now=now,
    )
    ruled_out = state.ruled_out(event.gone, began_at=entry.began_at, now=now)
    return [
        Wait(call_id=event.call_id),
        *start_inquiry(
            state,
            entry,
            asked=request.peers | possible_runners,
            ruled_out=ruled_out,
            named=entry.home or request.stamped_home,
            now=now,
        ),
    ]


def _refuse_full(request: _Request, state: NodeState) -> list[Action]:
    return refuse_one(
        request.attempt,
        is_proved_not_run=request.is_first,
        reason=RefusalReason.TABLE_FULL,
        retry_after_ms=state.settings.doubt_retry_ms,
    )
