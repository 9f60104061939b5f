"""What the gate does about each event."""

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
from lovageshunt.node.gate._actions import enter, follow
from lovageshunt.node.gate._messages import (
    CallAbandoned,
    CallArrived,
    CallEnded,
    CallRedirected,
    LeaveBegun,
    TargetDown,
    TimePassed,
)
from lovageshunt.node.gate._state import RETRY_AFTER_MS, Arrival, GateState
from lovageshunt.retries import CallEnded as FlightEnded
from lovageshunt.retries import PeerReported, TargetCrashed

_ABANDONED_RETRY_MS: Final = 100


@singledispatch
def take(
    event: Any,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Pass what concerns only the run-once table to it."""
    follow(state.run_once.handle(event, now), state, now, out)


@take.register
def _arrived(
    event: CallArrived,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.by_ticket[event.ticket] = Arrival(event)
    if event.is_repeatable:
        enter(event, state, now, out)
        return
    requested = AttemptReceived(
        call_id=event.ticket,
        key=event.context.call_id,
        attempt=event.context.attempt,
        deadline=event.deadline,
        stamp=event.context.home,
        age_ms=event.context.age_ms,
        peers=event.peers,
        gone=event.gone,
    )
    follow(state.run_once.handle(requested, now), state, now, out)


@take.register
def _ended(
    event: CallEnded,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    arrival = state.by_ticket[event.ticket]
    _learn(arrival, event, state, now)
    ended = FlightEnded(call_id=event.ticket, is_complete=event.is_complete)
    out.extend(state.quarantine.handle(ended, now))
    finished = Finished(
        event.ticket,
        was_complete=event.is_complete,
        was_shed=event.was_shed,
    )
    freed = state.admission.handle(finished, now)
    if not arrival.event.is_repeatable:
        completed = Completed(
            key=arrival.event.context.call_id,
            ending=event.ending,
        )
        follow(state.run_once.handle(completed, now), state, now, out)
    state.reply(arrival, event.ending, event.retry_after_ms, out)
    state.forget(event.ticket)
    follow(freed, state, now, out)


@take.register
def _abandoned(
    event: CallAbandoned,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    arrival = state.by_ticket.get(event.ticket)
    if arrival is None or arrival.is_answered:
        return
    ending = _ending_of_abandoned(arrival, event.reason)
    state.reply(arrival, ending, _ABANDONED_RETRY_MS, out)
    is_kept = arrival.is_forwarded and not arrival.event.is_repeatable
    if is_kept:
        # A call that must not repeat goes on, and its ending is kept.
        return
    if not arrival.is_forwarded:
        state.forget(event.ticket)
    freed = state.admission.handle(Cancelled(event.ticket), now)
    follow(freed, state, now, out)
    if not arrival.event.is_repeatable:
        withdrawn = WaiterCancelled(call_id=event.ticket)
        follow(state.run_once.handle(withdrawn, now), state, now, out)


@take.register
def _redirected(
    event: CallRedirected,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.settle(event.ticket, event.ending, RETRY_AFTER_MS, out)


@take.register
def _time_passed(
    event: TimePassed,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    follow(state.admission.handle(AdmissionTicked(), now), state, now, out)
    follow(state.run_once.handle(RunOnceTicked(), now), state, now, out)


@take.register
def _leave_begun(
    event: LeaveBegun,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    follow(state.run_once.handle(Leaving(), now), state, now, out)
    follow(state.admission.handle(DrainStarted(), now), state, now, out)


@take.register
def _target_down(
    event: TargetDown,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.extend(state.quarantine.handle(TargetCrashed(), now))


@take.register
def _load_reported(
    event: LoadReported,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    follow(state.admission.handle(event, now), state, now, out)


@take.register
def _peer_reported(
    event: PeerReported,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.extend(state.quarantine.handle(event, now))


def _learn(
    arrival: Arrival,
    event: CallEnded,
    state: GateState,
    now: float,
) -> None:
    by_service = event.threshold_by_service
    for service, threshold in by_service.items():
        state.thresholds.learn(service, threshold, now)
    if by_service:
        kind = arrival.event.context.kind
        state.thresholds.record_dependencies(kind, list(by_service), now)


def _ending_of_abandoned(arrival: Arrival, reason: RefusalReason) -> Ending:
    outcome = Outcome.UNKNOWN
    if arrival.event.is_repeatable:
        ran = arrival.is_forwarded
        outcome = Outcome.FAILED if ran else Outcome.NOT_RUN
    return Ending(outcome=outcome, reason=reason)
