"""Moves a node from settling to serving."""

from collections.abc import Callable
from logging import getLogger

from lovageshunt._record import Record
from lovageshunt.clock import now
from lovageshunt.idempotency import Settled
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.control._peer_confirmations import PeerConfirmations

_log = getLogger(__name__)


class SettlingController:
    """Starts serving once all peers know the node and it is old enough.

    ``Settled`` is reported once all peers have confirmed the node. Serving
    starts ``transit_seconds`` later, counted from ``settle_seconds`` after
    the start at the earliest: a first attempt that was in transit when the
    node settled may be as old as ``transit_seconds``.
    """

    def __init__(
        self,
        confirmations: PeerConfirmations,
        life: NodeLife,
        *,
        handle_event: Callable[[Record], None],
        settle_seconds: float,
        transit_seconds: float,
    ) -> None:
        """Pass the run-once table's events to ``handle_event``."""
        self._confirmations = confirmations
        self._life = life
        self._handle_event = handle_event
        self._settle_seconds = settle_seconds
        self._transit_seconds = transit_seconds
        self._is_settled = False
        self._serves_from = now() + settle_seconds

    async def advance(self) -> None:
        """Advance a settling node; the membership list must have been read."""
        if self._life.state != 'settling':
            return
        if not self._is_settled:
            self._is_settled = await self._confirmations.is_known_to_all(now())
            if self._is_settled:
                self._handle_event(Settled())
                settled_at = max(now(), self._serves_from)
                self._serves_from = settled_at + self._transit_seconds
        if self._is_settled and now() >= self._serves_from:
            self._life.step('serve')
            _log.info('settled; the node accepts calls of every kind')

    def restart(self) -> None:
        """Return to settling, as after a long pause.

        Peers may have dropped this node; until all of them confirm it again,
        it accepts no first attempts of non-repeatable calls.
        """
        if self._life.step('settle'):
            self._is_settled = False
            self._confirmations.clear()
            self._serves_from = now() + self._settle_seconds
