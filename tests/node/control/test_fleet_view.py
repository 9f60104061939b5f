"""The service peers that the fleet view reports to the run-once table."""

from random import Random

from lovageshunt.calls import HomeNode
from lovageshunt.clock import now
from lovageshunt.membership import (
    Announcement,
    Bulletin,
    BulletinReceived,
    ListedVm,
    ReaderElection,
    VmList,
    VmListReceived,
)
from lovageshunt.node.control._fleet_view import FleetView
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.node.control._peer_link import PeerLink


def make_fleet_view():
    """Return the view of n1 after it has read a list with n2."""
    identity = Identity(
        name='n1',
        service='payments',
        failure_domain='a',
        region='one',
        ingress='127.0.0.1:1',
        admin='127.0.0.1:2',
        incarnation='1',
    )
    rng = Random(1)
    fleet = FleetView(
        identity=identity,
        called_services=(),
        election=ReaderElection('n1', 'a', rng, now=now()),
        outbox=PeerOutbox(identity, PeerLink(None, '')),
        rng=rng,
    )
    listed = ListedVm(
        name='n2',
        service='payments',
        failure_domain='b',
        region='one',
        address='127.0.0.1:3',
    )
    fleet.handle_event(VmListReceived(VmList(revision=1, vms=[listed])))
    return fleet


def announce(fleet, incarnation):
    """Deliver an announcement of n2 about itself."""
    announcement = Announcement(
        name='n2',
        service='payments',
        failure_domain='b',
        region='one',
        address='127.0.0.1:3',
        incarnation=incarnation,
    )
    fleet.handle_event(
        BulletinReceived(Bulletin(announcements=[announcement], list_news=[]))
    )


class TestPeers:
    """Present and departed peers, by incarnation."""

    def test_peers_are_known_once_the_list_is_read(self):
        """Peers are known, not ``None``, once the list was read."""
        fleet = make_fleet_view()

        assert fleet.peers.peers is not None

    def test_incarnation_is_known_as_soon_as_announced(self):
        """It is updated from an announcement, without a new list."""
        fleet = make_fleet_view()
        announce(fleet, '2')

        assert fleet.peers.peers == (HomeNode(node='n2', incarnation='2'),)

    def test_replaced_incarnation_is_remembered_as_gone(self):
        """A resend must be checked against it, although n2 is present."""
        fleet = make_fleet_view()
        announce(fleet, '2')
        announce(fleet, '3')
        gone = fleet.peers.gone(now())

        assert [one.home.incarnation for one in gone] == ['2']
        assert gone[0].is_proved_dead
