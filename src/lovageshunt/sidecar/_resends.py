"""Which calls are sent to a target again after a closed connection."""

from collections.abc import Callable

from lovageshunt.admission import TargetQueue
from lovageshunt.clock import now as clock_now
from lovageshunt.retries import FleetRetryBudget
from lovageshunt.sidecar._run import Run


class Resends:
    """Spends ``budget`` on calls that lost their connection to the target.

    A call that must not be repeated, or that was sent again before, is not.
    """

    __slots__ = ('budget', '_queue', '_has_left')

    def __init__(
        self,
        budget: FleetRetryBudget,
        queue: TargetQueue,
        has_left: Callable[[str], bool],
    ) -> None:
        self.budget = budget
        self._queue = queue
        self._has_left = has_left

    def take(self, run: Run) -> bool:
        """Return whether to send a call again; if so, count it."""
        if run.ended is None or run.resent or not run.order.is_repeatable:
            return False
        if self._has_left(run.order.target_id):
            return False
        now = clock_now()
        if not self.budget.may_spend(now):
            return False
        return self._queue.take_another(now) and self.budget.spend(now)
