"""Tests of replicating accounts between nodes."""

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
    """Simulated nodes, with one clock, that replicate their accounts."""

    def __init__(self):
        self.now = 0
        self.start_count = 0
        self.drops_messages = False
        self.peer_by_node = {}
        self.account_by_node = {}
        self.replicator_by_node = {}
        self.bytes_by_node = {}

    def start(self, number):
        """Start a node, or its replacement."""
        self.start_count += 1
        peer = peer_of(number, f'life {self.start_count}')
        account = Account(peer.node, peer.incarnation, self.now)
        self.peer_by_node[peer.node] = peer
        self.account_by_node[peer.node] = account
        self.replicator_by_node[peer.node] = AccountReplicator(account, peer)

    def lose(self, node):
        """Remove a node as if its VM had crashed; return its account."""
        self.peer_by_node.pop(node)
        self.replicator_by_node.pop(node)
        return self.account_by_node.pop(node)

    def leave(self, node):
        """Let a node leave gracefully and deliver its last messages."""
        replicator = self.replicator_by_node[node]
        peers = self.others(node)
        self.lose(node)
        closed = AccountClosed(
            now=self.now,
            wall_time=self.now,
            peers=peers,
        )
        self.deliver(node, replicator.handle(closed))

    def others(self, node):
        """Return the peers of a node."""
        peers = self.peer_by_node.values()
        return [peer for peer in peers if peer.node != node]

    def run(self, seconds):
        """Advance the clock, with a tick each second."""
        for _ in range(seconds):
            self.now += 1
            for node, replicator in list(self.replicator_by_node.items()):
                tick = ReplicationTick(
                    now=self.now,
                    wall_time=self.now,
                    peers=self.others(node),
                )
                self.deliver(node, replicator.handle(tick))

    def deliver(self, sender, actions):
        """Deliver the messages of a node, unless they are to be dropped."""
        for action in () if self.drops_messages else actions:
            sent = self.bytes_by_node.get(sender, 0) + len(action.raw)
            self.bytes_by_node[sender] = sent
            self.replicator_by_node[action.to_node].handle(
                SnapshotReceived(
                    now=self.now,
                    snapshot=decode_snapshot(action.raw),
                ),
            )

    def collect(self):
        """Return the merged accounts, as the account command collects them."""
        merged = MergedAccount()
        for node, replicator in self.replicator_by_node.items():
            merged.add(self.account_by_node[node].snapshot(self.now))
            merged.merge(MergedAccount(replicator.kept.snapshots(Role.NODE)))
        return merged

    def live(self):
        """Return the live incarnations."""
        peers = self.peer_by_node.values()
        return [(peer.node, peer.incarnation) for peer in peers]


def fleet_of(count):
    """Return a fleet that has run for 60 s."""
    fleet = Fleet()
    for number in range(count):
        fleet.start(number)
    fleet.run(60)
    return fleet


class ReplicationMachine(RuleBasedStateMachine):
    """Nodes count calls, crash, leave and are replaced, one at a time."""

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
        """A node crashes and is replaced; then peers forward its account."""
        self.fleet.lose(f'n{number}')
        self.fleet.start(number)
        self.lost += 1
        self.fleet.run(200)

    @invariant()
    def lost_incarnations_are_gaps(self):
        """Exactly the crashed incarnations are reported as gaps."""
        fleet = self.fleet
        merged = fleet.collect()

        gaps = merged.gaps(fleet.now, fleet.live())

        assert len(gaps) == self.lost
        counted = sum(line.answered for line in merged.lines())
        assert counted == self.answered or gaps


TestReplicationMachine = ReplicationMachine.TestCase
TestReplicationMachine.settings = settings(
    max_examples=20,
    stateful_step_count=12,
)


