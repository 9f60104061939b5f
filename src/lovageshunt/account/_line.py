"""One line of an account: the counters of one service, kind and importance."""

from collections.abc import Iterable
from typing import Any, Final

from lovageshunt._record import Record

#: Why an answer was wasted that arrived in time: its request failed later.
REQUEST_FAILED: Final = 'request_failed'

#: What names a line: service, kind and importance.
LineKey = tuple[str, str, int]

COUNT_FIELDS: Final = (
    'arrived',
    'retries',
    'external',
    'dispatched',
    'answered',
    'running',
)
REASON_FIELDS: Final = (
    'refused_by_reason',
    'failed_by_reason',
    'unknown_by_reason',
    'wasted_by_reason',
)

_BY_REASON: Final = '_by_reason'


class AccountLine(Record):
    """Cumulative counters of calls of one service, kind and importance.

    A node counts the calls that arrived at it, a caller the attempts that it
    made. ``retries`` of them were not the first attempt, and ``external``
    came from callers that keep no account. ``dispatched`` were sent on: a
    node's to its target, a caller's to a node. Each ends in one of
    ``answered``, ``refused_by_reason`` (not run), ``failed_by_reason`` and
    ``unknown_by_reason``, or is ``running``. ``wasted_by_reason`` counts the
    dispatched ones whose work served nobody.
    """

    __slots__ = ('service', 'kind', 'importance', *COUNT_FIELDS, *REASON_FIELDS)

    service: str
    kind: str
    importance: int
    arrived: int
    retries: int
    external: int
    dispatched: int
    answered: int
    running: int
    refused_by_reason: dict[str, int]
    failed_by_reason: dict[str, int]
    unknown_by_reason: dict[str, int]
    wasted_by_reason: dict[str, int]

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        importance: int,
        **counts: Any,
    ) -> None:
        """Take the key and any of the counters; the others are 0 or empty."""
        self.service = service
        self.kind = kind
        self.importance = importance
        for name in COUNT_FIELDS:
            setattr(self, name, counts.pop(name, 0))
        for name in REASON_FIELDS:
            setattr(self, name, dict(counts.pop(name, ())))
        if counts:
            raise TypeError(f'no counter is named {sorted(counts)[0]!r}')

    @property
    def key(self) -> LineKey:
        """Return what names this line."""
        return (self.service, self.kind, self.importance)

    @property
    def refused(self) -> int:
        """Return how many calls were refused, not run."""
        return sum(self.refused_by_reason.values())

    @property
    def failed(self) -> int:
        """Return how many calls failed after some of them ran."""
        return sum(self.failed_by_reason.values())

    @property
    def unknown(self) -> int:
        """Return how many calls ended with no certain outcome."""
        return sum(self.unknown_by_reason.values())

    @property
    def wasted(self) -> int:
        """Return how many dispatched calls served nobody."""
        return sum(self.wasted_by_reason.values())

    @property
    def ended(self) -> int:
        """Return how many calls have ended, whatever their outcome."""
        return self.answered + self.refused + self.failed + self.unknown

    def copy(self) -> 'AccountLine':
        """Return a line that shares no counter with this one."""
        return AccountLine(**self.as_dict())

    def add(self, other: 'AccountLine') -> None:
        """Add the counters of another line to this one."""
        for name in COUNT_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name in REASON_FIELDS:
            _add_reasons(getattr(self, name), getattr(other, name))


def line_of(key: LineKey) -> AccountLine:
    """Return an empty line of that key."""
    service, kind, importance = key
    return AccountLine(service=service, kind=kind, importance=importance)


def sum_by_key(lines: Iterable[AccountLine]) -> list[AccountLine]:
    """Return one line for each key, its counters summed, ordered by key."""
    total_by_key: dict[LineKey, AccountLine] = {}
    for line in lines:
        total = total_by_key.get(line.key)
        if total is None:
            total_by_key[line.key] = line.copy()
        else:
            total.add(line)
    return [total_by_key[key] for key in sorted(total_by_key)]


class Cause(Record):
    """How many calls of a line ended so, and why.

    ``end`` is one of *refused*, *failed*, *unknown* and *wasted*.
    """

    __slots__ = ('end', 'reason', 'calls')

    def __init__(self, *, end: str, reason: str, calls: int) -> None:
        """Take every field by name."""
        self.end = end
        self.reason = reason
        self.calls = calls


def causes_of(line: AccountLine) -> list[Cause]:
    """Return why calls of a line were not answered, or answered in vain."""
    return [
        Cause(end=name.removesuffix(_BY_REASON), reason=reason, calls=calls)
        for name in REASON_FIELDS
        for reason, calls in sorted(getattr(line, name).items())
    ]


def _add_reasons(total: dict[str, int], added: dict[str, int]) -> None:
    for reason, count in added.items():
        total[reason] = total.get(reason, 0) + count
