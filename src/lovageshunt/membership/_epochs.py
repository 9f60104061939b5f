"""Noticing that the process was paused, before its next decision."""

from typing import Generic, TypeVar

from lovageshunt.errors import StalePictureError

_InputsT = TypeVar('_InputsT')


class StampedInputs(Generic[_InputsT]):
    """The inputs of a decision and the epoch in which they were read."""

    __slots__ = ('inputs', 'epoch')

    def __init__(self, inputs: _InputsT, epoch: int) -> None:
        """Stamp the inputs."""
        self.inputs = inputs
        self.epoch = epoch


class EpochClock:
    """Counts the pauses of this process.

    The clock that it is told must count suspension. A gap between two
    observations that is longer than ``tick_seconds`` and ``slack_seconds``
    together can only be a pause, because the timer turns every
    ``tick_seconds``.
    """

    __slots__ = ('epoch', '_longest_gap', '_last_seen')

    def __init__(
        self,
        now: float,
        *,
        tick_seconds: float,
        slack_seconds: float,
    ) -> None:
        """Begin epoch 0 at ``now``."""
        self.epoch = 0
        self._longest_gap = tick_seconds + slack_seconds
        self._last_seen = now

    def observe(self, now: float) -> bool:
        """Return whether a pause ended since the last observation.

        To be called at each turn of the timer, at the start of each decision
        and again right before its dispatch.
        """
        gap = now - self._last_seen
        self._last_seen = max(now, self._last_seen)
        if gap <= self._longest_gap:
            return False
        self.epoch += 1
        return True

    def stamp(self, inputs: _InputsT) -> StampedInputs[_InputsT]:
        """Return the inputs stamped with the present epoch."""
        return StampedInputs(inputs, self.epoch)

    def require(self, epoch: int, now: float) -> None:
        """Check right before dispatch that no pause came in between.

        Raises ``StalePictureError`` when the inputs were read before a pause.
        """
        self.observe(now)
        if epoch != self.epoch:
            raise StalePictureError(epoch, self.epoch)
