"""Which services a kind of request needs, and for how long."""

from typing import Final

from lovageshunt._record import Record

#: Calls deeper than this are not followed, so that a loop ends.
_MOST_DEPTH: Final = 16
#: Weight of one node's word in the mean of its service.
_WEIGHT: Final = 0.3


class KindNeeds(Record):
    """What one run of a kind takes, as nodes beside its targets told.

    ``service`` runs it, ``seconds`` is how long it holds a slot there,
    ``calls_by_kind`` how many calls of each kind it makes.
    """

    __slots__ = ('service', 'seconds', 'calls_by_kind')

    def __init__(
        self,
        *,
        service: str,
        seconds: float,
        calls_by_kind: dict[str, float],
    ) -> None:
        """Take every field by name."""
        self.service = service
        self.seconds = seconds
        self.calls_by_kind = calls_by_kind


class NeedsBook:
    """Adds up the slot-seconds that a request needs at every service."""

    __slots__ = ('_by_kind', '_work_by_kind')

    def __init__(self) -> None:
        """Begin with nothing known."""
        self._by_kind: dict[str, KindNeeds] = {}
        self._work_by_kind: dict[str, dict[str, float]] = {}

    def learn(self, kind: str, told: KindNeeds) -> None:
        """Take the word of one node; nodes of a service are averaged."""
        self._work_by_kind = {}
        known = self._by_kind.get(kind)
        if known is None or known.service != told.service:
            self._by_kind[kind] = told
            return
        known.seconds += _WEIGHT * (told.seconds - known.seconds)
        for called in known.calls_by_kind.keys() | told.calls_by_kind.keys():
            before = known.calls_by_kind.get(called, 0)
            change = told.calls_by_kind.get(called, 0) - before
            known.calls_by_kind[called] = before + _WEIGHT * change

    def is_called(self, kind: str) -> bool:
        """Tell whether targets make calls of a kind."""
        return any(
            kind in needs.calls_by_kind for needs in self._by_kind.values()
        )

    def work_of(self, kind: str) -> dict[str, float]:
        """Return slot-seconds by service for one request of a kind."""
        work = self._work_by_kind.get(kind)
        if work is None:
            work = {}
            self._add(kind, 1, work, _MOST_DEPTH)
            self._work_by_kind[kind] = work
        return work

    def _add(
        self,
        kind: str,
        count: float,
        work: dict[str, float],
        depth: int,
    ) -> None:
        needs = self._by_kind.get(kind)
        if needs is None or depth == 0:
            return
        seconds = work.get(needs.service, 0) + count * needs.seconds
        work[needs.service] = seconds
        for called, calls in needs.calls_by_kind.items():
            self._add(called, count * calls, work, depth - 1)
