"""What a node tells its peers, within its budget of bytes."""

from collections.abc import Collection, Sequence
from random import Random

from lovageshunt.membership._actions import (
    Announce,
    Peer,
    SendDigest,
    peer_of,
)
from lovageshunt.membership._contacts import Contacts
from lovageshunt.membership._facts import Facts
from lovageshunt.membership._messages import (
    Announcement,
    Bulletin,
    ListNews,
    MembershipDigest,
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


class Gossip:
    """Rumours told at once to a few peers, and digests now and then."""

    __slots__ = (
        'facts',
        'contacts',
        '_settings',
        '_rng',
        '_outbox',
        '_budget',
        '_digest_at',
        'news',
    )

    def __init__(
        self,
        contacts: Contacts,
        settings: MembershipSettings,
        rng: Random,
        now: float,
    ) -> None:
        """Have nothing to tell."""
        self.facts = Facts()
        self.news = PlatformNews()
        self.contacts = contacts
        self._settings = settings
        self._rng = rng
        self._outbox = Outbox()
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
        self._outbox.put(announcement)
        return True

    def pass_on(self, news: ListNews) -> None:
        """Tell peers what changed in the platform's list."""
        self._outbox.put(news)

    def tell(self, fanout: int, now: float) -> list[Announce]:
        """Return the waiting news for a few peers, as far as it fits."""
        peers = self.contacts.draw(fanout) if self._outbox else []
        if not peers:
            return []
        most_bytes = self._budget.left(now) / len(peers)
        news, size = self._outbox.take(most_bytes)
        if not news:
            return []
        self._budget.spend(size * len(peers))
        bulletin = self._bulletin(news, now)
        return [Announce(peer, bulletin) for peer in peers]

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
                service: self.facts.digest_of(service, now, self._told_for)
                for service in sorted(index.services)
            },
            news_age_ms=self.news.age_ms(now),
        )
        size = wire_bytes(digest) + ENVELOPE_BYTES
        if not peers or self._budget.left(now) < size:
            return []
        self._budget.spend(size)
        return [SendDigest(peers[0], digest)]

    def answer(
        self,
        digest: MembershipDigest,
        services: Collection[str],
        now: float,
    ) -> list[Announce]:
        """Return what the sender of a digest lacks, as far as it fits."""
        lacking: list[Announcement] = []
        for service, theirs in digest.digest_by_service.items():
            if service not in services:
                continue
            if self.facts.digest_of(service, now, self._told_for) != theirs:
                lacking.extend(
                    self.facts.of_service(service, now, self._told_for),
                )
        self._rng.shuffle(lacking)
        fitting = self._fitting(lacking, now)
        peer = Peer(
            name=digest.sender,
            address=digest.address,
            failure_domain='',
        )
        return [Announce(peer, self._bulletin(fitting, now))]

    def expire(self, now: float, kept: set[str]) -> None:
        """Forget old leaves, and nodes that are not to be kept."""
        self.facts.expire(now, self._settings.departed_horizon, kept)

    @property
    def _told_for(self) -> float:
        """Return how old a leave may be to be worth telling, in seconds."""
        return self._settings.departed_horizon / 2

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
        list_news = [one for one in news if isinstance(one, ListNews)]
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
        left = self._budget.left(now)
        size = ENVELOPE_BYTES
        fitting = []
        for announcement in announcements:
            size += wire_bytes(announcement) + 1
            if size > left:
                break
            fitting.append(announcement)
        self._budget.spend(min(size, left))
        return fitting
