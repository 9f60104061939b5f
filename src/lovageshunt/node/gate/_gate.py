"""One call's way through the decisions beside its target.

A call that must not repeat passes the run-once table first. Each call then
passes admission, and the quarantine right before it is forwarded. The gate
does no input or output.
"""

from collections.abc import Collection

from lovageshunt._record import Record
from lovageshunt.admission import Admission
from lovageshunt.calls import LoadReport
from lovageshunt.idempotency import RunOnce
from lovageshunt.node.gate._events import take
from lovageshunt.node.gate._state import GateState
from lovageshunt.retries import Quarantine


class Gate:
    """Composes run-once, admission and quarantine for one target.

    It takes the events of ``_gate_messages``, and those of the run-once
    table that peers cause. Every ``CallArrived`` gets exactly one ``Reply``,
    unless a ``Redirect`` sends it elsewhere.
    """

    __slots__ = ('_state',)

    def __init__(
        self,
        *,
        admission: Admission,
        run_once: RunOnce,
        quarantine: Quarantine,
    ) -> None:
        """Take the three decisions; nothing is in progress."""
        self._state = GateState(
            admission=admission,
            run_once=run_once,
            quarantine=quarantine,
        )

    @property
    def in_progress(self) -> int:
        """Return how many calls wait or run here."""
        return len(self._state.by_ticket)

    @property
    def unanswered(self) -> int:
        """Return how many arrivals have had no reply."""
        return sum(
            not arrival.is_answered
            for arrival in self._state.by_ticket.values()
        )

    @property
    def threshold(self) -> int:
        """Return the target's own threshold."""
        return self._state.admission.threshold

    @property
    def next_wake(self) -> float:
        """Return the time by which ``TimePassed`` is due."""
        return self._state.admission.next_wake(0)

    def load(self) -> LoadReport:
        """Return the target's load for the next answer."""
        return self._state.admission.load()

    def threshold_by_service(
        self,
        kind: str,
        asked: Collection[str] | None,
        now: float,
    ) -> dict[str, int]:
        """Return the thresholds to tell a caller: own, and those below.

        Below, those of the services that its call ``asked``; when it was
        not forwarded, those that calls of its kind lately needed.
        """
        thresholds = self._state.thresholds
        if asked is None:
            asked = thresholds.dependencies(kind, now)
        by_service = thresholds.advertised(now, asked)
        by_service[self._state.run_once.service] = self.threshold
        return by_service

    def handle(self, event: Record, now: float) -> list[Record]:
        """Take an event and return what the daemon must do, in order."""
        actions: list[Record] = []
        take(event, self._state, now, actions)
        return actions
