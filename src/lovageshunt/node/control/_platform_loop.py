"""Reads or watches the platform's published values on request."""

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

#: Longest time that one watch waits for a change.
_WATCH_SECONDS: Final = 30.0
_log = getLogger(__name__)

_Reading = Result[PublishedValue, PlatformUnavailableError]


class PlatformLoop:
    """Runs at most one read or watch per published value at a time."""

    def __init__(
        self,
        reader: PlatformReader,
        handle_event: Callable[[Record], None],
    ) -> None:
        """Pass the resulting events to ``handle_event``."""
        self._reader = reader
        self._handle_event = handle_event
        self._revision_by_name: dict[str, int] = {}
        self._task_by_name: dict[str, Task[_Reading]] = {}
        self._last_list: VmList | None = None
        self._failing: set[str] = set()
        self._runner: Task[None] | None = None
        self._first_read: Task[None] | None = None

    def start(self, is_watch: bool) -> None:
        """Start a read, or a watch that waits for the next change."""
        self._runner = create_task(self._run(is_watch=is_watch))

    def read_rules(self) -> None:
        """Start to read only the rules; after a failure, peers supply them."""
        self._first_read = create_task(self._read_rules())

    async def stop(self) -> None:
        """Cancel every read and watch in progress."""
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
            self._accept(PUBLISHED_RULES, reading.ok)

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
                self._accept(name, reading.ok)
        has_answer = any(reading.is_ok() for reading in readings.values())
        if has_answer and self._last_list is not None:
            self._handle_event(VmListReceived(self._last_list))
            return
        self._handle_event(VmListReadFailed())

    def _log_change(self, name: str, reading: _Reading) -> None:
        """Log the start and the end of an outage, not each failed attempt."""
        if reading.is_error():
            if name not in self._failing:
                _log.warning('%s', reading.error)
            self._failing.add(name)
        elif name in self._failing:
            self._failing.discard(name)
            _log.info('reads of %s from the platform succeed again', name)

    def _accept(self, name: str, published: PublishedValue) -> None:
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
        self._handle_event(document.ok)
