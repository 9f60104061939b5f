"""Handling of a call from admission until its result."""

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency._actions import (
    Action,
    AnswerUnknown,
    Dispatch,
    Replay,
    Run,
)
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._events import (
    Completed,
    DispatchDue,
    RedirectFailed,
    Refused,
    WaiterCancelled,
)
from lovageshunt.idempotency._refusing import (
    FIRST_ATTEMPT,
    refuse_all,
    refuse_one,
    settle_refused,
)
from lovageshunt.idempotency._state import NodeState


@decide.register
def _on_dispatch_due(
    event: DispatchDue,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.entry_by_call_id.get(event.call_id)
    if entry is None or entry.runner != event.call_id:
        return []
    retry_after_ms = state.settings.refusal_retry_ms
    if entry.epoch != state.epoch:
        reason = RefusalReason.STALE_PICTURE
        return refuse_all(state, entry, reason, retry_after_ms)
    if entry.waiting_by_call_id[event.call_id].deadline <= now:
        reason = RefusalReason.DEADLINE
        return refuse_all(state, entry, reason, retry_after_ms)
    if not entry.life.step('dispatch'):
        return []
    return [Dispatch(call_id=event.call_id, key=entry.key)]


@decide.register
def _on_refused(event: Refused, state: NodeState, now: float) -> list[Action]:
    entry = state.entry_by_call_id.get(event.call_id)
    if entry is None:
        return []
    if entry.state == 'queued' and entry.runner == event.call_id:
        return refuse_all(state, entry, event.reason, event.retry_after_ms)
    attempt = entry.waiting_by_call_id[event.call_id]
    if entry.runner == event.call_id:
        return []
    state.remove_waiter(entry, event.call_id)
    return refuse_one(
        attempt,
        is_proved_not_run=attempt.number == FIRST_ATTEMPT
        and entry.runner is None,
        reason=event.reason,
        retry_after_ms=event.retry_after_ms,
    )


@decide.register
def _on_completed(
    event: Completed,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.entry_by_key.get(event.key)
    if entry is None or entry.state != 'running':
        return []
    ending = event.ending
    if ending.outcome is Outcome.NOT_RUN:
        return refuse_all(
            state,
            entry,
            ending.reason or RefusalReason.TARGET_FAILED,
            state.settings.refusal_retry_ms,
        )
    runner = entry.runner
    entry.life.step('end')
    state.store_ending(entry, ending)
    return [
        Replay(call_id=waiter.call_id, ending=ending)
        for waiter in state.release_waiters(entry)
        if waiter.call_id != runner
    ]


@decide.register
def _on_waiter_cancelled(
    event: WaiterCancelled,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.entry_by_call_id.get(event.call_id)
    if entry is None:
        return []
    state.remove_waiter(entry, event.call_id)
    if entry.state != 'queued' or entry.runner != event.call_id:
        return []
    entry.runner = next(iter(entry.waiting_by_call_id), None)
    if entry.runner is None:
        settle_refused(state, entry)
        return []
    return [Run(call_id=entry.runner)]


@decide.register
def _on_redirect_failed(
    event: RedirectFailed,
    state: NodeState,
    now: float,
) -> list[Action]:
    return [
        AnswerUnknown(
            call_id=event.call_id,
            reason=RefusalReason.CONNECTION_LOST,
            retry_after_ms=state.settings.doubt_retry_ms,
        ),
    ]
