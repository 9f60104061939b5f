"""Callers with and without the library, and the answers they received."""

from collections.abc import Callable, Sequence
from enum import StrEnum

from bench.run_once._fleet import Fleet
from bench.run_once._messages import RequestMessage
from bench.run_once._network import age_ms_of
from lovageshunt.calls import HomeNode, Outcome
from lovageshunt.idempotency import next_attempt_number

Picker = Callable[[Sequence[HomeNode]], HomeNode]


class CallerKind(StrEnum):
    """How a caller identifies its attempts.

    ``LIBRARY``: by number and home stamp. ``NUMBERED``: by number only.
    ``UNNUMBERED``: by neither. ``HOP``: by number, where the first attempt
    goes through a service that stamps it and retries on its own.
    """

    LIBRARY = 'library'
    NUMBERED = 'numbered'
    UNNUMBERED = 'unnumbered'
    HOP = 'hop'


class Caller:
    """One purchase and the attempts to make it.

    ``born_at`` is in seconds on the fleet's clock. ``outcome_by_attempt``
    holds the outcomes received, by attempt number. A hop reports *not run*
    to its caller only if that holds for everything it sent.
    """

    def __init__(self, *, key: str, kind: CallerKind, born_at: float) -> None:
        self.key = key
        self.kind = kind
        self.born_at = born_at
        self.last_attempt = 0
        self.outcome_by_attempt: dict[int, Outcome] = {}
        self._sends = 0
        self._stamp: HomeNode | None = None
        self._hop_outcome_by_send: dict[int, Outcome | None] = {}

    def attempt(
        self, fleet: Fleet, homes: Sequence[HomeNode], pick: Picker
    ) -> None:
        """Send the next attempt, identified as this kind of caller does."""
        was_not_run = (
            self.outcome_by_attempt.get(self.last_attempt) is Outcome.NOT_RUN
        )
        is_hop = self.kind is CallerKind.HOP
        if was_not_run and self.last_attempt == 1 and not is_hop:
            # An attempt that is proved not run does not count: the next one
            # is a first attempt again.
            self.outcome_by_attempt.pop(1)
            self.last_attempt = 0
        is_first = self.last_attempt == 0
        self.last_attempt += 1
        home = pick(homes)
        if self.kind is CallerKind.LIBRARY:
            if is_first or was_not_run:
                self._stamp = home
            self._send(
                fleet, self.last_attempt, self._stamp, self._stamp or home
            )
            return
        if self.kind is CallerKind.HOP and is_first:
            self.hop(fleet, homes, pick)
            return
        number = self.last_attempt
        if self.kind is CallerKind.UNNUMBERED:
            number = 0
        self._send(fleet, number, None, home)

    def hop(
        self, fleet: Fleet, homes: Sequence[HomeNode], pick: Picker
    ) -> None:
        """Send or resend the first attempt from the stamping service.

        After *not run* it is a first attempt again, with a new home. If the
        outcome is unknown, it goes to the same home without a number.
        """
        if self.kind is not CallerKind.HOP or 1 in self.outcome_by_attempt:
            return
        is_new = all(
            each is Outcome.NOT_RUN
            for each in self._hop_outcome_by_send.values()
        )
        if is_new:
            self._stamp = pick(homes)
        self._hop_outcome_by_send[self._sends + 1] = None
        attempt = next_attempt_number(1, is_proved_not_run=is_new)
        self._send(fleet, attempt, self._stamp, self._stamp or pick(homes))

    def answer_from_hop(self) -> None:
        """Answer the caller's first attempt from the stamping service."""
        if not self._hop_outcome_by_send or 1 in self.outcome_by_attempt:
            return
        is_not_run = all(
            each is Outcome.NOT_RUN
            for each in self._hop_outcome_by_send.values()
        )
        self.outcome_by_attempt[1] = (
            Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
        )

    def record_answer(self, call_id: str, outcome: Outcome) -> None:
        _, _, attempt, send = call_id.split('/')
        if self.kind is CallerKind.HOP and int(attempt) == 1:
            self._hop_outcome_by_send[int(send)] = outcome
            return
        self.outcome_by_attempt[int(attempt)] = outcome

    def undo_attempt(self, call_id: str) -> None:
        """Uncount the last attempt, for which no connection was made."""
        attempt = int(call_id.split('/')[2])
        is_last = (
            attempt == self.last_attempt
            and attempt not in self.outcome_by_attempt
        )
        if is_last and self.kind is not CallerKind.HOP:
            self.last_attempt -= 1

    def breaks_at_most_once(self, executions: int) -> bool:
        """Return whether the call ran twice, or ran after *not run*."""
        if self.kind is CallerKind.UNNUMBERED:
            was_refused = Outcome.NOT_RUN in self.outcome_by_attempt.values()
        else:
            last = self.outcome_by_attempt.get(self.last_attempt)
            was_refused = last is Outcome.NOT_RUN
        allowed = 0 if was_refused else 1
        return executions > allowed

    def _send(
        self,
        fleet: Fleet,
        attempt: int,
        stamp: HomeNode | None,
        home: HomeNode,
    ) -> None:
        self._sends += 1
        sent_for = self.last_attempt
        if self.kind is CallerKind.HOP and stamp is not None:
            sent_for = 1
        call_id = f'{self.key}/{self.born_at}/{sent_for}/{self._sends}'
        fleet.send(
            RequestMessage(
                call_id=call_id,
                key=self.key,
                attempt=attempt,
                stamp=stamp,
                age_ms=age_ms_of(call_id, fleet.now),
                to=home.node,
                sent_at=fleet.now,
            ),
        )
