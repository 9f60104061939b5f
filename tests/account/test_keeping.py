"""Keeping each other's accounts."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lovageshunt.account import (
    Account,
    AccountClosed,
    AccountPeer,
    AccountReplicator,
    MergedAccount,
    ReplicationTick,
    Role,
    SnapshotReceived,
    SnapshotStore,
    decode_snapshot,
    encode_snapshot,
    replica_peers,
)
from lovageshunt.calls import Outcome
from tests.only import only

CALL = ('balances', 'lookup', 1)
DOMAINS = 3
NODES = 6


def peer_of(number, incarnation='a'):
    """Return a peer; neighbours are in different failure domains."""
    return AccountPeer(
        node=f'n{number}',
        incarnation=incarnation,
        failure_domain=f'd{number % DOMAINS}',
    )


class Fleet:
    """Nodes on one clock that keep each other's accounts."""

    def __init__(self):
        self.now = 0
        self.births = 0
        self.is_cut = False
        self.peer_by_node = {}
        self.account_by_node = {}
        self.keeping_by_node = {}
        self.bytes_by_node = {}

    def start(self, number):
        """Start a node, or its replacement."""
        self.births += 1
        peer = peer_of(number, f'life {self.births}')
        account = Account(peer.node, peer.incarnation, self.now)
        self.peer_by_node[peer.node] = peer
        self.account_by_node[peer.node] = account
        self.keeping_by_node[peer.node] = AccountReplicator(account, peer)

    def lose(self, node):
        """Take a node away without a word."""
        self.peer_by_node.pop(node)
        self.keeping_by_node.pop(node)
        return self.account_by_node.pop(node)

    def leave(self, node):
        """Let a node leave and hand over."""
        keeping = self.keeping_by_node[node]
        peers = self.others(node)
        self.lose(node)
        closed = AccountClosed(
            now=self.now,
            wall_time=self.now,
            peers=peers,
        )
        self.deliver(node, keeping.handle(closed))

    def others(self, node):
        """Return the peers of a node."""
        peers = self.peer_by_node.values()
        return [peer for peer in peers if peer.node != node]

    def run(self, seconds):
        """Let time pass, a tick each second."""
        for _ in range(seconds):
            self.now += 1
            for node, keeping in list(self.keeping_by_node.items()):
                tick = ReplicationTick(
                    now=self.now,
                    wall_time=self.now,
                    peers=self.others(node),
                )
                self.deliver(node, keeping.handle(tick))

    def deliver(self, sender, actions):
        """Carry what a node sends, unless messages are lost."""
        for action in () if self.is_cut else actions:
            sent = self.bytes_by_node.get(sender, 0) + len(action.raw)
            self.bytes_by_node[sender] = sent
            self.keeping_by_node[action.to_node].handle(
                SnapshotReceived(
                    now=self.now,
                    snapshot=decode_snapshot(action.raw),
                ),
            )

    def collect(self):
        """Return what the account command would merge."""
        merged = MergedAccount()
        for node, keeping in self.keeping_by_node.items():
            merged.add(self.account_by_node[node].snapshot(self.now))
            merged.merge(MergedAccount(keeping.kept.snapshots(Role.NODE)))
        return merged

    def live(self):
        """Return the incarnations that are here."""
        peers = self.peer_by_node.values()
        return [(peer.node, peer.incarnation) for peer in peers]


def fleet_of(count):
    """Return a fleet that has run for a minute."""
    fleet = Fleet()
    for number in range(count):
        fleet.start(number)
    fleet.run(60)
    return fleet


class KeepingMachine(RuleBasedStateMachine):
    """Nodes that count, are lost, leave and are replaced, one at a time."""

    @initialize()
    def begin(self):
        """Start the fleet."""
        self.fleet = fleet_of(NODES)
        self.answered = 0
        self.lost = 0

    @rule(number=st.integers(0, NODES - 1), count=st.integers(1, 9))
    def answer(self, number, count):
        """A node answers calls."""
        account = self.fleet.account_by_node[f'n{number}']
        for _ in range(count):
            account.arrived(*CALL)
            account.ended(*CALL, Outcome.ANSWERED, ran=True)
        self.answered += count

    @rule(number=st.integers(0, NODES - 1))
    def leave(self, number):
        """A node leaves and its replacement starts."""
        self.fleet.leave(f'n{number}')
        self.fleet.start(number)
        self.fleet.run(60)

    @rule(number=st.integers(0, NODES - 1))
    def kill(self, number):
        """A node is lost and replaced; later the others hand on."""
        self.fleet.lose(f'n{number}')
        self.fleet.start(number)
        self.lost += 1
        self.fleet.run(200)

    @invariant()
    def losses_are_named_holes(self):
        """Each lost incarnation is a hole, and no other is."""
        fleet = self.fleet
        merged = fleet.collect()

        gaps = merged.gaps(fleet.now, fleet.live())

        assert len(gaps) == self.lost
        counted = sum(line.answered for line in merged.lines())
        assert counted == self.answered or gaps


