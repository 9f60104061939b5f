"""What follows from the actions that the decisions ask for."""

from collections.abc import Iterable
from functools import singledispatch

from lovageshunt._record import Record
from lovageshunt.admission import Abort, Admit, Arrived, Finished, Refuse
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency import (
    AnswerNotRun,
    AnswerUnknown,
    Dispatch,
    DispatchDue,
    Ending,
    Refused,
    Replay,
    Run,
    Wait,
)
from lovageshunt.node.gate._messages import CallArrived, CancelForward
from lovageshunt.node.gate._state import RETRY_AFTER_MS, GateState
from lovageshunt.retries import CallEnded as FlightEnded
from lovageshunt.retries import (
    CallStarting,
    Condemn,
    Proceed,
    RefuseForNow,
)


def follow(
    actions: Iterable[Record],
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Carry out actions in order; ``out`` collects what the daemon must do."""
    for action in actions:
        act(action, state, now, out)


def enter(
    event: CallArrived,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Let a call into admission, unless a service below it refuses it."""
    context = event.context
    wait_ms = state.thresholds.verdict_of_kind(
        context.kind,
        context.level,
        now,
    )
    if wait_ms is not None:
        refuse = Refuse(
            call_id=event.ticket,
            reason=RefusalReason.OVERLOAD,
            retry_after_ms=wait_ms,
        )
        act(refuse, state, now, out)
        return
    arrived = Arrived(
        call_id=event.ticket,
        level=context.level,
        deadline=event.deadline,
    )
    follow(state.admission.handle(arrived, now), state, now, out)


def release(
    ticket: str,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Give back the slot of a call that was not forwarded after all."""
    ended = FlightEnded(call_id=ticket, is_complete=False)
    out.extend(state.quarantine.handle(ended, now))
    finished = Finished(ticket, was_complete=True)
    follow(state.admission.handle(finished, now), state, now, out)


@singledispatch
def act(
    action: Record,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Hand on to the daemon what only it can do."""
    out.append(action)


@act.register
def _admit(
    action: Admit,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    event = state.by_ticket[action.call_id].event
    starting = CallStarting(
        call_id=action.call_id,
        fingerprint=event.fingerprint,
        suspicion=event.context.suspicion,
        is_repeatable=event.is_repeatable,
    )
    follow(state.quarantine.handle(starting, now), state, now, out)


@act.register
def _proceed(
    action: Proceed,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    arrival = state.by_ticket[action.call_id]
    if arrival.event.is_repeatable:
        state.forward(arrival, out)
        return
    due = DispatchDue(call_id=action.call_id)
    follow(state.run_once.handle(due, now), state, now, out)
    if not arrival.is_forwarded:
        release(action.call_id, state, now, out)


@act.register
def _dispatch(
    action: Dispatch,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.forward(state.by_ticket[action.call_id], out)


@act.register
def _refuse_for_now(
    action: RefuseForNow,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    refuse = Refuse(
        call_id=action.call_id,
        reason=RefusalReason.QUARANTINE,
        retry_after_ms=action.retry_after_ms,
    )
    act(refuse, state, now, out)
    release(action.call_id, state, now, out)


@act.register
def _condemn(
    action: Condemn,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    arrival = state.by_ticket[action.call_id]
    if not arrival.event.is_repeatable:
        busy = RefuseForNow(
            call_id=action.call_id,
            retry_after_ms=action.retry_after_ms,
        )
        act(busy, state, now, out)
        return
    ending = Ending(
        outcome=Outcome.FAILED,
        reason=RefusalReason.QUARANTINE,
    )
    state.settle(action.call_id, ending, action.retry_after_ms, out)
    release(action.call_id, state, now, out)


@act.register
def _refuse(
    action: Refuse,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    arrival = state.by_ticket[action.call_id]
    if not arrival.event.is_repeatable:
        refused = Refused(
            call_id=action.call_id,
            reason=action.reason,
            retry_after_ms=action.retry_after_ms,
        )
        follow(state.run_once.handle(refused, now), state, now, out)
        return
    ending = Ending(outcome=Outcome.NOT_RUN, reason=action.reason)
    state.settle(action.call_id, ending, action.retry_after_ms, out)


@act.register
def _abort(
    action: Abort,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.append(CancelForward(action.call_id))


@act.register
def _run(
    action: Run,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    enter(state.by_ticket[action.call_id].event, state, now, out)


@act.register
def _wait(
    action: Wait,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Do nothing; another action ends the arrival."""


@act.register
def _replay(
    action: Replay,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.settle(action.call_id, action.ending, RETRY_AFTER_MS, out)


@act.register
def _answer_not_run(
    action: AnswerNotRun,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    ending = Ending(outcome=Outcome.NOT_RUN, reason=action.reason)
    state.settle(action.call_id, ending, action.retry_after_ms, out)


@act.register
def _answer_unknown(
    action: AnswerUnknown,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    ending = Ending(outcome=Outcome.UNKNOWN, reason=action.reason)
    state.settle(action.call_id, ending, action.retry_after_ms, out)
