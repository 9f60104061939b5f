"""One node's view of the members of the services that it calls."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._record import Record
from lovageshunt.membership._actions import (
    MembersChanged,
    OwnLeaveListed,
    Peer,
    ReadVmList,
    peer_of,
)
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
from lovageshunt.membership._list_tracker import ListTracker
from lovageshunt.membership._member import Member
from lovageshunt.membership._messages import Announcement, VmListChange
from lovageshunt.membership._peer_sample import PeerSample
from lovageshunt.membership._roster import Roster
from lovageshunt.membership._settings import MembershipSettings
from lovageshunt.membership._vms import ListedVm, VmState

#: The leave of this node is sent to this many times ``gossip_fanout`` peers.
_OWN_LEAVE_FANOUT_FACTOR: Final = 2

_EXPIRY_INTERVAL_SECONDS: Final = 10


class MembershipView:
    """Decides which members may receive calls.

    The inputs are VM lists, announcements, answers and silence. ``own`` is this
    node's announcement. ``needed_services`` are the services that it calls;
    their members and those of its own service are followed.
    """

    __slots__ = (
        'own',
        '_settings',
        '_gossip',
        '_roster',
        '_list_tracker',
        '_now',
        '_next_expiry_at',
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
        settings = settings or MembershipSettings()
        peer_sample = PeerSample(
            own.failure_domain,
            settings.peers_per_failure_domain,
            rng,
        )
        self.own = own
        self._settings = settings
        services = frozenset((own.service, *needed_services))
        self._gossip = Gossip(services, peer_sample, settings, rng, now)
        self._roster = Roster(
            services, settings, self._gossip.announcement_store
        )
        self._list_tracker = ListTracker(
            own.name, settings.rollback_timeout_seconds
        )
        self._now = now
        self._next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
        self._gossip.add_announcement(own, now)

    def members_of(self, service: str) -> Sequence[Member]:
        """Return the members that may receive new calls, sorted by name.

        Leaving members and this node itself are excluded.
        """
        return self._roster.index.members_of(service)

    def recently_departed(self, service: str) -> list[Member]:
        """Return members that are leaving or left in the retention period."""
        return self._roster.recently_departed(service, self._now)

    def peers_for_exchange(self, count: int) -> list[Peer]:
        """Draw peers: half in the own failure domain, the rest elsewhere."""
        return self._gossip.peer_sample.draw(count)

    def handle(self, event: Record, now: float) -> list[Record]:
        """Apply an event; return the actions to carry out."""
        self._now = max(now, self._now)
        actions = list(self._handle(event, now))
        actions.extend(
            MembersChanged(service)
            for service in self._roster.index.pop_changed()
        )
        return actions

    @DispatchedMethod
    def _handle(self, event: Record, now: float) -> Sequence[Record]:
        raise TypeError(
            f'expected an event of a membership view, got {event!r}',
        )

    @_handle.register
    def _on_list_read(
        self, event: VmListReceived, now: float
    ) -> Sequence[Record]:
        vms = [vm for vm in event.vm_list.vms if vm.name != self.own.name]
        read_result = self._list_tracker.record_read(event.vm_list, now)
        for vm in vms:
            if _is_relevant(self._roster, vm):
                self._roster.apply_listed(
                    vm, now, is_current=read_result.is_current
                )
        if read_result.is_current:
            listed = {vm.name for vm in vms}
            for name in sorted(self._roster.by_name.keys() - listed):
                self._roster.apply_unlisted(name, now)
        self._gossip.last_answer.record(now)
        actions: list[Record] = []
        for change in read_result.changes:
            self._gossip.queue_change(change, now)
            if change.state is VmState.LEAVING and change.name != self.own.name:
                actions.append(self._gossip.leave_notice(change, now))
        self._gossip.peer_sample.resample(
            peer_of(vm) for vm in vms if vm.state is VmState.LIVE
        )
        if read_result.is_own_leave:
            actions.append(OwnLeaveListed())
        return actions

    @_handle.register
    def _on_list_change(
        self,
        event: VmListChangeReceived,
        now: float,
    ) -> Sequence[Record]:
        change = event.change
        if not self._list_tracker.record_change(change):
            return ()
        self._gossip.queue_change(change, now)
        if change.name == self.own.name:
            if self._list_tracker.has_read_past(change.revision):
                # A late change of an earlier incarnation, or a restarted
                # platform: the list itself decides.
                return (ReadVmList(is_watch=False),)
            is_own_leave = self._list_tracker.is_own_leave(change.state, now)
            return (OwnLeaveListed(),) if is_own_leave else ()
        if not _is_relevant(self._roster, change):
            return ()
        is_latest = self._list_tracker.is_latest(change)
        if change.state is not VmState.GONE:
            self._roster.apply_listed(
                _listed_vm(change), now, is_current=is_latest
            )
        elif is_latest:
            self._roster.apply_unlisted(change.name, now)
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
        if not self._gossip.add_announcement(announcement, now):
            return ()
        if announcement.is_leaving:
            self._gossip.peer_sample.remove(announcement.name)
        else:
            self._gossip.peer_sample.add(peer_of(announcement))
        if _is_relevant(self._roster, announcement):
            self._roster.apply_announcement(announcement, now)
        return ()

    @_handle.register
    def _on_bulletin(
        self,
        event: BulletinReceived,
        now: float,
    ) -> Sequence[Record]:
        bulletin = event.bulletin
        self._gossip.last_answer.record_age(bulletin.news_age_ms, now)
        for announcement in bulletin.announcements:
            self._on_announced(PeerAnnounced(announcement), now)
        actions: list[Record] = []
        for change in bulletin.list_news:
            actions.extend(
                self._on_list_change(VmListChangeReceived(change), now)
            )
        return actions

    @_handle.register
    def _on_silent(self, event: PeerSilent, now: float) -> Sequence[Record]:
        self._gossip.peer_sample.mark_silent(event.name)
        self._roster.record_silence(event.name, now)
        return ()

    @_handle.register
    def _on_answered(self, event: PeerAnswered, now: float) -> Sequence[Record]:
        if event.is_leaving:
            self._roster.record_refusal(event.name, event.incarnation, now)
            return ()
        self._gossip.peer_sample.mark_answered(event.name)
        return self._roster.record_answer(event.name, event.incarnation, now)

    @_handle.register
    def _on_digest(self, event: DigestReceived, now: float) -> Sequence[Record]:
        return self._gossip.answer_digest(event.digest, self.own, now)

    @_handle.register
    def _on_ticked(
        self, event: MembershipTicked, now: float
    ) -> Sequence[Record]:
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + _EXPIRY_INTERVAL_SECONDS
            self._roster.expire(now)
            self._list_tracker.expire(now)
            self._gossip.expire(now, {self.own.name, *self._roster.by_name})
        actions: list[Record] = list(self._roster.due_probes(now))
        actions.extend(
            self._gossip.send_queued(self._settings.gossip_fanout, now)
        )
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
        if not self._gossip.add_announcement(self.own, now):
            return ()
        fanout = self._settings.gossip_fanout * _OWN_LEAVE_FANOUT_FACTOR
        return self._gossip.send_queued(fanout, now)

    @_handle.register
    def _on_pause(self, event: PauseEnded, now: float) -> Sequence[Record]:
        self._roster.index.reset_observations()
        self._gossip.peer_sample.clear_silent()
        return self._gossip.digest(self.own, self._roster.index, now)


def _is_relevant(
    roster: Roster,
    vm: ListedVm | Announcement | VmListChange,
) -> bool:
    return vm.service in roster.index.services or vm.name in roster.by_name


def _listed_vm(change: VmListChange) -> ListedVm:
    return ListedVm(state=change.state, **change.attributes())
