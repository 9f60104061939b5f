"""Process lifecycle of a node: start-up, signals and graceful shutdown."""

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
#: Minimum time to finish writing responses when the servers shut down.
_MIN_FLUSH_SECONDS: Final = 1.0
#: Request ids listed in one log line.
_MAX_LOGGED_REQUESTS: Final = 20


class NodeDaemon:
    """One node: its components, its servers and their lifecycle.

    ``suppressed`` returns how many log records were rate limited. No
    connection is opened before ``run``.
    """

    def __init__(
        self,
        settings: NodeSettings,
        suppressed: Callable[[], int],
    ) -> None:
        self._assembly = Assembly(settings, suppressed)
        self._running: Task[None] | None = None
        self._servers: tuple[EmbeddedServer, ...] = ()
        self._was_forced = False

    async def run(self) -> int:
        """Serve until a graceful shutdown completes; return the exit code.

        The first SIGTERM or SIGINT starts the shutdown; the second stops at
        once. The exit code is 1 after a second signal or if calls were
        aborted.
        """
        await self._assembly.open()
        loop = get_running_loop()
        for signal_number in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        self._servers = self._assembly.servers()
        serving = [create_task(server.serve()) for server in self._servers]
        running = create_task(self._assembly.runtime.run())
        self._running = running
        await wait((running,))
        has_aborted_calls = self._log_aborted_calls()
        self._end_servers()
        await gather(*serving, return_exceptions=True)
        await self._assembly.close()
        if not running.cancelled():
            # Re-raises an error of the runtime once everything is closed.
            running.result()
        return int(has_aborted_calls or self._was_forced)

    def _log_aborted_calls(self) -> bool:
        """Log the requests that are aborted; return whether there are any."""
        request_ids = self._assembly.request_ids
        if request_ids:
            _log.error(
                'shutdown aborts %d calls in progress, of requests %s',
                len(request_ids),
                ', '.join(request_ids[:_MAX_LOGGED_REQUESTS]),
            )
        return bool(request_ids)

    def _end_servers(self) -> None:
        # Responses being written get what is left of the drain period.
        flush_seconds = max(
            _MIN_FLUSH_SECONDS, self._assembly.runtime.drain_seconds_left
        )
        for server in self._servers:
            server.config.timeout_graceful_shutdown = ceil(flush_seconds)
            server.should_exit = True

    def _on_signal(self) -> None:
        if not self._assembly.runtime.is_leaving:
            self._assembly.runtime.begin_leave()
            return
        _log.warning(
            'second stop signal received: aborting calls and stopping at once',
        )
        self._was_forced = True
        for server in self._servers:
            server.force_exit = True
        if self._running is not None:
            self._running.cancel()
