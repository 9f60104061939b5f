"""What is done with an attempt when it arrives."""

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
from lovageshunt.idempotency._entry import Arrival, Entry
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


class _Attempt(Record):
    """An arrival with all that decides what becomes of it."""

    __slots__ = ('event', 'arrival', 'born_at', 'named', 'peers')

    def __init__(
        self,
        *,
        event: AttemptReceived,
        arrival: Arrival,
        born_at: float,
        named: Identity | None,
        peers: set[Identity],
    ) -> None:
        """Take the event and what follows from it."""
        self.event = event
        self.arrival = arrival
        self.born_at = born_at
        self.named = named
        self.peers = peers

    @property
    def is_first(self) -> bool:
        """Return whether the caller says that no attempt went before."""
        return self.arrival.attempt == FIRST_ATTEMPT


@decide.register
def _on_requested(
    event: AttemptReceived,
    state: NodeState,
    now: float,
) -> list[Action]:
    attempt = _read(event, state, now)
    entry = state.find(event.key, now)
    if entry is None:
        return _first_seen(attempt, state, now)
    if entry.ending is not None:
        return [Replay(call_id=event.call_id, ending=entry.ending)]
    if entry.state in _JOINABLE_STATES:
        state.join(entry, attempt.arrival)
        return [Wait(call_id=event.call_id)]
    if entry.state == 'elsewhere' and entry.home in attempt.peers:
        return [redirect(attempt.arrival, entry.home)]
    return _reopen(attempt, state, entry, now)


def _read(event: AttemptReceived, state: NodeState, now: float) -> _Attempt:
    stamp = None if event.stamp is None else identity_of(event.stamp)
    is_stamped_here = stamp == state.me
    return _Attempt(
        event=event,
        arrival=Arrival(
            call_id=event.call_id,
            attempt=event.attempt,
            deadline=event.deadline,
            is_stamped_here=is_stamped_here,
        ),
        born_at=state.born_at(event.age_ms, now),
        named=None if is_stamped_here else stamp,
        peers=set(map(identity_of, event.peers or ())) - {state.me},
    )


def _reopen(
    attempt: _Attempt,
    state: NodeState,
    entry: Entry,
    now: float,
) -> list[Action]:
    """Take up a call that was refused or left in doubt here before."""
    if entry.is_blocked(attempt.event.attempt):
        return refuse_one(
            attempt.arrival,
            is_proved=attempt.event.attempt >= FIRST_ATTEMPT,
            reason=RefusalReason.CANCELLED,
            retry_after_ms=state.settings.refusal_retry_ms,
        )
    reason = _obstacle(attempt, state, now)
    if reason is not None:
        return refuse_one(
            attempt.arrival,
            is_proved=attempt.is_first,
            reason=reason,
            retry_after_ms=state.settings.refusal_retry_ms,
        )
    is_own = entry.state == 'refused' and attempt.arrival.is_stamped_here
    if is_own and state.cautious_until <= now:
        return _take(attempt, state, entry)
    return _inquire(attempt, state, entry, now)


def _first_seen(
    attempt: _Attempt,
    state: NodeState,
    now: float,
) -> list[Action]:
    event = attempt.event
    if event.stamp is not None and attempt.named in attempt.peers:
        return [
            Redirect(
                call_id=event.call_id,
                home=event.stamp,
                stamp=event.stamp,
                attempt=event.attempt,
            ),
        ]
    reason = _obstacle(attempt, state, now)
    if reason is not None:
        return _refuse_new(attempt, state, reason, now)
    if now < state.cautious_until:
        return _inquire(attempt, state, None, now)
    is_alone = not attempt.peers and not event.gone
    is_settled = is_alone or state.is_settled_for(attempt.born_at)
    if attempt.is_first and not is_settled:
        return _refuse_new(attempt, state, RefusalReason.SETTLING, now)
    has_right = attempt.is_first or attempt.arrival.is_stamped_here
    if has_right and is_settled:
        entry = state.create(event.key, born_at=attempt.born_at, now=now)
        return _take(attempt, state, entry)
    return _inquire(attempt, state, None, now)


def _obstacle(
    attempt: _Attempt,
    state: NodeState,
    now: float,
) -> RefusalReason | None:
    if attempt.born_at < now - state.settings.retention_seconds:
        # It may have run and been forgotten, here as elsewhere.
        return RefusalReason.IN_DOUBT
    if state.is_leaving:
        return RefusalReason.LEAVING
    if attempt.event.peers is None:
        return RefusalReason.SETTLING
    if attempt.is_first and attempt.named is not None:
        # The home is gone, and only it might have run this one message.
        return RefusalReason.STALE_PICTURE
    return None


def _refuse_new(
    attempt: _Attempt,
    state: NodeState,
    reason: RefusalReason,
    now: float,
) -> list[Action]:
    is_proved = attempt.is_first
    if attempt.arrival.is_stamped_here and reason is RefusalReason.LEAVING:
        is_proved = is_proved or _entomb(attempt, state, now)
    settings = state.settings
    return refuse_one(
        attempt.arrival,
        is_proved=is_proved,
        reason=reason,
        retry_after_ms=settings.refusal_retry_ms,
    )


def _entomb(attempt: _Attempt, state: NodeState, now: float) -> bool:
    """Record that no earlier attempt may run here; tell whether it is so."""
    if attempt.event.attempt < FIRST_ATTEMPT:
        return False
    key = attempt.event.key
    entry = state.create(key, born_at=attempt.born_at, now=now)
    if entry is None:
        return False
    entry.refused_through = attempt.event.attempt
    settle_refused(state, entry)
    return True


def _take(
    attempt: _Attempt,
    state: NodeState,
    entry: Entry | None,
) -> list[Action]:
    if entry is None:
        return _refuse_full(attempt, state)
    entry.life.step('take')
    entry.epoch = state.epoch
    entry.runner = attempt.event.call_id
    state.join(entry, attempt.arrival)
    return [Run(call_id=attempt.event.call_id)]


def _inquire(
    attempt: _Attempt,
    state: NodeState,
    entry: Entry | None,
    now: float,
) -> list[Action]:
    event = attempt.event
    born_at = attempt.born_at
    if entry is None:
        entry = state.create(event.key, born_at=born_at, now=now)
    if entry is None:
        return _refuse_full(attempt, state)
    entry.born_at = min(entry.born_at, born_at)
    state.join(entry, attempt.arrival)
    suspects = state.suspects(event.gone, born_at=entry.born_at, now=now)
    excused = state.excused(event.gone, born_at=entry.born_at, now=now)
    return [
        Wait(call_id=event.call_id),
        *start_inquiry(
            state,
            entry,
            asked=attempt.peers | suspects,
            excused=excused,
            named=entry.home or attempt.named,
            now=now,
        ),
    ]


def _refuse_full(attempt: _Attempt, state: NodeState) -> list[Action]:
    return refuse_one(
        attempt.arrival,
        is_proved=attempt.is_first,
        reason=RefusalReason.TABLE_FULL,
        retry_after_ms=state.settings.doubt_retry_ms,
    )
