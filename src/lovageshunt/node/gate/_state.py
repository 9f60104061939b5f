"""What the gate holds: the decisions, and the arrivals in progress."""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.admission import Admission, CallerThresholds
from lovageshunt.idempotency import Ending, RunOnce
from lovageshunt.node.gate._messages import CallArrived, Forward, Reply
from lovageshunt.retries import Quarantine

#: When to come back after an ending that did not say it.
RETRY_AFTER_MS: Final = 1000


class Arrival(Record):
    """A call in progress here, and how far it came."""

    __slots__ = ('event', 'is_forwarded', 'is_answered')

    def __init__(self, event: CallArrived) -> None:
        """Begin with a call that has just arrived."""
        self.event = event
        self.is_forwarded = False
        self.is_answered = False


class GateState:
    """The three decisions, what is known of services below, and arrivals."""

    __slots__ = (
        'admission',
        'run_once',
        'quarantine',
        'thresholds',
        'by_ticket',
    )

    def __init__(
        self,
        *,
        admission: Admission,
        run_once: RunOnce,
        quarantine: Quarantine,
    ) -> None:
        """Take the three decisions; nothing is in progress."""
        self.admission = admission
        self.run_once = run_once
        self.quarantine = quarantine
        self.thresholds = CallerThresholds()
        self.by_ticket: dict[str, Arrival] = {}

    def forward(self, arrival: Arrival, out: list[Record]) -> None:
        """Have the call sent to the target."""
        arrival.is_forwarded = True
        out.append(Forward(arrival.event.ticket))

    def reply(
        self,
        arrival: Arrival,
        ending: Ending,
        retry_after_ms: int,
        out: list[Record],
    ) -> None:
        """Answer an arrival, unless it was answered before."""
        if arrival.is_answered:
            return
        arrival.is_answered = True
        out.append(
            Reply(
                ticket=arrival.event.ticket,
                ending=ending,
                retry_after_ms=retry_after_ms or RETRY_AFTER_MS,
                ran=arrival.is_forwarded,
            ),
        )

    def settle(
        self,
        ticket: str,
        ending: Ending,
        retry_after_ms: int,
        out: list[Record],
    ) -> None:
        """Answer an arrival by its ticket, and forget it if it never ran."""
        arrival = self.by_ticket.get(ticket)
        if arrival is None:
            return
        self.reply(arrival, ending, retry_after_ms, out)
        if not arrival.is_forwarded:
            self.forget(ticket)

    def forget(self, ticket: str) -> None:
        """Drop an arrival that is over."""
        self.by_ticket.pop(ticket, None)
