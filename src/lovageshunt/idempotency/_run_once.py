"""At-most-once execution at one node, as a state machine without I/O."""

from lovageshunt.calls import HomeNode
from lovageshunt.idempotency import _arriving, _inquiring, _leaving, _running
from lovageshunt.idempotency._actions import Action
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._events import Event
from lovageshunt.idempotency._settings import RunOnceSettings
from lovageshunt.idempotency._state import NodeState

#: Importing these modules registers their event handlers.
_HANDLER_MODULES = (_arriving, _inquiring, _leaving, _running)


class RunOnce:
    """Decides, for one service at one node, which attempts may run.

    ``started_at`` and every ``now`` are seconds of one clock that also
    advances during suspension; it is never compared with the clock of
    another node.
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
        self.service = service
        self._state = NodeState(
            identity=(node, incarnation),
            started_at=started_at,
            settings=settings,
        )

    @property
    def home(self) -> HomeNode:
        """Return the stamp that makes this node the home of a call."""
        node, incarnation = self._state.identity
        return HomeNode(node=node, incarnation=incarnation)

    @property
    def entry_count(self) -> int:
        """Return the number of calls in the table."""
        return len(self._state.entry_by_key)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event; return the actions to carry out, in order."""
        return decide(event, self._state, now)
