"""A view accepts leaves at once and removes nobody for silence alone."""

from random import Random

from lovageshunt.membership import (
    LeaveStarted,
    ListedVm,
    MembersChanged,
    MembershipTicked,
    MembershipView,
    OwnLeaveListed,
    PeerAnswered,
    PeerSilent,
    Probe,
    ReadVmList,
    SendBulletin,
    VmListChange,
    VmListChangeReceived,
    VmState,
    wire_bytes,
)
from tests.membership.builders import (
    announcement_of,
    list_received,
    listed,
    peer_announced,
)


def new_view() -> MembershipView:
    """Return the view of a node that calls the service ``records``."""
    own = announcement_of('own', service='balances')
    return MembershipView(
        own=own,
        needed_services=['records'],
        rng=Random(1),
        now=0,
    )


def offered(view: MembershipView) -> list[str]:
    """Return the names of the members of ``records``."""
    return [member.name for member in view.members_of('records')]


def departed(view: MembershipView) -> list[str]:
    """Return the names of members that recently left ``records``."""
    return [member.name for member in view.recently_departed('records')]


class TestLeaving:
    """VMs that must not receive calls."""

    def test_listed_leaving(self) -> None:
        """A VM that is only listed as leaving is not offered."""
        view = new_view()
        view.handle(list_received(1, listed('a'), listed('b')), 0)
        view.handle(
            list_received(2, listed('a', VmState.LEAVING), listed('b')), 1
        )
        assert offered(view) == ['b']
        assert departed(view) == ['a']

    def test_announced_leave_goes_before_the_list(self) -> None:
        """A VM that announced its leave stays excluded while listed as live."""
        view = new_view()
        view.handle(list_received(1, listed('a')), 0)
        view.handle(peer_announced('a', is_leaving=True), 1)
        view.handle(list_received(2, listed('a')), 2)
        assert offered(view) == []

    def test_refusal(self) -> None:
        """A peer that refuses because it is leaving is not offered."""
        view = new_view()
        view.handle(list_received(1, listed('a')), 0)
        view.handle(PeerAnswered('a', is_leaving=True), 1)
        assert offered(view) == []

    def test_late_leave_of_an_earlier_incarnation(self) -> None:
        """A leave of an earlier incarnation is ignored."""
        view = new_view()
        view.handle(peer_announced('a', '2'), 1)
        view.handle(peer_announced('a', '1', is_leaving=True), 2)
        assert offered(view) == ['a']

    def test_returned_incarnation(self) -> None:
        """A later incarnation is offered although the list lags behind."""
        view = new_view()
        view.handle(peer_announced('a', '1'), 1)
        view.handle(list_received(1, listed('a', VmState.LEAVING)), 2)
        view.handle(peer_announced('a', '2'), 4)
        view.handle(list_received(1, listed('a', VmState.LEAVING)), 5)
        assert offered(view) == ['a']

    def test_first_announcement_does_not_revoke_a_listed_leave(self) -> None:
        """An old announcement does not revoke a listed leave."""
        view = new_view()
        view.handle(list_received(1, listed('a', VmState.LEAVING)), 2)
        view.handle(peer_announced('a', '1', age_ms=5000), 4)
        assert offered(view) == []


class TestSilence:
    """How silent peers are treated."""

    def test_silence_lowers_preference(self) -> None:
        """A silent peer that is listed stays a member, as a suspect."""
        view = new_view()
        view.handle(list_received(1, *(listed(name) for name in 'abc')), 0)
        actions = view.handle(PeerSilent('a'), 1)
        assert actions == [MembersChanged('records')]
        suspects = [member.is_suspect for member in view.members_of('records')]
        assert suspects == [True, False, False]

    def test_mostly_silent_view_is_distrusted(self) -> None:
        """If most of a service seems silent, nobody is suspect."""
        view = new_view()
        view.handle(list_received(1, *(listed(name) for name in 'abc')), 0)
        view.handle(PeerSilent('a'), 1)
        view.handle(PeerSilent('b'), 1)
        suspects = [member.is_suspect for member in view.members_of('records')]
        assert suspects == [False, False, False]

    def test_suspects_are_probed(self) -> None:
        """A suspect is probed after a delay and trusted once it answers."""
        view = new_view()
        view.handle(list_received(1, *(listed(name) for name in 'abc')), 0)
        view.handle(PeerSilent('a'), 1)
        assert Probe('a', 'a:1') in view.handle(MembershipTicked(), 3)
        view.handle(PeerAnswered('a', '1'), 4)
        assert not view.members_of('records')[0].is_suspect

    def test_absent_and_silent(self) -> None:
        """A VM missing from the list is dropped once it is silent too."""
        view = new_view()
        view.handle(list_received(1, listed('a'), listed('b')), 0)
        view.handle(list_received(2, listed('b')), 40)
        assert offered(view) == ['a', 'b']
        view.handle(PeerSilent('a'), 41)
        view.handle(PeerSilent('a'), 43)
        assert offered(view) == ['b']
        assert departed(view) == ['a']


