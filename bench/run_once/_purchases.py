"""Generates purchases that are retried until a deadline."""

from random import Random
from typing import Final

from bench.run_once._callers import Caller, CallerKind
from bench.run_once._faults import Environment
from lovageshunt.calls import Outcome

_RETRY_DEADLINE_SECONDS: Final = 6.0
_TIMEOUT_SECONDS: Final = 1.0
_CONNECT_FAILURE_SECONDS: Final = 0.2
_REROUTE_SECONDS: Final = 0.05
_RETRY_SECONDS: Final = 1.0


class Purchase:
    """A purchase, retried until it is answered or its deadline passes.

    ``final_outcome`` is ``None`` until the call was answered or failed.
    """

    def __init__(
        self, environment: Environment, random: Random, caller: Caller
    ) -> None:
        """Send the first attempt at once."""
        self.caller = caller
        self.final_outcome: Outcome | None = None
        self._environment = environment
        self._random = random
        self._ends_at = caller.born_at + _RETRY_DEADLINE_SECONDS
        self._attempt(0)

    def record_answer(self, call_id: str, outcome: Outcome) -> None:
        """Record an answer and schedule a retry if one is needed."""
        if self.final_outcome is not None:
            return
        self.caller.record_answer(call_id, outcome)
        if outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.final_outcome = outcome
            return
        if int(call_id.split('/')[2]) == self.caller.last_attempt:
            is_rerouted = outcome is Outcome.NOT_RUN
            self._attempt_later(
                _REROUTE_SECONDS if is_rerouted else _RETRY_SECONDS
            )

    def handle_unsent(self, call_id: str) -> None:
        """Retry at another node after no connection was made."""
        self._environment.fleet.schedule(
            _CONNECT_FAILURE_SECONDS,
            lambda: self._undo_and_retry(call_id),
        )

    @property
    def outcome(self) -> Outcome:
        """The outcome that the caller knows at present."""
        if self.final_outcome is not None:
            return self.final_outcome
        last_outcome = self.caller.outcome_by_attempt.get(
            self.caller.last_attempt
        )
        return last_outcome or Outcome.UNKNOWN

    def _undo_and_retry(self, call_id: str) -> None:
        if self.final_outcome is None:
            self.caller.undo_attempt(call_id)
            self._attempt(self.caller.last_attempt)

    def _attempt_later(self, seconds: float) -> None:
        last = self.caller.last_attempt
        self._environment.fleet.schedule(seconds, lambda: self._attempt(last))

    def _attempt(self, last: int) -> None:
        """Send an attempt, unless one was sent or undone since ``last``."""
        is_over = self._environment.fleet.now >= self._ends_at
        if self.final_outcome or is_over or self.caller.last_attempt != last:
            return
        self.caller.attempt(
            self._environment.fleet,
            self._environment.homes,
            self._random.choice,
        )
        self._attempt_later(_TIMEOUT_SECONDS)


class PurchaseLoad:
    """Starts purchases with exponentially distributed intervals."""

    def __init__(
        self, environment: Environment, random: Random, rate: float
    ) -> None:
        """Start the first one; ``rate`` is in purchases per second."""
        self.by_key: dict[str, Purchase] = {}
        self._environment = environment
        self._random = random
        self._rate = rate
        environment.fleet.on_answer = self._record_answer
        environment.fleet.on_unsent = self._report_unsent
        self._start_next()

    def _record_answer(self, call_id: str, outcome: Outcome) -> None:
        self.by_key[call_id.split('/')[0]].record_answer(call_id, outcome)

    def _report_unsent(self, call_id: str) -> None:
        self.by_key[call_id.split('/')[0]].handle_unsent(call_id)

    def _start_next(self) -> None:
        kinds = (
            CallerKind.LIBRARY,
            CallerKind.NUMBERED,
            CallerKind.UNNUMBERED,
        )
        key = str(len(self.by_key))
        kind = kinds[len(self.by_key) % len(kinds)]
        caller = Caller(key=key, kind=kind, born_at=self._environment.fleet.now)
        self.by_key[key] = Purchase(self._environment, self._random, caller)
        wait = self._random.expovariate(self._rate)
        self._environment.fleet.schedule(wait, self._start_next)
