"""Derives the outcome of a call from those of its attempts."""

from collections.abc import Iterable

from lovageshunt.calls import Outcome


def merge_outcomes(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the outcome of a request from those of its calls.

    It is *answered* only if each call was (or there is none), and *not run*
    only if no call was dispatched. Otherwise it is *unknown* if one call is,
    else *failed*.
    """
    seen = set(outcomes)
    if seen <= {Outcome.ANSWERED}:
        return Outcome.ANSWERED
    if seen == {Outcome.NOT_RUN}:
        return Outcome.NOT_RUN
    if Outcome.UNKNOWN in seen:
        return Outcome.UNKNOWN
    return Outcome.FAILED


class OutcomeTracker:
    """The outcome of one call over all its attempts.

    A started attempt without an outcome counts as *unknown*.
    """

    __slots__ = ('_started_count', '_outcomes')

    def __init__(self) -> None:
        self._started_count = 0
        self._outcomes: list[Outcome] = []

    def begin(self) -> None:
        """Count an attempt; to be called before its first byte is sent."""
        self._started_count += 1

    def end(self, outcome: Outcome) -> None:
        """Record the outcome of one started attempt."""
        self._outcomes.append(outcome)

    def prove_not_run(self) -> None:
        """Record that no attempt so far ran or will run.

        To be called when the call's home node guarantees it.
        """
        self._outcomes = [Outcome.NOT_RUN for _ in range(self._started_count)]

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that may be reported to the caller now."""
        if Outcome.ANSWERED in self._outcomes:
            return Outcome.ANSWERED
        if len(self._outcomes) < self._started_count:
            return Outcome.UNKNOWN
        if all(each is Outcome.NOT_RUN for each in self._outcomes):
            return Outcome.NOT_RUN
        return merge_outcomes(self._outcomes)
