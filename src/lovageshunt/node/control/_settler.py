"""From a node's start to the time when it takes every kind of call."""

from collections.abc import Callable
from logging import getLogger

from lovageshunt._record import Record
from lovageshunt.clock import now
from lovageshunt.idempotency import Settled
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.control._peer_confirmations import PeerConfirmations

_log = getLogger(__name__)


class SettlingController:
    """Lets the node serve once all peers know it, and not too young.

    A first attempt that was on its way when the node settled may be as old
    as ``transit_seconds``, so the node serves that much later.
    """

    def __init__(
        self,
        settling: PeerConfirmations,
        life: NodeLife,
        *,
        handle_event: Callable[[Record], None],
        settle_seconds: float,
        transit_seconds: float,
    ) -> None:
        """Begin now; ``handle_event`` takes the events of the run-once table."""
        self._settling = settling
        self._life = life
        self._tell = handle_event
        self._settle_seconds = settle_seconds
        self._transit_seconds = transit_seconds
        self._is_settled = False
        self._serves_from = now() + settle_seconds

    async def advance(self) -> None:
        """Go on, if the node is settling; the list must have been read."""
        if self._life.state != 'settling':
            return
        if not self._is_settled:
            self._is_settled = await self._settling.is_known_to_all(now())
            if self._is_settled:
                self._tell(Settled())
                settled_at = max(now(), self._serves_from)
                self._serves_from = settled_at + self._transit_seconds
        if self._is_settled and now() >= self._serves_from:
            self._life.step('serve')
            _log.info('serving')

    def restart(self) -> None:
        """Have every peer confirm this node anew, as after a long pause.

        Peers may have forgotten it; until they confirm it, it takes no first
        attempts of calls that must not repeat.
        """
        if self._life.step('settle'):
            self._is_settled = False
            self._settling.forget()
            self._serves_from = now() + self._settle_seconds
