"""One outcome for a call out of those of its attempts and calls below."""

from collections.abc import Iterable

from lovageshunt.calls import Outcome


def merge_calls(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the outcome of a request out of those of its calls.

    It is answered only if each call was, and *not run* only if none was
    dispatched. No calls count as answered.
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

    An attempt that began and has no outcome yet counts as unknown.
    """

    __slots__ = ('_begun', '_outcomes')

    def __init__(self) -> None:
        """Begin with nothing dispatched."""
        self._begun = 0
        self._outcomes: list[Outcome] = []

    def begin(self) -> None:
        """Count an attempt, before its first byte is written."""
        self._begun += 1

    def end(self, outcome: Outcome) -> None:
        """Take the outcome of an attempt that began."""
        self._outcomes.append(outcome)

    def prove_not_run(self) -> None:
        """Take a home's word that no attempt so far ran or will run."""
        self._outcomes = [Outcome.NOT_RUN for _ in range(self._begun)]

    @property
    def outcome(self) -> Outcome:
        """Return what the caller may be told now."""
        if Outcome.ANSWERED in self._outcomes:
            return Outcome.ANSWERED
        if len(self._outcomes) < self._begun:
            return Outcome.UNKNOWN
        if all(each is Outcome.NOT_RUN for each in self._outcomes):
            return Outcome.NOT_RUN
        return merge_calls(self._outcomes)
