"""Carries out the actions that run-once, admission and quarantine return.

The order of run-once, admission, quarantine and forwarding is decided here.
"""

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
from lovageshunt.node.gate._state import DEFAULT_RETRY_AFTER_MS, GateState
from lovageshunt.retries import CallEnded as AttemptEnded
from lovageshunt.retries import (
    CallStarting,
    FailCondemned,
    Proceed,
    RefuseTemporarily,
)


def perform_all(
    actions: Iterable[Record],
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Perform actions in order; those left to the daemon go to ``out``."""
    for action in actions:
        perform(action, state, now, out)


def enter_admission(
    event: CallArrived,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Pass a call to admission, or refuse it for an overloaded dependency.

    A call that a downstream service would shed is refused before it takes
    a slot here.
    """
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
        perform(refuse, state, now, out)
        return
    arrived = Arrived(
        call_id=event.ticket,
        level=context.level,
        deadline=event.deadline,
    )
    perform_all(state.admission.handle(arrived, now), state, now, out)


def release_slot(
    ticket: str,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Free the slot of a call that was admitted but not forwarded."""
    ended = AttemptEnded(call_id=ticket, is_complete=False)
    out.extend(state.quarantine.handle(ended, now))
    finished = Finished(ticket, was_complete=True)
    perform_all(state.admission.handle(finished, now), state, now, out)


@singledispatch
def perform(
    action: Record,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Leave an action without a handler here to the daemon."""
    out.append(action)


@perform.register
def _admit(
    action: Admit,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    event = state.pending_by_ticket[action.call_id].event
    starting = CallStarting(
        call_id=action.call_id,
        fingerprint=event.fingerprint,
        suspicion=event.context.suspicion,
        is_repeatable=event.is_repeatable,
    )
    perform_all(state.quarantine.handle(starting, now), state, now, out)


@perform.register
def _proceed(
    action: Proceed,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    pending = state.pending_by_ticket[action.call_id]
    if pending.event.is_repeatable:
        state.forward(pending, out)
        return
    due = DispatchDue(call_id=action.call_id)
    perform_all(state.run_once.handle(due, now), state, now, out)
    if not pending.is_forwarded:
        release_slot(action.call_id, state, now, out)


@perform.register
def _dispatch(
    action: Dispatch,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.forward(state.pending_by_ticket[action.call_id], out)


@perform.register
def _refuse_for_now(
    action: RefuseTemporarily,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    refuse = Refuse(
        call_id=action.call_id,
        reason=RefusalReason.QUARANTINE,
        retry_after_ms=action.retry_after_ms,
    )
    perform(refuse, state, now, out)
    release_slot(action.call_id, state, now, out)


@perform.register
def _condemn(
    action: FailCondemned,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    pending = state.pending_by_ticket[action.call_id]
    if not pending.event.is_repeatable:
        refuse = RefuseTemporarily(
            call_id=action.call_id,
            retry_after_ms=action.retry_after_ms,
        )
        perform(refuse, state, now, out)
        return
    ending = Ending(
        outcome=Outcome.FAILED,
        reason=RefusalReason.QUARANTINE,
    )
    state.reply_by_ticket(action.call_id, ending, action.retry_after_ms, out)
    release_slot(action.call_id, state, now, out)


@perform.register
def _refuse(
    action: Refuse,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    pending = state.pending_by_ticket[action.call_id]
    if not pending.event.is_repeatable:
        refused = Refused(
            call_id=action.call_id,
            reason=action.reason,
            retry_after_ms=action.retry_after_ms,
        )
        perform_all(state.run_once.handle(refused, now), state, now, out)
        return
    ending = Ending(outcome=Outcome.NOT_RUN, reason=action.reason)
    state.reply_by_ticket(action.call_id, ending, action.retry_after_ms, out)


@perform.register
def _abort(
    action: Abort,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    out.append(CancelForward(action.call_id))


@perform.register
def _run(
    action: Run,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    enter_admission(
        state.pending_by_ticket[action.call_id].event, state, now, out
    )


@perform.register
def _wait(
    action: Wait,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    """Do nothing: a later action answers the call."""


@perform.register
def _replay(
    action: Replay,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    state.reply_by_ticket(
        action.call_id, action.ending, DEFAULT_RETRY_AFTER_MS, out
    )


@perform.register
def _answer_not_run(
    action: AnswerNotRun,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    ending = Ending(outcome=Outcome.NOT_RUN, reason=action.reason)
    state.reply_by_ticket(action.call_id, ending, action.retry_after_ms, out)


@perform.register
def _answer_unknown(
    action: AnswerUnknown,
    state: GateState,
    now: float,
    out: list[Record],
) -> None:
    ending = Ending(outcome=Outcome.UNKNOWN, reason=action.reason)
    state.reply_by_ticket(action.call_id, ending, action.retry_after_ms, out)
