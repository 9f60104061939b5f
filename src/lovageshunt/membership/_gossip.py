"""Exchange of membership messages with peers, within a byte budget."""

from collections.abc import Sequence
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.membership._actions import (
    Peer,
    SendBulletin,
    SendDigest,
    peer_of,
)
from lovageshunt.membership._announcement_store import AnnouncementStore
from lovageshunt.membership._gossip_queue import (
    ENVELOPE_BYTES,
    ByteBudget,
    GossipItem,
    GossipQueue,
)
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    VmListChange,
    wire_bytes,
)
from lovageshunt.membership._peer_sample import PeerSample
from lovageshunt.membership._platform_answer import LastPlatformAnswer
from lovageshunt.membership._services import ServiceIndex
from lovageshunt.membership._settings import MembershipSettings

#: Maximum number of services compared in reply to one digest.
_MAX_COMPARED_SERVICES: Final = 2


class Gossip:
    """Sends updates to a few peers at once and digests periodically.

    Updates are best effort; digests let peers find and repair what was lost.
    """

    __slots__ = (
        'announcement_store',
        'peer_sample',
        '_services',
        '_settings',
        '_rng',
        '_queue',
        '_budget',
        '_next_digest_at',
        'last_answer',
    )

    def __init__(
        self,
        services: frozenset[str],
        peer_sample: PeerSample,
        settings: MembershipSettings,
        rng: Random,
        now: float,
    ) -> None:
        self.announcement_store = AnnouncementStore(
            settings.departed_retention_seconds
        )
        self.last_answer = LastPlatformAnswer()
        self.peer_sample = peer_sample
        self._services = services
        self._settings = settings
        self._rng = rng
        self._queue = GossipQueue(settings.gossip_lifetime_seconds)
        self._budget = ByteBudget(
            settings.bytes_per_second,
            settings.burst_bytes,
            now,
        )
        self._next_digest_at = (
            now + rng.random() * settings.mean_digest_interval_seconds
        )

    def add_announcement(self, announcement: Announcement, now: float) -> bool:
        """Store an announcement; queue it for peers and return true if new."""
        if not self.announcement_store.add(announcement, now):
            return False
        self._queue.put(announcement, now)
        return True

    def queue_change(self, change: VmListChange, now: float) -> None:
        """Queue a change of the platform's VM list for peers."""
        self._queue.put(change, now)

    def leave_notice(self, change: VmListChange, now: float) -> SendBulletin:
        """Return a notice to a VM that is listed as leaving.

        The VM may not know yet and refuses calls as soon as it does, which
        protects callers that have not heard. So the notice is sent at once,
        even if the byte budget is exhausted.
        """
        bulletin = self._bulletin([change], now)
        self._budget.spend(_sent_bytes(bulletin))
        return SendBulletin(peer_of(change), bulletin)

    def send_queued(self, fanout: int, now: float) -> list[SendBulletin]:
        """Return queued updates for up to ``fanout`` peers, within budget."""
        peers = self.peer_sample.draw(fanout) if self._queue else []
        if not peers:
            return []
        items = self._queue.pop_fitting(
            self._budget.available(now) / len(peers),
            self._budget.unreserved(now) / len(peers),
            now,
        )
        if not items:
            return []
        bulletin = self._bulletin(items, now)
        self._budget.spend(len(peers) * _sent_bytes(bulletin))
        return [SendBulletin(peer, bulletin) for peer in peers]

    def is_digest_due(self, now: float) -> bool:
        """Return whether a digest is due; if so, schedule the next one."""
        if now < self._next_digest_at:
            return False
        interval = (
            self._settings.mean_digest_interval_seconds
            * self._rng.uniform(0.5, 1.5)
        )
        self._next_digest_at = now + interval
        return True

    def digest(
        self,
        own: Announcement,
        index: ServiceIndex,
        now: float,
    ) -> list[SendDigest]:
        """Return a digest for one peer, if it fits the budget.

        Half of the digests go to peers of the own service, which follow the
        same services, the rest to any peer.
        """
        peers = self.peer_sample.draw(1)
        members = index.members_of(own.service)
        if members and (not peers or self._rng.random() < 1 / 2):
            peers = [peer_of(self._rng.choice(members))]
        digest = MembershipDigest(
            sender=own.name,
            address=own.admin_address or own.address,
            digest_by_service={
                service: self.announcement_store.digest_of(service, now)
                for service in sorted(self._services)
            },
            news_age_ms=self.last_answer.age_ms(now),
        )
        return self._if_within_budget(peers[0], digest, now) if peers else []

    def answer_digest(
        self,
        digest: MembershipDigest,
        own: Announcement,
        now: float,
    ) -> list[Record]:
        """Return what the sender of a digest lacks, and what is held here.

        Where digests differ, the reply lists the fingerprints held here. The
        sender answers with exactly what is missing and lists its own.
        """
        peer = Peer(
            name=digest.sender,
            address=digest.address,
            failure_domain='',
        )
        is_more_recent = self.last_answer.is_more_recent_than(
            digest.news_age_ms, now
        )
        self.last_answer.record_age(digest.news_age_ms, now)
        held_by_service = self._differing(digest, now)
        actions: list[Record] = list(self._missing_for(peer, digest, now))
        if held_by_service or is_more_recent:
            reply = MembershipDigest(
                sender=own.name,
                address=own.admin_address or own.address,
                digest_by_service={
                    service: self.announcement_store.digest_of(service, now)
                    for service in held_by_service
                    if not digest.held_by_service
                },
                held_by_service=held_by_service,
                news_age_ms=self.last_answer.age_ms(now),
            )
            actions.extend(self._if_within_budget(peer, reply, now))
        return actions

    def expire(self, now: float, kept: set[str]) -> None:
        """Delete old leaves, and old announcements of nodes not in ``kept``."""
        self.announcement_store.expire(now, kept)

    def _differing(
        self,
        digest: MembershipDigest,
        now: float,
    ) -> dict[str, list[int]]:
        differing = [
            service
            for service, theirs in digest.digest_by_service.items()
            if service in self._services
            and self.announcement_store.digest_of(service, now) != theirs
        ]
        count = min(len(differing), _MAX_COMPARED_SERVICES)
        return {
            service: self.announcement_store.fingerprints_of(service, now)
            for service in self._rng.sample(differing, count)
        }

    def _missing_for(
        self,
        peer: Peer,
        digest: MembershipDigest,
        now: float,
    ) -> list[SendBulletin]:
        missing: list[Announcement] = []
        for service, held in digest.held_by_service.items():
            missing.extend(
                self.announcement_store.missing(service, frozenset(held), now)
            )
        missing.sort(key=_age_ms_of)
        fitting = self._fitting(missing, now)
        if not fitting:
            return []
        bulletin = self._bulletin(fitting, now)
        self._budget.spend(_sent_bytes(bulletin))
        return [SendBulletin(peer, bulletin)]

    def _if_within_budget(
        self,
        peer: Peer,
        digest: MembershipDigest,
        now: float,
    ) -> list[SendDigest]:
        digest_bytes = _sent_bytes(digest)
        if self._budget.unreserved(now) < digest_bytes:
            return []
        self._budget.spend(digest_bytes)
        return [SendDigest(peer, digest)]

    def _bulletin(
        self,
        items: Sequence[GossipItem],
        now: float,
    ) -> Bulletin:
        announcements = [
            self.announcement_store.get_aged(item.name, now) or item
            for item in items
            if isinstance(item, Announcement)
        ]
        changes = [item for item in items if isinstance(item, VmListChange)]
        return Bulletin(
            announcements=announcements,
            list_news=changes,
            news_age_ms=self.last_answer.age_ms(now),
        )

    def _fitting(
        self,
        announcements: list[Announcement],
        now: float,
    ) -> list[Announcement]:
        available_bytes = self._budget.unreserved(now)
        used_bytes = ENVELOPE_BYTES
        fitting = []
        for announcement in announcements:
            used_bytes += wire_bytes(announcement) + 1
            if used_bytes > available_bytes:
                break
            fitting.append(announcement)
        return fitting


def _age_ms_of(announcement: Announcement) -> int:
    return announcement.age_ms


def _sent_bytes(message: Bulletin | MembershipDigest) -> int:
    return wire_bytes(message) + ENVELOPE_BYTES