class TestAccountReplicator:
    """Replication under failures."""

    def test_kill_loses_at_most_an_interval(self):
        """The gap begins at most 31 s before the crash."""
        fleet = fleet_of(4)
        fleet.run(14)

        fleet.lose('n0')

        gap = only(fleet.collect().gaps(fleet.now, fleet.live()))
        assert fleet.now - gap.from_at <= 31

    def test_final_snapshot_outlives_all_its_replicas(self):
        """A leaver's counts survive the replacement of every other node."""
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

    def test_gap_outlives_all_its_replicas(self):
        """A lost node stays known if all others are lost one by one."""
        fleet = fleet_of(5)

        for number in range(5):
            fleet.lose(f'n{number}')
            fleet.start(number)
            fleet.run(200)

        gaps = fleet.collect().gaps(fleet.now, fleet.live())
        assert [gap.node for gap in gaps] == ['n0', 'n1', 'n2', 'n3', 'n4']

    def test_lost_forwarding_is_repeated(self):
        """An account whose forwarding was lost is forwarded after 1800 s."""
        fleet = fleet_of(5)
        fleet.lose('n0')
        replica = replica_peers('n0', list(fleet.peer_by_node.values()))[0].node
        fleet.lose(replica)
        fleet.start(int(replica.removeprefix('n')))
        fleet.drops_messages = True
        fleet.run(200)
        fleet.drops_messages = False
        fleet.run(1860)

        kept = fleet.replicator_by_node[replica].kept.snapshots(Role.NODE)

        assert 'n0' in [snapshot.node for snapshot in kept]

    def test_new_replica_is_sent_a_snapshot_at_once(self):
        """A peer that joins later receives a snapshot without delay."""
        fleet = fleet_of(2)
        fleet.run(5)
        fleet.start(2)
        fleet.run(5)

        fleet.lose('n1')
        fleet.lose('n0')

        gaps = fleet.collect().gaps(fleet.now, fleet.live())
        assert [gap.node for gap in gaps] == ['n0', 'n1']

    def test_bytes_stay_within_the_rate(self):
        """A node sends at most its rate limit plus one message."""
        fleet = fleet_of(3)
        for seed in range(250):
            kind = Random(seed).randbytes(32).hex()
            fleet.account_by_node['n0'].arrived('records', kind, 1)
        account = fleet.account_by_node['n0']
        longest = len(encode_snapshot(account.snapshot(fleet.now)))
        fleet.bytes_by_node.clear()

        fleet.run(600)

        assert fleet.bytes_by_node['n0'] <= 200 * 600 + longest


class TestReplicaPeers:
    """Selection of replicas."""

    @given(count=st.integers(3, 12), removed=st.integers(1, 11))
    def test_other_selections_stay(self, count, removed):
        """Removing a peer changes only the selections that include it."""
        peers = [peer_of(number) for number in range(count)]
        before = replica_peers('x', peers)
        remaining = [peer for peer in peers if peer.node != f'n{removed}']

        after = replica_peers('x', remaining)

        kept = [peer for peer in before if peer.node != f'n{removed}']
        assert all(peer in after for peer in kept[:1])
        assert len(kept) == 1 or after == before

    @given(count=st.integers(2, 12))
    def test_replicas_are_in_two_failure_domains(self, count):
        """A replica survives the loss of one failure domain."""
        peers = [peer_of(number) for number in range(count)]

        replicas = replica_peers('x', peers)

        assert len({replica.failure_domain for replica in replicas}) == 2


class TestSnapshotStore:
    """Limits on entries and age."""

    def test_oldest_is_evicted_and_counted(self):
        """At most 64 accounts are stored; evictions are counted."""
        kept = SnapshotStore()
        for number in range(70):
            account = Account(f'n{number}', 'a', 0)
            kept.add(account.snapshot(1), number)

        assert len(kept.snapshots(Role.NODE)) == 64
        assert kept.dropped == 6
        assert (Role.NODE, 'n5', 'a') not in kept

    def test_expired_accounts_are_dropped(self):
        """An account not updated for 26 h is dropped."""
        kept = SnapshotStore()
        kept.add(Account('n1', 'a', 0).snapshot(1), 0)

        kept.drop_expired(27 * 3600)

        assert not kept.snapshots(Role.NODE)
