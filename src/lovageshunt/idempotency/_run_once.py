"""The decision of one node to run a call at most once."""

from lovageshunt.calls import HomeStamp
from lovageshunt.idempotency import _arriving, _inquiring, _leaving, _running
from lovageshunt.idempotency._actions import Action
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._events import Event
from lovageshunt.idempotency._settings import RunOnceSettings
from lovageshunt.idempotency._state import NodeState

#: The modules that register what is decided about each event.
_PARTS = (_arriving, _inquiring, _leaving, _running)


class RunOnce:
    """Decides, for one service at one node, which attempts may run.

    ``started_at`` and every ``now`` are seconds of one clock that counts
    suspension; no other node's clock is compared with it.
    """

    __slots__ = ('service', '_state')

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        service: str,
        started_at: float,
        settings: RunOnceSettings,
    ) -> None:
        """Begin with an empty table."""
        self.service = service
        self._state = NodeState(
            me=(node, incarnation),
            started_at=started_at,
            settings=settings,
        )

    @property
    def home(self) -> HomeStamp:
        """Return the stamp that makes this node the home of a call."""
        node, incarnation = self._state.me
        return HomeStamp(node=node, incarnation=incarnation)

    @property
    def entry_count(self) -> int:
        """Return how many calls the table holds."""
        return len(self._state.entry_by_key)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return what the node must do about an event, in order."""
        return decide(event, self._state, now)
