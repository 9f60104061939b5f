"""The planned shutdown of a node, from its signal to its last response."""

from asyncio import sleep
from collections.abc import Callable
from logging import getLogger
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import OpenConnections, ServerConnection
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._origin import Origin

_log = getLogger(__name__)
#: How long a planned shutdown keeps serving at least, in seconds, so that
#: clients and nodes have seen that this node is no longer ready.
_MIN_LINGER_SECONDS: Final = 2.5
#: How long after its start a planned shutdown begins to refuse requests that
#: could outlast it, in seconds. By then clients have seen that this node is
#: not ready; they still send here when most nodes around them stop too.
_ACCEPT_ALL_SECONDS: Final = 3.0
#: The part of a planned shutdown that is reserved for the last responses, in
#: seconds.
_LAST_RESPONSES_SECONDS: Final = 1.0
#: How long before the end of its time the process exits, in seconds.
_EXIT_SECONDS: Final = 0.2
#: The interval at which a planned shutdown checks for its end, in seconds.
_STOP_TICK_SECONDS: Final = 0.05


class PlannedStop:
    """Finishes accepted requests and responds to those that it ends.

    ``clients`` are the open connections. ``tick`` is called in each interval
    of the shutdown, ``close`` ends the listeners and the links.
    """

    __slots__ = ('_origin', '_executor', '_clients', '_tick', '_close')

    def __init__(
        self,
        *,
        origin: Origin,
        executor: Executor,
        clients: OpenConnections[ServerConnection],
        tick: Callable[[], None],
        close: Callable[[], None],
    ) -> None:
        self._origin = origin
        self._executor = executor
        self._clients = clients
        self._tick = tick
        self._close = close

    async def run(self, stop_seconds: float) -> None:
        """Shut down within ``stop_seconds``.

        Only requests that could outlast the shutdown are refused.
        """
        started_at = clock_now()
        max_seconds = stop_seconds - _LAST_RESPONSES_SECONDS
        self._origin.stop(
            accepts_all_until=started_at + _ACCEPT_ALL_SECONDS,
            stops_at=started_at + max_seconds,
        )
        while clock_now() - started_at < max_seconds:
            for connection in self._clients:
                connection.closes_next = True
            await self._pause()
            if clock_now() - started_at < _MIN_LINGER_SECONDS:
                continue
            self._executor.drain()
            self._close_idle()
            if self._executor.is_empty and not self._owes_responses():
                break
        await self._end_calls(started_at + stop_seconds - _EXIT_SECONDS)
        _log.info('planned shutdown finished', extra=self.counts())

    def counts(self) -> dict[str, int]:
        """Return the log fields of a shutdown."""
        return {
            'requests': self._origin.open_count,
            'connections': len(self._clients),
        }

    async def _end_calls(self, ends_at: float) -> None:
        """Respond to the requests in progress; pass no more on.

        Responses that are not sent by ``ends_at`` are lost; it is in seconds
        on the process's clock.
        """
        if self._origin.open_count or not self._executor.is_empty:
            _log.warning('ending the requests in progress', extra=self.counts())
        self._origin.close()
        self._executor.stop()
        self._close()
        self._close_idle()
        await self._pause()
        while self._owes_responses() and clock_now() < ends_at:
            await self._pause()

    def _owes_responses(self) -> bool:
        """Return whether a client has still to get a response, or its end."""
        if self._origin.open_count:
            return True
        return any(connection.is_sending for connection in self._clients)

    async def _pause(self) -> None:
        self._tick()
        await sleep(_STOP_TICK_SECONDS)

    def _close_idle(self) -> None:
        for connection in self._clients:
            connection.close_idle()
