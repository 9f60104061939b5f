"""Runs a node from its settings to its planned stop."""

from asyncio import Task, create_task, gather, get_running_loop, wait
from collections.abc import Callable
from logging import getLogger
from math import ceil
from signal import SIGINT, SIGTERM
from typing import Final

from lovageshunt.node._assembly import Assembly
from lovageshunt.node.admin._servers import EmbeddedServer
from lovageshunt.settings import NodeSettings

_log = getLogger(__name__)
#: The least time for answers that are written when the servers end.
_FLUSH_SECONDS: Final = 1.0
#: Requests named in one log line.
_MAX_NAMED: Final = 20


class NodeDaemon:
    """One node: its parts, its servers, and its life."""

    def __init__(
        self,
        settings: NodeSettings,
        suppressed: Callable[[], int],
    ) -> None:
        """Build the parts; nothing is opened yet.

        ``suppressed`` counts the logs held back.
        """
        self._parts = Assembly(settings, suppressed)
        self._running: Task[None] | None = None
        self._servers: tuple[EmbeddedServer, ...] = ()
        self._is_hurried = False

    async def run(self) -> int:
        """Serve until a planned stop is over; return the exit code.

        The first signal begins the stop; a second one ends it at once. The
        exit code is 1 after a second one, and when calls are cut off.
        """
        await self._parts.open()
        loop = get_running_loop()
        for number in (SIGTERM, SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        self._servers = self._parts.servers()
        serving = [create_task(server.serve()) for server in self._servers]
        running = create_task(self._parts.runtime.run())
        self._running = running
        await wait((running,))
        has_cut = self._log_cut()
        self._end_servers()
        await gather(*serving, return_exceptions=True)
        await self._parts.close()
        if not running.cancelled():
            # An error of the runtime is raised here, after all was closed.
            running.result()
        return int(has_cut or self._is_hurried)

    def _log_cut(self) -> bool:
        """Name the requests that are cut off; say whether there are any."""
        request_ids = self._parts.request_ids
        if request_ids:
            _log.error(
                'the stop cuts off %d calls, of requests %s',
                len(request_ids),
                ', '.join(request_ids[:_MAX_NAMED]),
            )
        return bool(request_ids)

    def _end_servers(self) -> None:
        # Answers on their way have what is left of the drain.
        left = max(_FLUSH_SECONDS, self._parts.runtime.drain_seconds_left)
        for server in self._servers:
            server.config.timeout_graceful_shutdown = ceil(left)
            server.should_exit = True

    def _on_signal(self) -> None:
        if not self._parts.runtime.is_leaving:
            self._parts.runtime.begin_leave()
            return
        _log.warning('second signal: stopping at once')
        self._is_hurried = True
        for server in self._servers:
            server.force_exit = True
        if self._running is not None:
            self._running.cancel()
