"""What a node tells its peers, within its budget of bytes."""

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
from lovageshunt.membership._contacts import Contacts
from lovageshunt.membership._facts import Facts
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    MembershipDigest,
    VmListChange,
    wire_bytes,
)
from lovageshunt.membership._news import PlatformNews
from lovageshunt.membership._outbox import (
    ENVELOPE_BYTES,
    ByteBudget,
    News,
    Outbox,
)
from lovageshunt.membership._services import ServiceIndex
from lovageshunt.membership._settings import MembershipSettings

#: How many services are compared in answer to one digest.
_MOST_COMPARED: Final = 2


class Gossip:
    """Rumours told at once to a few peers, and digests now and then."""

    __slots__ = (
        'facts',
        'contacts',
        '_services',
        '_settings',
        '_rng',
        '_outbox',
        '_budget',
        '_digest_at',
        'news',
    )

    def __init__(
        self,
        services: frozenset[str],
        contacts: Contacts,
        settings: MembershipSettings,
        rng: Random,
        now: float,
    ) -> None:
        """Have nothing to tell."""
        self.facts = Facts(settings.departed_horizon)
        self.news = PlatformNews()
        self.contacts = contacts
        self._services = services
        self._settings = settings
        self._rng = rng
        self._outbox = Outbox(settings.rumour_lifetime)
        self._budget = ByteBudget(
            settings.bytes_per_second,
            settings.burst_bytes,
            now,
        )
        self._digest_at = now + rng.random() * settings.exchange_period

    def learn(self, announcement: Announcement, now: float) -> bool:
        """Take in an announcement; pass it on if it is news."""
        if not self.facts.learn(announcement, now):
            return False
        self._outbox.put(announcement, now)
        return True

    def pass_on(self, news: VmListChange, now: float) -> None:
        """Tell peers what changed in the platform's list."""
        self._outbox.put(news, now)

    def warning_of(self, news: VmListChange, now: float) -> SendBulletin:
        """Return word to a VM that is listed as leaving.

        It may not know yet, and refuses calls as soon as it does, which
        spares those that have not heard. So it is told at once, whatever is
        left of the budget.
        """
        bulletin = self._bulletin([news], now)
        self._budget.spend(_sent_bytes(bulletin))
        return SendBulletin(peer_of(news), bulletin)

    def tell(self, fanout: int, now: float) -> list[SendBulletin]:
        """Return the waiting news for a few peers, as far as it fits."""
        peers = self.contacts.draw(fanout) if self._outbox else []
        if not peers:
            return []
        news = self._outbox.take(
            self._budget.left(now) / len(peers),
            self._budget.unreserved(now) / len(peers),
            now,
        )
        if not news:
            return []
        bulletin = self._bulletin(news, now)
        self._budget.spend(len(peers) * _sent_bytes(bulletin))
        return [SendBulletin(peer, bulletin) for peer in peers]

    def is_digest_due(self, now: float) -> bool:
        """Return whether a digest is to be sent, and set the next time."""
        if now < self._digest_at:
            return False
        pause = self._settings.exchange_period * self._rng.uniform(0.5, 1.5)
        self._digest_at = now + pause
        return True

    def digest(
        self,
        own: Announcement,
        index: ServiceIndex,
        now: float,
    ) -> list[SendDigest]:
        """Return a digest for one peer, if it fits.

        Half of them go to peers of the own service, which need the same
        services, and the others to any peer.
        """
        peers = self.contacts.draw(1)
        members = index.members_of(own.service)
        if members and (not peers or self._rng.random() < 1 / 2):
            peers = [peer_of(self._rng.choice(members))]
        digest = MembershipDigest(
            sender=own.name,
            address=own.admin_address or own.address,
            digest_by_service={
                service: self.facts.digest_of(service, now)
                for service in sorted(self._services)
            },
            news_age_ms=self.news.age_ms(now),
        )
        return self._sent(peers[0], digest, now) if peers else []

    def answer(
        self,
        digest: MembershipDigest,
        own: Announcement,
        now: float,
    ) -> list[Record]:
        """Return what the sender of a digest lacks, and what is held here.

        Where a digest differs, the sender is told what is held here, answers
        with exactly what is missing and tells in turn what it holds.
        """
        peer = Peer(
            name=digest.sender,
            address=digest.address,
            failure_domain='',
        )
        is_later = self.news.is_later_than(digest.news_age_ms, now)
        self.news.hear_age(digest.news_age_ms, now)
        held_by_service = self._differing(digest, now)
        actions: list[Record] = list(self._missing(peer, digest, now))
        if held_by_service or is_later:
            reply = MembershipDigest(
                sender=own.name,
                address=own.admin_address or own.address,
                digest_by_service={
                    service: self.facts.digest_of(service, now)
                    for service in held_by_service
                    if not digest.held_by_service
                },
                held_by_service=held_by_service,
                news_age_ms=self.news.age_ms(now),
            )
            actions.extend(self._sent(peer, reply, now))
        return actions

    def expire(self, now: float, kept: set[str]) -> None:
        """Forget old leaves, and nodes that are not to be kept."""
        self.facts.expire(now, kept)

    def _differing(
        self,
        digest: MembershipDigest,
        now: float,
    ) -> dict[str, list[int]]:
        differing = [
            service
            for service, theirs in digest.digest_by_service.items()
            if service in self._services
            and self.facts.digest_of(service, now) != theirs
        ]
        count = min(len(differing), _MOST_COMPARED)
        return {
            service: self.facts.held_of(service, now)
            for service in self._rng.sample(differing, count)
        }

    def _missing(
        self,
        peer: Peer,
        digest: MembershipDigest,
        now: float,
    ) -> list[SendBulletin]:
        missing: list[Announcement] = []
        for service, held in digest.held_by_service.items():
            missing.extend(self.facts.missing(service, frozenset(held), now))
        missing.sort(key=_age_of)
        fitting = self._fitting(missing, now)
        if not fitting:
            return []
        bulletin = self._bulletin(fitting, now)
        self._budget.spend(_sent_bytes(bulletin))
        return [SendBulletin(peer, bulletin)]

    def _sent(
        self,
        peer: Peer,
        digest: MembershipDigest,
        now: float,
    ) -> list[SendDigest]:
        size = _sent_bytes(digest)
        if self._budget.unreserved(now) < size:
            return []
        self._budget.spend(size)
        return [SendDigest(peer, digest)]

    def _bulletin(
        self,
        news: Sequence[News],
        now: float,
    ) -> Bulletin:
        announcements = [
            self.facts.told(one.name, now) or one
            for one in news
            if isinstance(one, Announcement)
        ]
        list_news = [one for one in news if isinstance(one, VmListChange)]
        return Bulletin(
            announcements=announcements,
            list_news=list_news,
            news_age_ms=self.news.age_ms(now),
        )

    def _fitting(
        self,
        announcements: list[Announcement],
        now: float,
    ) -> list[Announcement]:
        left = self._budget.unreserved(now)
        size = ENVELOPE_BYTES
        fitting = []
        for announcement in announcements:
            size += wire_bytes(announcement) + 1
            if size > left:
                break
            fitting.append(announcement)
        return fitting


def _age_of(announcement: Announcement) -> int:
    return announcement.age_ms


def _sent_bytes(message: Bulletin | MembershipDigest) -> int:
    return wire_bytes(message) + ENVELOPE_BYTES
