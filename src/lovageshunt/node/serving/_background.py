"""Background jobs, for work that must not block the main loop."""

from asyncio import Task, create_task
from collections.abc import Callable, Coroutine
from typing import Any


class BackgroundJobs:
    """Runs at most one job of each name at a time."""

    __slots__ = ('_job_by_name',)

    def __init__(self) -> None:
        self._job_by_name: dict[str, Task[None]] = {}

    def start(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Start a job, unless the previous one of that name still runs.

        Raises the exception of the previous job, if it failed.
        """
        previous = self._job_by_name.get(name)
        if previous is not None and not previous.done():
            return
        if previous is not None:
            previous.result()
        self._job_by_name[name] = create_task(work())

    def cancel(self) -> None:
        """Cancel all running jobs."""
        for task in self._job_by_name.values():
            task.cancel()
        self._job_by_name.clear()
