"""Which requests of clients are let in, by what the services below bear.

It answers for a load beyond the capacity of a service deep in the graph. A
request that would be refused there, after work was spent on it at every hop
above, is refused at its first hop instead: the less important kinds first,
and all kinds of one importance alike.

It also answers for a service whose targets refuse calls that they have slots
for. There the retries are short, and are left to the more important kinds.
"""

from collections.abc import Iterable
from random import Random
from statistics import median_high
from typing import Final

from lovageshunt._record import Record
from lovageshunt.pressure._callers import CallerBook
from lovageshunt.pressure._needs import NeedsBook
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RetryNeeds, accepted_share
from lovageshunt.pressure._target_room import TargetRoom

#: The part of its slots that a service may be asked to use.
_USABLE_PART: Final = 1.0
#: How often the shares are worked out anew, in seconds.
_PERIOD_SECONDS: Final = 0.1
#: A kind that needs less of a service than this share of what the kind needs
#: that needs most is not refused for it.
_SLIGHT_NEED: Final = 0.1
#: A kind gets at least this part of what all kinds that need a service get
#: of it, so that none is shut out for long.
_FLOOR_PART: Final = 0.35
#: The same for the retries at a service whose targets refuse calls: a request
#: takes many of them, so a part like that for slots would serve hardly more.
_RETRY_FLOOR_PART: Final = 0.1
#: The least share of a kind that is let in while retries are short, so that
#: there are calls to learn from.
_LEAST_SHARE: Final = 0.02
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
    """The room that one target told, and when."""

    __slots__ = ('room', 'at')

    def __init__(self, *, room: TargetRoom, at: float) -> None:
        """Take both."""
        self.room = room
        self.at = at


class _Kind:
    """What is let in of one kind of requests."""

    __slots__ = ('importance', 'share', 'service')

    def __init__(self, importance: int) -> None:
        """Begin with all let in."""
        self.importance = importance
        self.share = float(1)
        self.service = ''


