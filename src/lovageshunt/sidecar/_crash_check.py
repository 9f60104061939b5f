"""Tells whether calls lost their connections because the target crashed.

A target that has crashed refuses connections. One that closed a connection,
cut a response off or does not respond has not.
"""

from asyncio import Task, get_running_loop
from collections.abc import Callable
from logging import getLogger
from typing import Final

from lovageshunt.http1 import ConnectionPool
from lovageshunt.sidecar._fingerprint import fingerprint_of_order
from lovageshunt.sidecar._run import Run

_log = getLogger(__name__)
#: The calls of which the log line of a crash names the content and the id.
_MAX_LOGGED_CALLS: Final = 8


class CrashCheck:
    """Checks the target once for all calls that lost their connections.

    ``on_checked`` is called with these calls and with whether the target
    crashed.
    """

    __slots__ = ('_pool', '_on_checked', '_lost', '_task')

    def __init__(
        self,
        pool: ConnectionPool,
        on_checked: Callable[[list[Run], bool], None],
    ) -> None:
        self._pool = pool
        self._on_checked = on_checked
        self._lost: list[Run] = []
        self._task: Task[None] | None = None

    def add(self, run: Run) -> None:
        """Add a call that lost its connection, and check the target."""
        self._lost.append(run)
        if self._task is None:
            self._task = get_running_loop().create_task(self._check())

    async def _check(self) -> None:
        has_crashed = await self._pool.refuses_connections()
        lost = self._lost
        self._lost = []
        self._task = None
        self._on_checked(lost, has_crashed)


def log_crash(target_id: str, lost: list[Run]) -> None:
    """Log a crash with the content and ids of calls that were in flight."""
    logged = lost[:_MAX_LOGGED_CALLS]
    _log.error(
        'target crashed: it closed its connections and refuses new ones',
        extra={
            'target': target_id,
            'in_flight': len(lost),
            'fingerprints': [fingerprint_of_order(run.order) for run in logged],
            'request_ids': [
                run.order.attempt_id.decode('latin-1') for run in logged
            ],
        },
    )
