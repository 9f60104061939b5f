"""The state of the gate: its three components and the pending calls."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission import Admission, CallerThresholds
from lovageshunt.idempotency import Ending, RunOnce
from lovageshunt.node.gate._messages import CallArrived, Forward, Reply
from lovageshunt.retries import Quarantine

#: Retry delay in a reply whose ending names none.
DEFAULT_RETRY_AFTER_MS: Final = 1000


class PendingCall(Record):
    """A call that has arrived here and is not over.

    A call can be answered while it still runs at the target.
    """

    __slots__ = ('event', 'is_forwarded', 'is_answered')

    def __init__(self, event: CallArrived) -> None:
        self.event = event
        self.is_forwarded = False
        self.is_answered = False


class GateState:
    """Holds the gate's components and its pending calls by ticket.

    ``thresholds`` are the admission thresholds that downstream services
    reported.
    """

    __slots__ = (
        'admission',
        'run_once',
        'quarantine',
        'thresholds',
        'pending_by_ticket',
    )

    def __init__(
        self,
        *,
        admission: Admission,
        run_once: RunOnce,
        quarantine: Quarantine,
    ) -> None:
        self.admission = admission
        self.run_once = run_once
        self.quarantine = quarantine
        self.thresholds = CallerThresholds()
        self.pending_by_ticket: dict[str, PendingCall] = {}

    def forward(self, pending: PendingCall, out: list[Record]) -> None:
        """Mark the call as forwarded and emit ``Forward``."""
        pending.is_forwarded = True
        out.append(Forward(pending.event.ticket))

    def reply(
        self,
        pending: PendingCall,
        ending: Ending,
        retry_after_ms: int,
        out: list[Record],
    ) -> None:
        """Emit a ``Reply``, unless the call was answered before."""
        if pending.is_answered:
            return
        pending.is_answered = True
        out.append(
            Reply(
                ticket=pending.event.ticket,
                ending=ending,
                retry_after_ms=retry_after_ms or DEFAULT_RETRY_AFTER_MS,
                ran=pending.is_forwarded,
            ),
        )

    def reply_by_ticket(
        self,
        ticket: str,
        ending: Ending,
        retry_after_ms: int,
        out: list[Record],
    ) -> None:
        """Answer a call, and remove it if it was never forwarded.

        A ticket that is not pending is ignored.
        """
        pending = self.pending_by_ticket.get(ticket)
        if pending is None:
            return
        self.reply(pending, ending, retry_after_ms, out)
        if not pending.is_forwarded:
            self.remove(ticket)

    def remove(self, ticket: str) -> None:
        self.pending_by_ticket.pop(ticket, None)
