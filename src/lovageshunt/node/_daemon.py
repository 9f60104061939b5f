"""Runs a node from its settings to its planned stop."""

from asyncio import Task, create_task, gather, get_running_loop, wait
from collections.abc import Callable
from logging import getLogger
from signal import SIGINT, SIGTERM

from lovageshunt.node._assembly import Assembly
from lovageshunt.settings import NodeSettings

_log = getLogger(__name__)


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

    async def run(self) -> int:
        """Serve until a planned stop is over; return the exit code.

        The first signal begins the stop; a second one ends it at once, and
        the exit code is then 1.
        """
        await self._parts.open()
        loop = get_running_loop()
        for number in (SIGTERM, SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        servers = self._parts.servers()
        serving = [create_task(server.serve()) for server in servers]
        running = create_task(self._parts.runtime.run())
        self._running = running
        await wait((running,))
        for server in servers:
            server.should_exit = True
        await gather(*serving, return_exceptions=True)
        await self._parts.close()
        if running.cancelled():
            return 1
        # An error of the runtime is raised here, after all was closed.
        running.result()
        return 0

    def _on_signal(self) -> None:
        if not self._parts.runtime.is_leaving:
            self._parts.runtime.begin_leave()
            return
        _log.warning('second signal: stopping at once')
        if self._running is not None:
            self._running.cancel()
