"""Which requests of clients are let in, by what the services below bear.

It answers for a load beyond the capacity of a service deep in the graph. A
request that would be refused there, after work was spent on it at every hop
above, is refused at its first hop instead: the less important kinds first,
and all kinds of one importance alike.
"""

from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._needs import NeedsBook

#: The time over which the rates of requests are averaged, in seconds.
_RATE_SECONDS: Final = 2.0
#: How often the shares are worked out anew, in seconds.
_PERIOD_SECONDS: Final = 0.1
#: A kind that needs less than this share of what the kinds that need a
#: service need in the mean is not refused for it.
_SLIGHT_NEED: Final = 0.25
#: A share that was not heard for so long is taken for 1, in seconds.
_SHARE_SECONDS: Final = 2.0
#: When to come back while shares are short, in seconds: they move by a
#: twelfth of themselves several times a second.
_RETRY_SECONDS: Final = 0.4


class RootVerdict(Record):
    """``retry_seconds`` is when to come back, or nothing if it may go.

    ``service`` is the one that has no room, ``share`` what is let in.
    """

    __slots__ = ('retry_seconds', 'service', 'share')

    def __init__(
        self,
        *,
        retry_seconds: float | None = None,
        service: str = '',
        share: float = 1,
    ) -> None:
        """Take every field by name."""
        self.retry_seconds = retry_seconds
        self.service = service
        self.share = share


class _Heard(Record):
    """The share that one target told, the slots it speaks for, and when."""

    __slots__ = ('share', 'slots', 'at')

    def __init__(self, *, share: float, slots: int, at: float) -> None:
        """Take every field by name."""
        self.share = share
        self.slots = slots
        self.at = at


class _Kind:
    """The rate of one kind's requests here, and what is let in."""

    __slots__ = ('importance', 'count', 'rate', 'share', 'service')

    def __init__(self, importance: int) -> None:
        """Begin with no requests, and all let in."""
        self.importance = importance
        self.count = 0
        self.rate = float(0)
        self.share = float(1)
        self.service = ''


class RootGate:
    """Decides at the first hop of each request."""

    __slots__ = (
        '_needs',
        '_rng',
        '_by_kind',
        '_heard_by_target_by_service',
        '_updated_at',
    )

    def __init__(self, needs: NeedsBook, rng: Random, now: float) -> None:
        """Begin with room everywhere."""
        self._needs = needs
        self._rng = rng
        self._by_kind: dict[str, _Kind] = {}
        self._heard_by_target_by_service: dict[str, dict[str, _Heard]] = {}
        self._updated_at = now

    def heard(
        self,
        service: str,
        target_id: str,
        *,
        share: float,
        slots: int,
        now: float,
    ) -> None:
        """Take the share of its demand that a target has room for."""
        by_target = self._heard_by_target_by_service.setdefault(service, {})
        by_target[target_id] = _Heard(share=share, slots=slots, at=now)

    def verdict(self, kind: str, importance: int, now: float) -> RootVerdict:
        """Count a request, and let it in or say when to come back."""
        known = self._by_kind.get(kind)
        if known is None:
            known = _Kind(importance)
            self._by_kind[kind] = known
        known.importance = importance
        known.count += 1
        if now - self._updated_at >= _PERIOD_SECONDS:
            self._update(now)
        if known.share >= 1 or self._rng.random() < known.share:
            return RootVerdict(service=known.service, share=known.share)
        spread = self._rng.random() + 1 / 2
        return RootVerdict(
            retry_seconds=_RETRY_SECONDS * spread,
            service=known.service,
            share=known.share,
        )

    def share_of(self, service: str, now: float) -> float:
        """Return the share of its demand that a service has room for."""
        by_target = self._heard_by_target_by_service.get(service, {})
        total = float(0)
        slots = 0
        for target_id, heard in list(by_target.items()):
            if now - heard.at > _SHARE_SECONDS:
                by_target.pop(target_id)
                continue
            total += heard.share * heard.slots
            slots += heard.slots
        return total / slots if slots else 1

    def _update(self, now: float) -> None:
        """Work out the rates, then what is let in of each kind."""
        seconds = now - self._updated_at
        self._updated_at = now
        weight = min(1, seconds / _RATE_SECONDS)
        for known in self._by_kind.values():
            rate = known.count / seconds
            known.rate += weight * (rate - known.rate)
            known.count = 0
            known.share = float(1)
            known.service = ''
        for service in self._heard_by_target_by_service:
            share = self.share_of(service, now)
            if share < 1:
                self._fill(service, share)

    def _fill(self, service: str, share: float) -> None:
        """Give the room of a service to its kinds, by importance."""
        need_by_kind = self._needs_at(service)
        demand_by_importance: dict[int, float] = {}
        for kind, need in need_by_kind.items():
            known = self._by_kind[kind]
            before = demand_by_importance.get(known.importance, 0)
            demand_by_importance[known.importance] = before + known.rate * need
        room = share * sum(demand_by_importance.values())
        share_by_importance: dict[int, float] = {}
        for importance in sorted(demand_by_importance):
            demand = demand_by_importance[importance]
            part = min(1, max(0, room) / demand) if demand > 0 else 1
            share_by_importance[importance] = part
            room -= demand
        for kind in need_by_kind:
            known = self._by_kind[kind]
            part = share_by_importance[known.importance]
            if part < known.share:
                known.share = part
                known.service = service

    def _needs_at(self, service: str) -> dict[str, float]:
        """Return what the kinds seen here need of a service, if it counts."""
        needs = {
            kind: self._needs.work_of(kind).get(service, 0)
            for kind, known in self._by_kind.items()
            if known.rate > 0
        }
        needs = {kind: need for kind, need in needs.items() if need > 0}
        if not needs:
            return {}
        least = _SLIGHT_NEED * sum(needs.values()) / len(needs)
        return {kind: need for kind, need in needs.items() if need >= least}
