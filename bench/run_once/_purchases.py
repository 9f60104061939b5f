"""People who buy, wait, and try again."""

from random import Random
from typing import Final

from bench.run_once._callers import Caller, CallerKind
from bench.run_once._faults import World
from lovageshunt.calls import Outcome

_PATIENCE_SECONDS: Final = 6.0
_TIMEOUT_SECONDS: Final = 1.0
_CONNECT_SECONDS: Final = 0.2
_MOVE_SECONDS: Final = 0.05
_RETRY_SECONDS: Final = 1.0


class Purchase:
    """One person's purchase, until it is answered or patience ends."""

    def __init__(self, world: World, random: Random, caller: Caller) -> None:
        """Begin at once."""
        self.caller = caller
        self.ended: Outcome | None = None
        self._world = world
        self._random = random
        self._ends_at = caller.born_at + _PATIENCE_SECONDS
        self._attempt(0)

    def record_answer(self, call_id: str, outcome: Outcome) -> None:
        """Take an answer."""
        if self.ended is not None:
            return
        self.caller.record_answer(call_id, outcome)
        if outcome in {Outcome.ANSWERED, Outcome.FAILED}:
            self.ended = outcome
            return
        if int(call_id.split('/')[2]) == self.caller.last_attempt:
            is_moving = outcome is Outcome.NOT_RUN
            self._later(_MOVE_SECONDS if is_moving else _RETRY_SECONDS)

    def miss(self, call_id: str) -> None:
        """Take the news that no connection was made; go elsewhere."""
        self._world.fleet.after(
            _CONNECT_SECONDS,
            lambda: self._take_back(call_id),
        )

    @property
    def outcome(self) -> Outcome:
        """Return what the person was told in the end."""
        if self.ended is not None:
            return self.ended
        told = self.caller.told.get(self.caller.last_attempt)
        return told or Outcome.UNKNOWN

    def _take_back(self, call_id: str) -> None:
        if self.ended is None:
            self.caller.undo_attempt(call_id)
            self._attempt(self.caller.last_attempt)

    def _later(self, seconds: float) -> None:
        last = self.caller.last_attempt
        self._world.fleet.after(seconds, lambda: self._attempt(last))

    def _attempt(self, last: int) -> None:
        """Try again, unless something happened since attempt ``last``."""
        is_over = self._world.fleet.now >= self._ends_at
        if self.ended or is_over or self.caller.last_attempt != last:
            return
        self.caller.attempt(
            self._world.fleet,
            self._world.homes,
            self._random.choice,
        )
        self._later(_TIMEOUT_SECONDS)


class Crowd:
    """Purchases that begin at random times."""

    def __init__(self, world: World, random: Random, rate: float) -> None:
        """Begin the first; ``rate`` is in purchases a second."""
        self.by_key: dict[str, Purchase] = {}
        self._world = world
        self._random = random
        self._rate = rate
        world.fleet.on_answer = self._hear
        world.fleet.on_unsent = self._miss
        self._begin()

    def _hear(self, call_id: str, outcome: Outcome) -> None:
        self.by_key[call_id.split('/')[0]].record_answer(call_id, outcome)

    def _miss(self, call_id: str) -> None:
        self.by_key[call_id.split('/')[0]].miss(call_id)

    def _begin(self) -> None:
        kinds = (
            CallerKind.LIBRARY,
            CallerKind.NUMBERED,
            CallerKind.UNNUMBERED,
        )
        key = str(len(self.by_key))
        kind = kinds[len(self.by_key) % len(kinds)]
        caller = Caller(key=key, kind=kind, born_at=self._world.fleet.now)
        self.by_key[key] = Purchase(self._world, self._random, caller)
        wait = self._random.expovariate(self._rate)
        self._world.fleet.after(wait, self._begin)
