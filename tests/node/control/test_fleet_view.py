"""What the run-once table is told of the other nodes of its service."""

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
from lovageshunt.node.control._outbox import Outbox
from lovageshunt.node.control._peer_link import PeerLink


def make_fleet_view():
    """Return the view of n1, which has read that n2 is listed."""
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
        outbox=Outbox(identity, PeerLink(None, '')),
        rng=rng,
    )
    listed = ListedVm(
        name='n2',
        service='payments',
        failure_domain='b',
        region='one',
        address='127.0.0.1:3',
    )
    fleet.tell(VmListReceived(VmList(revision=1, vms=[listed])))
    return fleet


def announce(fleet, incarnation):
    """Let the word of n2 about itself arrive."""
    word = Announcement(
        name='n2',
        service='payments',
        failure_domain='b',
        region='one',
        address='127.0.0.1:3',
        incarnation=incarnation,
    )
    fleet.tell(BulletinReceived(Bulletin(announcements=[word], list_news=[])))


class TestPeers:
    """Peers and their incarnations."""

    def test_nothing_is_known_before_the_list(self):
        """Without a list there is no picture, rather than an empty one."""
        fleet = make_fleet_view()

        assert fleet.peers.peers is not None

    def test_incarnation_is_known_as_soon_as_it_is_heard(self):
        """It does not take another reading of the list."""
        fleet = make_fleet_view()
        announce(fleet, '2')

        assert fleet.peers.peers == (HomeNode(node='n2', incarnation='2'),)

    def test_replaced_incarnation_is_remembered_as_gone(self):
        """The next resend must be asked about it, though its name is here."""
        fleet = make_fleet_view()
        announce(fleet, '2')
        announce(fleet, '3')
        gone = fleet.peers.gone(now())

        assert [one.home.incarnation for one in gone] == ['2']
        assert gone[0].is_proved_dead
