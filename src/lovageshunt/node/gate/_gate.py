"""Runs each call through run-once, admission and quarantine.

A non-repeatable call goes through the run-once table first. Every call then
goes through admission, and through the quarantine just before it is
forwarded. The gate does no I/O.
"""

from collections.abc import Collection

from lovageshunt._record import Record
from lovageshunt.admission import Admission
from lovageshunt.calls import LoadReport
from lovageshunt.idempotency import RunOnce
from lovageshunt.node.gate._events import handle_event
from lovageshunt.node.gate._state import GateState
from lovageshunt.retries import Quarantine


class Gate:
    """Composes run-once, admission and quarantine for one target.

    It handles the events of ``_messages``, and those of the run-once table
    that peers cause. Every ``CallArrived`` gets exactly one ``Reply``,
    unless a ``Redirect`` sends it to another node.
    """

    __slots__ = ('_state',)

    def __init__(
        self,
        *,
        admission: Admission,
        run_once: RunOnce,
        quarantine: Quarantine,
    ) -> None:
        self._state = GateState(
            admission=admission,
            run_once=run_once,
            quarantine=quarantine,
        )

    @property
    def in_progress(self) -> int:
        """Return the number of calls that wait or run here."""
        return len(self._state.pending_by_ticket)

    @property
    def unanswered(self) -> int:
        """Return the number of calls without a reply."""
        return sum(
            not pending.is_answered
            for pending in self._state.pending_by_ticket.values()
        )

    @property
    def threshold(self) -> int:
        """Return the admission threshold of the target itself."""
        return self._state.admission.threshold

    @property
    def next_wake(self) -> float:
        """Return the time by which the next ``GateTicked`` is due."""
        return self._state.admission.next_wake(0)

    def load(self) -> LoadReport:
        """Return the target's load, to be sent with the next answer."""
        return self._state.admission.load()

    def threshold_by_service(
        self,
        kind: str,
        services: Collection[str] | None,
        now: float,
    ) -> dict[str, int]:
        """Return the thresholds to report to a caller, by service.

        They are the target's own and those of the downstream services that
        the call used (``services``). ``None`` means that the call was not
        forwarded; the recent dependencies of its kind are used then.
        """
        thresholds = self._state.thresholds
        if services is None:
            services = thresholds.dependencies(kind, now)
        by_service = thresholds.advertised(now, services)
        by_service[self._state.run_once.service] = self.threshold
        return by_service

    def handle(self, event: Record, now: float) -> list[Record]:
        """Return the actions that the daemon must perform, in order."""
        actions: list[Record] = []
        handle_event(event, self._state, now, actions)
        return actions
