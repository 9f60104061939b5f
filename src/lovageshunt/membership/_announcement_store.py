"""The announcements that a node holds, and their digests."""

from collections.abc import Container, Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.membership._messages import Announcement, ServiceDigest

_MS_PER_SECOND: Final = 1000
#: 32 bits: collisions between sets of a few hundred entries are very unlikely.
_FINGERPRINT_MASK: Final = 0xFFFFFFFF


class _StoredAnnouncement:
    """An announcement and its creation time on this node's clock."""

    __slots__ = ('announcement', 'created_at', 'fingerprint')

    def __init__(self, announcement: Announcement, created_at: float) -> None:
        self.announcement = announcement
        self.created_at = created_at
        text = (
            f'{announcement.name} {announcement.incarnation} '
            f'{announcement.is_leaving}'
        )
        self.fingerprint = xxh3_64_intdigest(text.encode()) & _FINGERPRINT_MASK

    def is_expired_leave(self, now: float, retention_seconds: float) -> bool:
        return (
            self.announcement.is_leaving
            and now - self.created_at > retention_seconds
        )

    def with_current_age(self, now: float) -> Announcement:
        fields = self.announcement.as_dict()
        age = max(0, now - self.created_at)
        fields['age_ms'] = int(age * _MS_PER_SECOND)
        return Announcement(**fields)


class AnnouncementStore:
    """The latest announcement received from each node.

    A leave is shared with peers for the first half of ``retention_seconds`` and
    kept without sharing for the second half, so that a peer that has already
    forgotten it does not receive it again.
    """

    __slots__ = ('_retention_seconds', '_by_name', '_by_service')

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._by_name: dict[str, _StoredAnnouncement] = {}
        self._by_service: dict[str, dict[str, _StoredAnnouncement]] = {}

    def add(self, announcement: Announcement, now: float) -> bool:
        """Store an announcement; return whether it is new.

        A higher incarnation replaces a lower one; within one incarnation a
        leave is final.
        """
        known = self._by_name.get(announcement.name)
        if known is not None:
            if not _is_newer(announcement, known.announcement):
                return False
            self._drop(known)
        created_at = now - announcement.age_ms / _MS_PER_SECOND
        stored = _StoredAnnouncement(announcement, created_at)
        self._by_name[announcement.name] = stored
        by_name = self._by_service.setdefault(announcement.service, {})
        by_name[announcement.name] = stored
        return True

    def incarnation_of(self, name: str) -> str:
        """Return the highest known incarnation, or an empty string."""
        stored = self._by_name.get(name)
        return '' if stored is None else stored.announcement.incarnation

    def has_left(self, name: str, incarnation: str) -> bool:
        """Return whether this incarnation or a later one announced a leave."""
        stored = self._by_name.get(name)
        if stored is None or not stored.announcement.is_leaving:
            return False
        return incarnation <= stored.announcement.incarnation

    def expire(self, now: float, kept: set[str]) -> None:
        """Delete old leaves, and old announcements of nodes not in ``kept``."""
        expired = [
            stored
            for name, stored in self._by_name.items()
            if stored.is_expired_leave(now, self._retention_seconds)
            or (
                name not in kept
                and now - stored.created_at > self._retention_seconds
            )
        ]
        for stored in expired:
            self._drop(stored)

    def get_aged(self, name: str, now: float) -> Announcement | None:
        """Return the announcement of a node with its current age, if known."""
        stored = self._by_name.get(name)
        return None if stored is None else stored.with_current_age(now)

    def fingerprints_of(self, service: str, now: float) -> list[int]:
        """Return the fingerprints of a service's shared announcements."""
        return [stored.fingerprint for stored in self._shareable(service, now)]

    def missing(
        self,
        service: str,
        held: Container[int],
        now: float,
    ) -> list[Announcement]:
        """Return shared announcements with fingerprints not in ``held``."""
        return [
            stored.with_current_age(now)
            for stored in self._shareable(service, now)
            if stored.fingerprint not in held
        ]

    def digest_of(self, service: str, now: float) -> ServiceDigest:
        """Return an order-independent digest of a service's announcements."""
        digest = ServiceDigest(0, 0)
        for stored in self._shareable(service, now):
            digest.count += 1
            digest.fingerprint ^= stored.fingerprint
        return digest

    def _shareable(
        self, service: str, now: float
    ) -> Iterable[_StoredAnnouncement]:
        candidates = self._by_service.get(service, {}).values()
        sharing_seconds = self._retention_seconds / 2
        return (
            stored
            for stored in candidates
            if not stored.is_expired_leave(now, sharing_seconds)
        )

    def _drop(self, stored: _StoredAnnouncement) -> None:
        announcement = stored.announcement
        self._by_name.pop(announcement.name)
        by_name = self._by_service[announcement.service]
        by_name.pop(announcement.name)
        if not by_name:
            self._by_service.pop(announcement.service)


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    if announcement.incarnation != known.incarnation:
        return announcement.incarnation > known.incarnation
    return announcement.is_leaving and not known.is_leaving
