"""One node's view of the members of the services that it needs."""

from collections.abc import Iterable, Sequence
from functools import singledispatchmethod
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.membership._actions import (
    MembersChanged,
    OwnLeaveListed,
    Peer,
    ReadVmList,
    peer_of,
)
from lovageshunt.membership._contacts import Contacts
from lovageshunt.membership._events import (
    BulletinReceived,
    DigestReceived,
    LeaveStarted,
    MembershipTicked,
    PauseEnded,
    PeerAnnounced,
    PeerAnswered,
    PeerSilent,
    VmListChangeReceived,
    VmListReceived,
)
from lovageshunt.membership._gossip import Gossip
from lovageshunt.membership._listing import Listing
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement, VmListChange
from lovageshunt.membership._roster import Roster
from lovageshunt.membership._settings import MembershipSettings
from lovageshunt.membership._vms import ListedVm, VmState

#: A departure is told by its own node to this many times the usual peers.
_OWN_LEAVE_FANOUT: Final = 2

#: How often what is too old is looked for.
_EXPIRE_SECONDS: Final = 10


class MembershipView:
    """Who may get calls, from the list, announcements, silence and answers.

    ``own`` is this node's announcement, what it says of itself.
    ``needed_services`` are those that
    it calls; their members and those of its own service are kept.
    """

    __slots__ = (
        'own',
        '_settings',
        '_gossip',
        '_roster',
        '_listing',
        '_now',
        '_expire_at',
    )

    def __init__(
        self,
        *,
        own: Announcement,
        needed_services: Iterable[str],
        rng: Random,
        now: float,
        settings: MembershipSettings | None = None,
    ) -> None:
        """Know nobody but oneself, and have that to tell."""
        settings = settings or MembershipSettings()
        contacts = Contacts(
            own.failure_domain,
            settings.contacts_per_failure_domain,
            rng,
        )
        self.own = own
        self._settings = settings
        services = frozenset((own.service, *needed_services))
        self._gossip = Gossip(services, contacts, settings, rng, now)
        self._roster = Roster(services, settings, self._gossip.facts)
        self._listing = Listing(own.name, settings.rollback_patience)
        self._now = now
        self._expire_at = now + _EXPIRE_SECONDS
        self._gossip.learn(own, now)

    def members_of(self, service: str) -> Sequence[Member]:
        """Return the members that may get new calls; none of them is leaving.

        They are in the order of names and without this node itself.
        """
        return self._roster.index.members_of(service)

    def recently_departed(self, service: str) -> list[Member]:
        """Return those that are leaving, or left within the horizon."""
        return self._roster.recently_departed(service, self._now)

    def peers_for_exchange(self, count: int) -> list[Peer]:
        """Draw peers, half of the own failure domain, some of each other."""
        return self._gossip.contacts.draw(count)

    def handle(self, event: Record, now: float) -> list[Record]:
        """Take in an event; return what is to be done."""
        self._now = max(now, self._now)
        actions = list(self._handle(event, now))
        actions.extend(
            MembersChanged(service)
            for service in self._roster.index.take_changed()
        )
        return actions

    @singledispatchmethod
    def _handle(self, event: Record, now: float) -> Sequence[Record]:
        raise TypeError(f'{event!r} is no event of a membership view')

    @_handle.register
    def _on_list_read(
        self, event: VmListReceived, now: float
    ) -> Sequence[Record]:
        vms = [vm for vm in event.vm_list.vms if vm.name != self.own.name]
        reading = self._listing.read(event.vm_list, now)
        for vm in vms:
            if _concerns(self._roster, vm):
                self._roster.list_vm(vm, now, is_current=reading.is_current)
        if reading.is_current:
            listed = {known.name for known in vms}
            for name in sorted(self._roster.by_name.keys() - listed):
                self._roster.list_gone(name, now)
        self._gossip.news.hear(now)
        actions: list[Record] = []
        for news in reading.changes:
            self._gossip.pass_on(news, now)
            if news.state is VmState.LEAVING and news.name != self.own.name:
                actions.append(self._gossip.warning_of(news, now))
        self._gossip.contacts.sample(
            peer_of(one) for one in vms if one.state is VmState.LIVE
        )
        if reading.is_own_leave:
            actions.append(OwnLeaveListed())
        return actions

    @_handle.register
    def _on_list_news(
        self,
        event: VmListChangeReceived,
        now: float,
    ) -> Sequence[Record]:
        news = event.news
        if not self._listing.hear(news):
            return ()
        self._gossip.pass_on(news, now)
        if news.name == self.own.name:
            if self._listing.has_read_past(news.revision):
                # Late word of an earlier incarnation, or a restarted platform.
                return (ReadVmList(is_watch=False),)
            is_own_leave = self._listing.is_own_leave(news.state, now)
            return (OwnLeaveListed(),) if is_own_leave else ()
        if not _concerns(self._roster, news):
            return ()
        is_latest = self._listing.is_latest(news)
        if news.state is not VmState.GONE:
            self._roster.list_vm(_listed_vm(news), now, is_current=is_latest)
        elif is_latest:
            self._roster.list_gone(news.name, now)
        return ()

    @_handle.register
    def _on_announced(
        self,
        event: PeerAnnounced,
        now: float,
    ) -> Sequence[Record]:
        announcement = event.announcement
        if announcement.name == self.own.name:
            return ()
        if not self._gossip.learn(announcement, now):
            return ()
        if announcement.is_leaving:
            self._gossip.contacts.remove(announcement.name)
        else:
            self._gossip.contacts.add(peer_of(announcement))
        if _concerns(self._roster, announcement):
            self._roster.announce(announcement, now)
        return ()

    @_handle.register
    def _on_bulletin(
        self,
        event: BulletinReceived,
        now: float,
    ) -> Sequence[Record]:
        bulletin = event.bulletin
        self._gossip.news.hear_age(bulletin.news_age_ms, now)
        for announcement in bulletin.announcements:
            self._on_announced(PeerAnnounced(announcement), now)
        actions: list[Record] = []
        for news in bulletin.list_news:
            actions.extend(self._on_list_news(VmListChangeReceived(news), now))
        return actions

    @_handle.register
    def _on_silent(self, event: PeerSilent, now: float) -> Sequence[Record]:
        self._gossip.contacts.silence(event.name)
        self._roster.silence(event.name, now)
        return ()

    @_handle.register
    def _on_answered(self, event: PeerAnswered, now: float) -> Sequence[Record]:
        if event.is_leaving:
            self._roster.refuse(event.name, event.incarnation, now)
            return ()
        self._gossip.contacts.answer(event.name)
        return self._roster.answer(event.name, event.incarnation, now)

    @_handle.register
    def _on_digest(self, event: DigestReceived, now: float) -> Sequence[Record]:
        return self._gossip.answer(event.digest, self.own, now)

    @_handle.register
    def _on_ticked(
        self, event: MembershipTicked, now: float
    ) -> Sequence[Record]:
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRE_SECONDS
            self._roster.expire(now)
            self._listing.expire(now)
            self._gossip.expire(now, {self.own.name, *self._roster.by_name})
        actions: list[Record] = list(self._roster.due_probes(now))
        actions.extend(self._gossip.tell(self._settings.rumour_fanout, now))
        if self._gossip.is_digest_due(now):
            actions.extend(
                self._gossip.digest(self.own, self._roster.index, now),
            )
        return actions

    @_handle.register
    def _on_leave(self, event: LeaveStarted, now: float) -> Sequence[Record]:
        fields = self.own.as_dict()
        fields['is_leaving'] = True
        self.own = Announcement(**fields)
        if not self._gossip.learn(self.own, now):
            return ()
        fanout = self._settings.rumour_fanout * _OWN_LEAVE_FANOUT
        return self._gossip.tell(fanout, now)

    @_handle.register
    def _on_pause(self, event: PauseEnded, now: float) -> Sequence[Record]:
        self._roster.index.forget_signs()
        self._gossip.contacts.forget_signs()
        return self._gossip.digest(self.own, self._roster.index, now)


def _concerns(
    roster: Roster,
    news: ListedVm | Announcement | VmListChange,
) -> bool:
    return news.service in roster.index.services or news.name in roster.by_name


def _listed_vm(news: VmListChange) -> ListedVm:
    return ListedVm(state=news.state, **news.facts())
