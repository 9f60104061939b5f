"""Tells all nodes while the target beside this node takes no connections."""

from asyncio import Task, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import ConnectionPool
from lovageshunt.links import FrameKind, OutageNotice, encode_message
from lovageshunt.sidecar._fleet import Fleet

_log = getLogger(__name__)
#: How long the news of an outage holds unless it is repeated, in seconds.
_VALID_SECONDS: Final = 1.0
#: The interval at which the target is tried and the news repeated, in seconds.
_CHECK_INTERVAL_SECONDS: Final = 0.25


class Outage:
    """The state of the target beside this node: whether it is down.

    It is down from the first connection that it refuses to the first that it
    accepts. ``pool`` connects to it.
    """

    __slots__ = (
        '_pool',
        '_fleet',
        '_broadcast',
        '_is_down',
        '_checked_at',
        '_check',
    )

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        fleet: Fleet,
        broadcast: Callable[[FrameKind, bytes], None],
    ) -> None:
        self._pool = pool
        self._fleet = fleet
        self._broadcast = broadcast
        self._is_down = False
        self._checked_at = float(0)
        self._check: Task[None] | None = None

    def note_refused(self) -> None:
        """Record that the target refused a connection."""
        if self._is_down:
            return
        self._is_down = True
        _log.warning('target is down: it refuses connections')
        self._tell(_VALID_SECONDS)

    def advance(self) -> None:
        """Try the target again if that is due."""
        is_due = clock_now() - self._checked_at >= _CHECK_INTERVAL_SECONDS
        if self._is_down and is_due and self._check is None:
            self._check = get_running_loop().create_task(self._try())

    async def _try(self) -> None:
        is_refused = await self._pool.refuses_connections()
        self._check = None
        if is_refused:
            self._tell(_VALID_SECONDS)
            return
        self._is_down = False
        _log.info('target is back: it accepts connections')
        self._tell(0)

    def _tell(self, seconds: float) -> None:
        self._checked_at = clock_now()
        own = self._fleet.own_entry
        if own is None:
            return
        notice = OutageNotice(target_id=own.target_id, seconds=seconds)
        self._fleet.note_outage(notice)
        self._broadcast(FrameKind.TARGET_DOWN, encode_message(notice))
