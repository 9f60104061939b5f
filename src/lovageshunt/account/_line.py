"""An account line: the counters of one service, call kind and importance."""

from collections.abc import Iterable
from typing import Any, Final

from lovageshunt._record import Record

#: Waste reason of an answer that arrived in time but whose request failed.
REQUEST_FAILED: Final = 'request_failed'

#: The identity of a line: service, kind and importance.
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

_BY_REASON_SUFFIX: Final = '_by_reason'


class AccountLine(Record):
    """Cumulative counters of calls of one service, kind and importance.

    A node counts the calls that ``arrived`` at it, a caller the attempts that
    it made. ``retries`` of them were not the first attempt, and ``external``
    came from callers that report no account. ``dispatched`` were sent on: by
    a node to its target, by a caller to a node. Each ends in one of
    ``answered``, ``refused_by_reason`` (not run), ``failed_by_reason`` and
    ``unknown_by_reason``, or is still ``running``. ``wasted_by_reason``
    counts the dispatched ones whose result was not used. Counters that are
    not given are 0 or empty; an unknown one raises ``TypeError``.
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
        self.service = service
        self.kind = kind
        self.importance = importance
        for name in COUNT_FIELDS:
            setattr(self, name, counts.pop(name, 0))
        for name in REASON_FIELDS:
            setattr(self, name, dict(counts.pop(name, ())))
        if counts:
            raise TypeError(f'unknown counter {sorted(counts)[0]!r}')

    @property
    def key(self) -> LineKey:
        """Return service, kind and importance."""
        return (self.service, self.kind, self.importance)

    @property
    def refused(self) -> int:
        """Return the number of calls refused without being run."""
        return sum(self.refused_by_reason.values())

    @property
    def failed(self) -> int:
        """Return the number of calls that failed after partial execution."""
        return sum(self.failed_by_reason.values())

    @property
    def unknown(self) -> int:
        """Return the number of calls whose outcome is not known."""
        return sum(self.unknown_by_reason.values())

    @property
    def wasted(self) -> int:
        """Return the number of dispatched calls whose result was not used."""
        return sum(self.wasted_by_reason.values())

    @property
    def ended(self) -> int:
        """Return the number of calls that ended, with any outcome."""
        return self.answered + self.refused + self.failed + self.unknown

    def copy(self) -> 'AccountLine':
        """Return a deep copy of the line."""
        return AccountLine(**self.as_dict())

    def add(self, other: 'AccountLine') -> None:
        """Add the counters of another line to this one."""
        for name in COUNT_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name in REASON_FIELDS:
            _add_reasons(getattr(self, name), getattr(other, name))


def line_of(key: LineKey) -> AccountLine:
    """Return a line of a key with all counters 0."""
    service, kind, importance = key
    return AccountLine(service=service, kind=kind, importance=importance)


def sum_by_key(lines: Iterable[AccountLine]) -> list[AccountLine]:
    """Return the lines summed by key, in the order of the keys."""
    total_by_key: dict[LineKey, AccountLine] = {}
    for line in lines:
        total = total_by_key.get(line.key)
        if total is None:
            total_by_key[line.key] = line.copy()
        else:
            total.add(line)
    return [total_by_key[key] for key in sorted(total_by_key)]


class Cause(Record):
    """The number of ``calls`` of a line that ended for one reason.

    ``end`` is one of *refused*, *failed*, *unknown* and *wasted*.
    """

    __slots__ = ('end', 'reason', 'calls')

    def __init__(self, *, end: str, reason: str, calls: int) -> None:
        self.end = end
        self.reason = reason
        self.calls = calls


def causes_of(line: AccountLine) -> list[Cause]:
    """Return a line's counts of unanswered and wasted calls, by reason."""
    return [
        Cause(
            end=name.removesuffix(_BY_REASON_SUFFIX), reason=reason, calls=calls
        )
        for name in REASON_FIELDS
        for reason, calls in sorted(getattr(line, name).items())
    ]


def _add_reasons(total: dict[str, int], added: dict[str, int]) -> None:
    for reason, count in added.items():
        total[reason] = total.get(reason, 0) + count
