"""The announcements that a node holds, and their digests."""

from collections.abc import Container, Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.membership._messages import Announcement, ServiceDigest

_MS: Final = 1000
#: Enough that two sets of a few hundred are hardly ever taken for one.
_FINGERPRINT_MASK: Final = 0xFFFFFFFF


class _Fact:
    """An announcement, and when its node made it on this node's clock."""

    __slots__ = ('announcement', 'made_at', 'fingerprint')

    def __init__(self, announcement: Announcement, made_at: float) -> None:
        self.announcement = announcement
        self.made_at = made_at
        text = (
            f'{announcement.name} {announcement.incarnation} '
            f'{announcement.is_leaving}'
        )
        self.fingerprint = xxh3_64_intdigest(text.encode()) & _FINGERPRINT_MASK

    def is_old_leave(self, now: float, horizon: float) -> bool:
        return self.announcement.is_leaving and now - self.made_at > horizon

    def aged(self, now: float) -> Announcement:
        fields = self.announcement.as_dict()
        age = max(0, now - self.made_at)
        fields['age_ms'] = int(age * _MS)
        return Announcement(**fields)


class Facts:
    """The latest announcement of each node that this one heard of.

    A leave is told to peers for half of ``horizon`` seconds and then held
    for the other half, so that no peer that forgot it hears it again.
    """

    __slots__ = ('_horizon', '_by_name', '_by_service')

    def __init__(self, horizon: float) -> None:
        """Hold nothing."""
        self._horizon = horizon
        self._by_name: dict[str, _Fact] = {}
        self._by_service: dict[str, dict[str, _Fact]] = {}

    def learn(self, announcement: Announcement, now: float) -> bool:
        """Hold an announcement; return whether it is news.

        A greater incarnation goes before a lesser one, and within one
        incarnation a leave cannot be taken back.
        """
        known = self._by_name.get(announcement.name)
        if known is not None:
            if not _is_newer(announcement, known.announcement):
                return False
            self._drop(known)
        made_at = now - announcement.age_ms / _MS
        fact = _Fact(announcement, made_at)
        self._by_name[announcement.name] = fact
        by_name = self._by_service.setdefault(announcement.service, {})
        by_name[announcement.name] = fact
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

    def expire(self, now: float, kept: set[str]) -> None:
        """Drop leaves, and nodes that are not to be kept, when they are old."""
        expired = [
            fact
            for name, fact in self._by_name.items()
            if fact.is_old_leave(now, self._horizon)
            or (name not in kept and now - fact.made_at > self._horizon)
        ]
        for fact in expired:
            self._drop(fact)

    def told(self, name: str, now: float) -> Announcement | None:
        """Return an announcement to pass on, with its age as of now."""
        fact = self._by_name.get(name)
        return None if fact is None else fact.aged(now)

    def held_of(self, service: str, now: float) -> list[int]:
        """Return the fingerprints of what is told of a service."""
        return [fact.fingerprint for fact in self._current(service, now)]

    def missing(
        self,
        service: str,
        held: Container[int],
        now: float,
    ) -> list[Announcement]:
        """Return what is told of a service and not among those held."""
        return [
            fact.aged(now)
            for fact in self._current(service, now)
            if fact.fingerprint not in held
        ]

    def digest_of(self, service: str, now: float) -> ServiceDigest:
        """Return a digest of what is told of a service, in any order."""
        digest = ServiceDigest(0, 0)
        for fact in self._current(service, now):
            digest.count += 1
            digest.fingerprint ^= fact.fingerprint
        return digest

    def _current(self, service: str, now: float) -> Iterable[_Fact]:
        facts = self._by_service.get(service, {}).values()
        told_for = self._horizon / 2
        return (fact for fact in facts if not fact.is_old_leave(now, told_for))

    def _drop(self, fact: _Fact) -> None:
        announcement = fact.announcement
        self._by_name.pop(announcement.name)
        by_name = self._by_service[announcement.service]
        by_name.pop(announcement.name)
        if not by_name:
            self._by_service.pop(announcement.service)


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    if announcement.incarnation != known.incarnation:
        return announcement.incarnation > known.incarnation
    return announcement.is_leaving and not known.is_leaving
