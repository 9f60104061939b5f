"""Handles the events that reach the gate."""

from functools import singledispatch
from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt.admission import (
    AdmissionTicked,
    Cancelled,
    DrainStarted,
    Finished,
    LoadReported,
)
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency import (
    AttemptReceived,
    Completed,
    Ending,
    Leaving,
    RunOnceTicked,
    WaiterCancelled,
)
from lovageshunt.node.gate._actions import enter_admission, perform_all
from lovageshunt.node.gate._messages import (
    CallAbandoned,
    CallArrived,
    CallEnded,
    CallRedirected,
    GateTicked,
    LeaveBegun,
    TargetDown,
)
from lovageshunt.node.gate._state import (
    DEFAULT_RETRY_AFTER_MS,
    GateState,
    PendingCall,
)
from lovageshunt.retries import CallEnded as AttemptEnded
from lovageshunt.retries import PeerReported, TargetCrashed

#: Retry delay in the reply to an abandoned call.
_ABANDONED_RETRY_AFTER_MS: Final = 100


@singledispatch
def handle_event(
    event: Any,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Pass an event without a handler here to the run-once table."""
    perform_all(state.run_once.handle(event, now), state, now, out)


@handle_event.register
def _arrived(
    event: CallArrived,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.pending_by_ticket[event.ticket] = PendingCall(event)
    if event.is_repeatable:
        enter_admission(event, state, now, out)
        return
    received = AttemptReceived(
        call_id=event.ticket,
        key=event.context.call_id,
        attempt=event.context.attempt,
        deadline=event.deadline,
        stamp=event.context.home,
        age_ms=event.context.age_ms,
        peers=event.peers,
        gone=event.gone,
    )
    perform_all(state.run_once.handle(received, now), state, now, out)


@handle_event.register
def _ended(
    event: CallEnded,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    pending = state.pending_by_ticket[event.ticket]
    _record_thresholds(pending, event, state, now)
    ended = AttemptEnded(
        call_id=event.ticket,
        is_complete=event.is_complete and not event.was_shed,
    )
    out.extend(state.quarantine.handle(ended, now))
    finished = Finished(
        event.ticket,
        was_complete=event.is_complete,
        was_shed=event.was_shed,
    )
    admission_actions = state.admission.handle(finished, now)
    if not pending.event.is_repeatable:
        completed = Completed(
            key=pending.event.context.call_id,
            ending=event.ending,
        )
        perform_all(state.run_once.handle(completed, now), state, now, out)
    state.reply(pending, event.ending, event.retry_after_ms, out)
    state.remove(event.ticket)
    perform_all(admission_actions, state, now, out)


@handle_event.register
def _abandoned(
    event: CallAbandoned,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    pending = state.pending_by_ticket.get(event.ticket)
    if pending is None or pending.is_answered:
        return
    ending = _ending_of_abandoned(pending, event.reason)
    state.reply(pending, ending, _ABANDONED_RETRY_AFTER_MS, out)
    must_run_on = pending.is_forwarded and not pending.event.is_repeatable
    if must_run_on:
        # A non-repeatable call runs on: its outcome is kept for retries.
        return
    if not pending.is_forwarded:
        state.remove(event.ticket)
    admission_actions = state.admission.handle(Cancelled(event.ticket), now)
    perform_all(admission_actions, state, now, out)
    if not pending.event.is_repeatable:
        withdrawn = WaiterCancelled(call_id=event.ticket)
        perform_all(state.run_once.handle(withdrawn, now), state, now, out)


@handle_event.register
def _redirected(
    event: CallRedirected,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.reply_by_ticket(
        event.ticket, event.ending, DEFAULT_RETRY_AFTER_MS, out
    )


@handle_event.register
def _time_passed(
    event: GateTicked,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    perform_all(state.admission.handle(AdmissionTicked(), now), state, now, out)
    perform_all(state.run_once.handle(RunOnceTicked(), now), state, now, out)


@handle_event.register
def _leave_begun(
    event: LeaveBegun,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    perform_all(state.run_once.handle(Leaving(), now), state, now, out)
    perform_all(state.admission.handle(DrainStarted(), now), state, now, out)


@handle_event.register
def _target_down(
    event: TargetDown,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.extend(state.quarantine.handle(TargetCrashed(), now))


@handle_event.register
def _load_reported(
    event: LoadReported,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    perform_all(state.admission.handle(event, now), state, now, out)


@handle_event.register
def _peer_reported(
    event: PeerReported,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.extend(state.quarantine.handle(event, now))


def _record_thresholds(
    pending: PendingCall,
    event: CallEnded,
    state: GateState,
    now: float,
) -> None:
    by_service = event.threshold_by_service
    for service, threshold in by_service.items():
        state.thresholds.learn(service, threshold, now)
    if by_service:
        kind = pending.event.context.kind
        state.thresholds.record_dependencies(kind, list(by_service), now)


def _ending_of_abandoned(pending: PendingCall, reason: RefusalReason) -> Ending:
    outcome = Outcome.UNKNOWN
    if pending.event.is_repeatable:
        ran = pending.is_forwarded
        outcome = Outcome.FAILED if ran else Outcome.NOT_RUN
    return Ending(outcome=outcome, reason=reason)
