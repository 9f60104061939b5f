"""Reads or watches the platform when the election says so."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import Callable
from logging import getLogger
from typing import Final

from expression import Result

from lovageshunt._record import Record
from lovageshunt.errors import PlatformUnavailableError
from lovageshunt.membership import VmList, VmListReadFailed, VmListReceived
from lovageshunt.node.control._reading import document_of, vm_list_of
from lovageshunt.published import (
    PUBLISHED_RULES,
    PUBLISHED_VMS,
    PlatformReader,
    PublishedValue,
)

#: How long one watch waits for a change.
_WATCH_SECONDS: Final = 30.0
_log = getLogger(__name__)

_Reading = Result[PublishedValue, PlatformUnavailableError]


class PlatformLoop:
    """One read or watch at a time of each published value."""

    def __init__(
        self,
        reader: PlatformReader,
        tell: Callable[[Record], None],
    ) -> None:
        """Keep the reader; ``tell`` takes the events that follow."""
        self._reader = reader
        self._tell = tell
        self._revision_by_name: dict[str, int] = {}
        self._task_by_name: dict[str, Task[_Reading]] = {}
        self._last_list: VmList | None = None
        self._failing: set[str] = set()
        self._runner: Task[None] | None = None
        self._first_read: Task[None] | None = None

    def start(self, is_watch: bool) -> None:
        """Begin to read, or to wait for the next change."""
        self._runner = create_task(self._run(is_watch=is_watch))

    def read_rules(self) -> None:
        """Begin to read the rules alone; peers help if that fails."""
        self._first_read = create_task(self._read_rules())

    async def stop(self) -> None:
        """Cancel what is waited for."""
        running = (self._runner, self._first_read)
        for task in (*running, *self._task_by_name.values()):
            if task is not None:
                task.cancel()

    async def _run(self, *, is_watch: bool) -> None:
        for name in (PUBLISHED_VMS, PUBLISHED_RULES):
            if name not in self._task_by_name:
                task = create_task(self._read(name, is_watch=is_watch))
                self._task_by_name[name] = task
        done, _ = await wait(
            self._task_by_name.values(),
            return_when=FIRST_COMPLETED if is_watch else 'ALL_COMPLETED',
        )
        readings = {
            name: task.result()
            for name, task in self._task_by_name.items()
            if task in done
        }
        for name in readings:
            self._task_by_name.pop(name)
        self._report(readings)

    async def _read_rules(self) -> None:
        reading = await self._reader.read(PUBLISHED_RULES)
        if reading.is_ok():
            self._take(PUBLISHED_RULES, reading.ok)

    async def _read(self, name: str, *, is_watch: bool) -> _Reading:
        after = self._revision_by_name.get(name)
        if not is_watch or after is None:
            return await self._reader.read(name)
        return await self._reader.watch(
            name,
            after=after,
            wait_seconds=_WATCH_SECONDS,
        )

    def _report(self, readings: dict[str, _Reading]) -> None:
        for name, reading in readings.items():
            self._log_change(name, reading)
            if reading.is_ok() and reading.ok.is_changed:
                self._take(name, reading.ok)
        has_answer = any(reading.is_ok() for reading in readings.values())
        if has_answer and self._last_list is not None:
            self._tell(VmListReceived(self._last_list))
            return
        self._tell(VmListReadFailed())

    def _log_change(self, name: str, reading: _Reading) -> None:
        """Log a failure once, not at each try, and its end."""
        if reading.is_error():
            if name not in self._failing:
                _log.warning('%s', reading.error)
            self._failing.add(name)
        elif name in self._failing:
            self._failing.discard(name)
            _log.info('the platform gives %s again', name)

    def _take(self, name: str, published: PublishedValue) -> None:
        self._revision_by_name[name] = published.revision
        if name == PUBLISHED_VMS:
            vm_list = vm_list_of(published)
            if vm_list.is_error():
                _log.error('%s', vm_list.error)
                return
            self._last_list = vm_list.ok
            return
        document = document_of(published)
        if document.is_error():
            _log.error('%s', document.error)
            return
        self._tell(document.ok)