class RootGate:
    """Decides at the first hop of each request."""

    __slots__ = (
        '_needs',
        '_arrivals',
        '_retries',
        '_callers',
        '_rng',
        '_by_kind',
        '_heard_by_target_by_service',
        '_updated_at',
    )

    def __init__(
        self,
        *,
        needs: NeedsBook,
        arrivals: FleetRates,
        retries: FleetRates,
        callers: CallerBook,
        rng: Random,
    ) -> None:
        """Begin with room everywhere.

        ``arrivals`` are the fleet's requests a second by kind, ``retries``
        what its nodes may send again a second by service.
        """
        self._needs = needs
        self._callers = callers
        self._arrivals = arrivals
        self._retries = retries
        self._rng = rng
        self._by_kind: dict[str, _Kind] = {}
        self._heard_by_target_by_service: dict[str, dict[str, _Heard]] = {}
        self._updated_at = float('-inf')

    def heard(
        self,
        service: str,
        target_id: str,
        room: TargetRoom,
        now: float,
    ) -> None:
        """Take what a target has room for."""
        by_target = self._heard_by_target_by_service.setdefault(service, {})
        by_target[target_id] = _Heard(room=room, at=now)

    def verdict(self, kind: str, importance: int, now: float) -> RootVerdict:
        """Let a request in, or say when to come back."""
        known = self._by_kind.get(kind)
        if known is None:
            known = _Kind(importance)
            self._by_kind[kind] = known
        known.importance = importance
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

    def room_of(self, service: str, now: float) -> float:
        """Return the slots of a service that requests may use."""
        rooms = self._rooms_of(service, now)
        if not rooms:
            return 0
        # One target that is full while others have room is a matter of
        # placing, so the one in the middle speaks for all.
        share = median_high(room.share for room in rooms)
        slots = sum(room.slots for room in rooms)
        return share * slots * _USABLE_PART

    def accepted_of(self, service: str, now: float) -> float:
        """Return the share of the calls that a service's targets accept."""
        rooms = self._rooms_of(service, now)
        return accepted_share(
            sum(room.sent_per_second for room in rooms),
            sum(room.refused_per_second for room in rooms),
        )

    def _rooms_of(self, service: str, now: float) -> list[TargetRoom]:
        """Return what the targets of a service told lately."""
        by_target = self._heard_by_target_by_service.get(service, {})
        for target_id, heard in list(by_target.items()):
            if now - heard.at > _SHARE_SECONDS:
                by_target.pop(target_id)
        return [heard.room for heard in by_target.values()]

    def _update(self, now: float) -> None:
        """Work out what is let in of each kind."""
        self._updated_at = now
        for known in self._by_kind.values():
            known.share = float(1)
            known.service = ''
        rate_by_kind = self._arrivals.rate_by_key(now)
        retries_by_service = self._retries.rate_by_key(now)
        for service in self._heard_by_target_by_service:
            use_by_kind = self._uses_of(service, rate_by_kind)
            room = self.room_of(service, now)
            if 0 < room < sum(use_by_kind.values()):
                self._fill(service, room, use_by_kind, _FLOOR_PART)
            accepted = self.accepted_of(service, now)
            if accepted < 1:
                retries = retries_by_service.get(service, 0)
                needs = self._retries_of(service, accepted, rate_by_kind)
                if retries < sum(needs.values()):
                    self._fill(service, retries, needs, _RETRY_FLOOR_PART)

    def _fill(
        self,
        service: str,
        room: float,
        use_by_kind: dict[str, float],
        floor_part: float,
    ) -> None:
        """Give the room of a service to its kinds, by importance."""
        floor = floor_part * room / sum(use_by_kind.values())
        use_by_importance: dict[int, float] = {}
        for kind, use in use_by_kind.items():
            importance = self._by_kind[kind].importance
            before = use_by_importance.get(importance, 0)
            use_by_importance[importance] = before + use * (1 - floor)
        left = room * (1 - floor_part)
        for importance, use in sorted(use_by_importance.items()):
            part = min(1, max(0, left) / use)
            share = max(_LEAST_SHARE, floor + (1 - floor) * part)
            self._lower(service, importance, share, use_by_kind.keys())
            left -= use

    def _lower(
        self,
        service: str,
        importance: int,
        share: float,
        kinds: Iterable[str],
    ) -> None:
        """Let in no more than a share of the kinds of one importance."""
        for kind in kinds:
            known = self._by_kind[kind]
            if known.importance == importance and share < known.share:
                known.share = share
                known.service = service

    def _uses_of(
        self,
        service: str,
        rate_by_kind: dict[str, float],
    ) -> dict[str, float]:
        """Return the slots that the fleet's requests of each kind would use.

        Kinds that need the service but slightly are left out, and so are
        those that targets send: they are in the needs of the kinds above.
        """
        need_by_kind = {
            kind: self._needs.work_of(kind).get(service, 0)
            for kind in self._root_kinds()
        }
        most = max(need_by_kind.values(), default=0)
        return {
            kind: need * rate_by_kind[kind]
            for kind, need in need_by_kind.items()
            if need > most * _SLIGHT_NEED and rate_by_kind.get(kind, 0) > 0
        }

    def _retries_of(
        self,
        service: str,
        accepted: float,
        rate_by_kind: dict[str, float],
    ) -> dict[str, float]:
        """Return the retries a second that the fleet's requests would need.

        Kinds that have a fair chance without any are left out: they are let
        in, with the retries or without.
        """
        retries_by_kind: dict[str, float] = {}
        for kind in self._root_kinds():
            calls = self._needs.runs_of(kind).get(service, 0)
            needs = RetryNeeds(calls=calls, accepted=accepted)
            rate = rate_by_kind.get(kind, 0)
            if needs.is_hopeless and rate > 0:
                retries_by_kind[kind] = needs.retries * rate
        return retries_by_kind

    def _root_kinds(self) -> list[str]:
        """Return the kinds that clients send."""
        return [
            kind for kind in self._by_kind if not self._callers.is_inner(kind)
        ]