class TestListChanges:
    """Changes of the VM list that a reader forwards."""

    def test_vm_is_notified_of_its_listed_leave(self) -> None:
        """A VM newly listed as leaving is notified at once."""
        view = new_view()
        view.handle(list_received(1, listed('a'), listed('b')), 0)
        event = list_received(2, listed('a', VmState.LEAVING), listed('b'))
        notice = view.handle(event, 1)[0]
        assert isinstance(notice, SendBulletin)
        assert notice.peer.address == 'a:2'
        assert notice.bulletin.list_news == [
            VmListChange(
                revision=2,
                **listed('a', VmState.LEAVING).as_dict(),
            ),
        ]

    def test_notified_vm_leaves(self) -> None:
        """A VM notified of its listed leave asks to leave, once."""
        view = new_view()
        own = listed('own').as_dict() | {'service': 'balances'}
        view.handle(list_received(1, ListedVm(**own)), 0)
        own['state'] = VmState.LEAVING
        event = VmListChangeReceived(VmListChange(revision=2, **own))
        assert view.handle(event, 1) == [OwnLeaveListed()]
        assert view.handle(event, 1) == []

    def test_late_change_of_an_earlier_incarnation(self) -> None:
        """A change older than the list that was read causes another read."""
        view = new_view()
        own = listed('own').as_dict() | {'service': 'balances'}
        view.handle(list_received(5, ListedVm(**own)), 0)
        own['state'] = VmState.LEAVING
        event = VmListChangeReceived(VmListChange(revision=4, **own))
        assert view.handle(event, 1) == [ReadVmList(is_watch=False)]
        assert view.handle(list_received(4, ListedVm(**own)), 2) == []

    def test_own_leave_listed_at_the_start(self) -> None:
        """A starting node leaves only if the list keeps showing its leave."""
        view = new_view()
        own = listed('own', VmState.LEAVING).as_dict()
        own['service'] = 'balances'
        assert view.handle(list_received(1, ListedVm(**own)), 1) == []
        assert OwnLeaveListed() in view.handle(
            list_received(2, ListedVm(**own)),
            40,
        )


class TestExchange:
    """Which peers receive updates, and how many bytes are sent."""

    def test_peers_of_each_failure_domain(self) -> None:
        """Half of the peers are in the own failure domain.

        The rest includes each of the other failure domains.
        """
        view = new_view()
        vms = [
            listed(f'{domain}-{index}', failure_domain=domain)
            for domain in ('fd1', 'fd2', 'fd3')
            for index in range(9)
        ]
        view.handle(list_received(1, *vms), 0)
        peers = view.peers_for_exchange(6)
        domains = sorted(peer.failure_domain for peer in peers)
        assert domains[:3] == ['fd1', 'fd1', 'fd1']
        assert {'fd2', 'fd3'} <= set(domains)

    def test_budget(self) -> None:
        """The byte budget holds however many updates are queued."""
        view = new_view()
        view.handle(
            list_received(1, *(listed(f'x{index}') for index in range(9))), 0
        )
        sent = 0
        for turn in range(400):
            actions = view.handle(
                peer_announced(f'v{turn}', age_ms=turn), turn / 10
            )
            actions += view.handle(MembershipTicked(), turn / 10)
            sent += sum(
                wire_bytes(action.bulletin) + 250
                for action in actions
                if isinstance(action, SendBulletin)
            )
        assert 30_000 < sent < 8000 + 40 * 1000


class TestStaleList:
    """A list whose revision went back."""

    def test_older_list_takes_nothing_back(self) -> None:
        """An older list neither revives a leaving VM nor drops a new one."""
        view = new_view()
        view.handle(list_received(1, listed('a')), 0)
        view.handle(
            list_received(5, listed('a', VmState.LEAVING), listed('b')), 1
        )
        view.handle(list_received(4, listed('a')), 2)
        assert offered(view) == ['b']


class TestOwnLeave:
    """How this node announces that it leaves."""

    def test_announced_at_once(self) -> None:
        """A leave is announced to peers without waiting for a tick."""
        view = new_view()
        view.handle(list_received(1, listed('a'), listed('b')), 0)
        view.handle(MembershipTicked(), 0.1)
        sent = [
            action
            for action in view.handle(LeaveStarted(), 1)
            if isinstance(action, SendBulletin)
        ]
        assert {action.peer.name for action in sent} == {'a', 'b'}
        leaves = sent[0].bulletin.announcements
        assert [leave.is_leaving for leave in leaves] == [True]
