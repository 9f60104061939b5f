"""The call counters of one node or one caller."""

from typing import Final

from lovageshunt.account._line import (
    REQUEST_FAILED,
    AccountLine,
    LineKey,
    line_of,
)
from lovageshunt.account._snapshot import AccountSnapshot, Role
from lovageshunt.calls import Outcome, RefusalReason

#: Maximum number of lines; further ones are merged under ``OTHER_KIND``.
#: It bounds memory when callers send arbitrary kinds.
MAX_LINES: Final = 256
#: Service and kind of the calls counted after ``MAX_LINES`` is reached.
OTHER_KIND: Final = '(other)'
#: The reason counted for a call that ended without one.
UNNAMED_REASON: Final = 'unnamed'
#: The reason counted for a wasted answer when none was given.
_LATE_ANSWER: Final = 'late'


class Account:
    """Counts each call once on arrival and once at its end.

    ``node`` is the name of the node, or of the caller if ``role`` is
    ``CALLER``; ``incarnation`` identifies this run of its process.
    ``started_at`` and every ``now`` are wall-clock seconds, assumed to be
    roughly synchronised across VMs.
    """

    __slots__ = (
        '_incarnation',
        '_line_by_key',
        '_node',
        '_role',
        '_sequence',
        '_started_at',
    )

    def __init__(
        self,
        node: str,
        incarnation: str,
        started_at: float,
        *,
        role: Role = Role.NODE,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._started_at = started_at
        self._role = role
        self._sequence = 0
        self._line_by_key: dict[LineKey, AccountLine] = {}

    def arrived(
        self,
        service: str,
        kind: str,
        importance: int,
        *,
        is_retry: bool = False,
        is_external: bool = False,
    ) -> None:
        """Count a call received by a node, or an attempt started by a caller.

        ``is_external`` marks a call whose caller does not report an account.
        """
        line = self._line(service, kind, importance)
        line.arrived += 1
        line.running += 1
        line.retries += is_retry
        line.external += is_external

    def ended(
        self,
        service: str,
        kind: str,
        importance: int,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        was_wasted: bool = False,
        ran: bool = False,
    ) -> None:
        """Count the end of a call that was counted by ``arrived``.

        ``ran`` means that the call was dispatched: by a node to its target,
        by a caller to a node. ``was_wasted`` means that it was executed but
        its result was not used.
        """
        line = self._line(service, kind, importance)
        line.running -= 1
        line.dispatched += ran
        if outcome is Outcome.ANSWERED:
            line.answered += 1
        else:
            _count(_counts_by_reason(line, outcome), reason or UNNAMED_REASON)
        if was_wasted:
            _count(line.wasted_by_reason, reason or _LATE_ANSWER)

    def wasted(
        self,
        service: str,
        kind: str,
        importance: int,
        count: int = 1,
    ) -> None:
        """Count answered calls whose root request failed afterwards."""
        line = self._line(service, kind, importance)
        _count(line.wasted_by_reason, REQUEST_FAILED, count)

    def snapshot(
        self, now: float, *, is_final: bool = False
    ) -> AccountSnapshot:
        """Return a copy of the counters, with the next sequence number.

        ``is_final`` means that no further calls will be counted.
        """
        self._sequence += 1
        lines = [self._line_by_key[key] for key in sorted(self._line_by_key)]
        return AccountSnapshot(
            node=self._node,
            incarnation=self._incarnation,
            role=self._role,
            sequence=self._sequence,
            started_at=self._started_at,
            taken_at=now,
            is_final=is_final,
            lines=[line.copy() for line in lines],
        )

    def _line(self, service: str, kind: str, importance: int) -> AccountLine:
        line = self._line_by_key.get((service, kind, importance))
        if line is None:
            return self._new_line(service, kind, importance)
        return line

    def _new_line(
        self, service: str, kind: str, importance: int
    ) -> AccountLine:
        key = (service, kind, importance)
        if len(self._line_by_key) >= MAX_LINES:
            key = (OTHER_KIND, OTHER_KIND, importance)
        line = self._line_by_key.get(key)
        if line is None:
            line = line_of(key)
            self._line_by_key[key] = line
        return line


def _counts_by_reason(line: AccountLine, outcome: Outcome) -> dict[str, int]:
    if outcome is Outcome.NOT_RUN:
        return line.refused_by_reason
    if outcome is Outcome.FAILED:
        return line.failed_by_reason
    return line.unknown_by_reason


def _count(
    count_by_reason: dict[str, int], reason: str, count: int = 1
) -> None:
    name = str(reason)
    previous = count_by_reason.get(name, 0)
    count_by_reason[name] = previous + count
