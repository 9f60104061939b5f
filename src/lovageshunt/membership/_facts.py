"""The announcements that a node holds, and their digests."""

from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.membership._messages import Announcement

_MS: Final = 1000
_DIGEST_FORMAT: Final = '016x'


class _Fact:
    """An announcement, and when its node made it on this node's clock."""

    __slots__ = ('announcement', 'made_at', 'fingerprint')

    def __init__(self, announcement: Announcement, made_at: float) -> None:
        self.announcement = announcement
        self.made_at = made_at
        self.fingerprint = xxh3_64_intdigest(
            f'{announcement.name} {announcement.incarnation} '
            f'{announcement.is_leaving}'.encode(),
        )

    def is_old_leave(self, now: float, horizon: float) -> bool:
        return self.announcement.is_leaving and now - self.made_at > horizon


class Facts:
    """The latest announcement of each node that this one heard of."""

    __slots__ = ('_by_name',)

    def __init__(self) -> None:
        """Hold nothing."""
        self._by_name: dict[str, _Fact] = {}

    def __len__(self) -> int:
        """Return how many announcements are held."""
        return len(self._by_name)

    def learn(self, announcement: Announcement, now: float) -> bool:
        """Hold an announcement; return whether it is news.

        A greater incarnation goes before a lesser one, and within one
        incarnation a leave cannot be taken back.
        """
        known = self._by_name.get(announcement.name)
        if known is not None and not _is_newer(
            announcement, known.announcement
        ):
            return False
        made_at = now - announcement.age_ms / _MS
        self._by_name[announcement.name] = _Fact(announcement, made_at)
        return True

    def incarnation_of(self, name: str) -> str:
        """Return the greatest incarnation heard of, or an empty string."""
        fact = self._by_name.get(name)
        return '' if fact is None else fact.announcement.incarnation

    def has_left(self, name: str, incarnation: str) -> bool:
        """Return whether this incarnation, or a later one, said it leaves."""
        fact = self._by_name.get(name)
        if fact is None or not fact.announcement.is_leaving:
            return False
        return incarnation <= fact.announcement.incarnation

    def forget(self, name: str) -> None:
        """Drop what a node said of itself."""
        self._by_name.pop(name, None)

    def expire(self, now: float, horizon: float, kept: set[str]) -> None:
        """Drop leaves, and nodes that are not to be kept, after a horizon."""
        dropped = [
            name
            for name, fact in self._by_name.items()
            if fact.is_old_leave(now, horizon)
            or (name not in kept and now - fact.made_at > horizon)
        ]
        for name in dropped:
            self._by_name.pop(name)

    def told(self, name: str, now: float) -> Announcement | None:
        """Return an announcement to pass on, with its age as of now."""
        fact = self._by_name.get(name)
        return None if fact is None else _aged(fact, now)

    def of_service(
        self,
        service: str,
        now: float,
        horizon: float,
    ) -> list[Announcement]:
        """Return what a peer may lack of a service; old leaves are left out."""
        return [
            _aged(fact, now) for fact in self._current(service, now, horizon)
        ]

    def digest_of(self, service: str, now: float, horizon: float) -> str:
        """Return a digest of what ``of_service`` returns, in any order."""
        digest = 0
        for fact in self._current(service, now, horizon):
            digest ^= fact.fingerprint
        return format(digest, _DIGEST_FORMAT)

    def _current(
        self,
        service: str,
        now: float,
        horizon: float,
    ) -> list[_Fact]:
        return [
            fact
            for fact in self._by_name.values()
            if fact.announcement.service == service
            and not fact.is_old_leave(now, horizon)
        ]


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    if announcement.incarnation != known.incarnation:
        return announcement.incarnation > known.incarnation
    return announcement.is_leaving and not known.is_leaving


def _aged(fact: _Fact, now: float) -> Announcement:
    fields = fact.announcement.as_dict()
    age = max(0, now - fact.made_at)
    fields['age_ms'] = int(age * _MS)
    return Announcement(**fields)
