"""Detect pauses of the process before the next decision is dispatched."""

from typing import Generic, TypeVar

from lovageshunt.errors import StaleInputsError

_InputsT = TypeVar('_InputsT')


class StampedInputs(Generic[_InputsT]):
    """The inputs of a decision and the epoch in which they were read."""

    __slots__ = ('inputs', 'epoch')

    def __init__(self, inputs: _InputsT, epoch: int) -> None:
        self.inputs = inputs
        self.epoch = epoch


class EpochClock:
    """Counts the pauses of this process; each one starts a new epoch.

    The ``now`` values must come from a clock that counts time in suspension.
    The timer fires every ``tick_seconds``, so a gap between two observations
    of more than ``tick_seconds`` plus ``slack_seconds`` means a pause.
    """

    __slots__ = ('epoch', '_max_gap_seconds', '_last_observed_at')

    def __init__(
        self,
        now: float,
        *,
        tick_seconds: float,
        slack_seconds: float,
    ) -> None:
        self.epoch = 0
        self._max_gap_seconds = tick_seconds + slack_seconds
        self._last_observed_at = now

    def observe(self, now: float) -> bool:
        """Return whether the process was paused since the last observation.

        Call it on each timer tick, at the start of each decision and again
        immediately before its dispatch.
        """
        gap = now - self._last_observed_at
        self._last_observed_at = max(now, self._last_observed_at)
        if gap <= self._max_gap_seconds:
            return False
        self.epoch += 1
        return True

    def stamp(self, inputs: _InputsT) -> StampedInputs[_InputsT]:
        """Return the inputs stamped with the current epoch."""
        return StampedInputs(inputs, self.epoch)

    def require(self, epoch: int, now: float) -> None:
        """Check immediately before dispatch that no pause has occurred.

        Raises ``StaleInputsError`` if the inputs were read before a pause.
        """
        self.observe(now)
        if epoch != self.epoch:
            raise StaleInputsError(epoch, self.epoch)
