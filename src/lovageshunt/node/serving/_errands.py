"""Work that waits for others, beside a timer that must not."""

from asyncio import Task, create_task
from collections.abc import Callable, Coroutine
from typing import Any


class Errands:
    """Runs each kind of errand at most once at a time."""

    __slots__ = ('_task_by_name',)

    def __init__(self) -> None:
        """Begin with none running."""
        self._task_by_name: dict[str, Task[None]] = {}

    def begin(
        self,
        name: str,
        work: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Start an errand, unless the one before still runs.

        Raises what the one before raised.
        """
        before = self._task_by_name.get(name)
        if before is not None and not before.done():
            return
        if before is not None:
            before.result()
        self._task_by_name[name] = create_task(work())

    def cancel(self) -> None:
        """Cancel what runs."""
        for task in self._task_by_name.values():
            task.cancel()
        self._task_by_name.clear()