TestKeepingMachine = KeepingMachine.TestCase
TestKeepingMachine.settings = settings(
    max_examples=20,
    stateful_step_count=12,
)


class TestAccountKeeping:
    """A fleet under failures."""

    def test_kill_loses_at_most_an_interval(self):
        """The hole begins at most 31 s before the kill."""
        fleet = fleet_of(4)
        fleet.run(14)

        fleet.lose('n0')

        hole = only(fleet.collect().gaps(fleet.now, fleet.live()))
        assert fleet.now - hole.from_at <= 31

    def test_final_snapshot_outlives_all_its_keepers(self):
        """A leaver's counts survive when every other node is replaced."""
        fleet = fleet_of(5)
        account = fleet.account_by_node['n0']
        account.arrived(*CALL)
        account.ended(*CALL, Outcome.ANSWERED, ran=True)

        for number in range(5):
            fleet.leave(f'n{number}')
            fleet.start(number)
            fleet.run(10)

        merged = fleet.collect()
        assert only(merged.lines()).answered == 1
        assert not merged.gaps(fleet.now, fleet.live())

    def test_hole_outlives_all_its_keepers(self):
        """A lost node is known when every other node is lost, one by one."""
        fleet = fleet_of(5)

        for number in range(5):
            fleet.lose(f'n{number}')
            fleet.start(number)
            fleet.run(200)

        gaps = fleet.collect().gaps(fleet.now, fleet.live())
        assert [hole.node for hole in gaps] == ['n0', 'n1', 'n2', 'n3', 'n4']

    def test_lost_handing_on_is_repeated(self):
        """An account handed on in vain is handed on again half an hour on."""
        fleet = fleet_of(5)
        fleet.lose('n0')
        keeper = replica_peers('n0', list(fleet.peer_by_node.values()))[0].node
        fleet.lose(keeper)
        fleet.start(int(keeper.removeprefix('n')))
        fleet.is_cut = True
        fleet.run(200)
        fleet.is_cut = False
        fleet.run(1860)

        kept = fleet.keeping_by_node[keeper].kept.snapshots(Role.NODE)

        assert 'n0' in [snapshot.node for snapshot in kept]

    def test_new_keeper_is_told_at_once(self):
        """A node that knew one peer at its start is kept by later ones, too."""
        fleet = fleet_of(2)
        fleet.run(5)
        fleet.start(2)
        fleet.run(5)

        fleet.lose('n1')
        fleet.lose('n0')

        gaps = fleet.collect().gaps(fleet.now, fleet.live())
        assert [hole.node for hole in gaps] == ['n0', 'n1']

    def test_bytes_stay_within_the_rate(self):
        """Over any time a node sends its rate and one message at most."""
        fleet = fleet_of(3)
        for seed in range(250):
            kind = Random(seed).randbytes(32).hex()
            fleet.account_by_node['n0'].arrived('records', kind, 1)
        account = fleet.account_by_node['n0']
        longest = len(encode_snapshot(account.snapshot(fleet.now)))
        fleet.bytes_by_node.clear()

        fleet.run(600)

        assert fleet.bytes_by_node['n0'] <= 200 * 600 + longest


class TestKeepersOf:
    """The choice of keepers."""

    @given(count=st.integers(3, 12), gone=st.integers(1, 11))
    def test_other_choices_stay(self, count, gone):
        """A peer that goes changes only the choices it was part of."""
        peers = [peer_of(number) for number in range(count)]
        before = replica_peers('x', peers)
        left = [peer for peer in peers if peer.node != f'n{gone}']

        after = replica_peers('x', left)

        kept = [peer for peer in before if peer.node != f'n{gone}']
        assert all(peer in after for peer in kept[:1])
        assert len(kept) == 1 or after == before

    @given(count=st.integers(2, 12))
    def test_keepers_are_in_two_failure_domains(self, count):
        """The loss of one failure domain leaves a keeper."""
        peers = [peer_of(number) for number in range(count)]

        keepers = replica_peers('x', peers)

        assert len({keeper.failure_domain for keeper in keepers}) == 2


class TestKeptSnapshots:
    """The bound."""

    def test_oldest_makes_room_and_is_counted(self):
        """More than 64 accounts are never kept, and the loss is known."""
        kept = SnapshotStore()
        for number in range(70):
            account = Account(f'n{number}', 'a', 0)
            kept.keep(account.snapshot(1), number)

        assert len(kept.snapshots(Role.NODE)) == 64
        assert kept.forgotten == 6
        assert (Role.NODE, 'n5', 'a') not in kept

    def test_old_ones_are_dropped(self):
        """After a day and a little an account is dropped."""
        kept = SnapshotStore()
        kept.keep(Account('n1', 'a', 0).snapshot(1), 0)

        kept.drop_old(27 * 3600)

        assert not kept.snapshots(Role.NODE)
