"""How a version reaches every node, and nothing older ever does."""

from functools import cache
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lovageshunt.rules import (
    DocumentRead,
    KindRule,
    ManifestAsked,
    MessageReceived,
    PartsAsked,
    RulesChanged,
    RulesDocument,
    RulesGossip,
    RulesGossipSettings,
    RulesGossipTicked,
    RulesInForce,
    SendMessage,
    ServiceRules,
    VersionTold,
    decode_message,
    encode_message,
    version_of,
)

SERVICES = ('listas', 'pedidos', 'precios', 'stock')
NAMES = ('a', 'b', 'c', 'd', 'e')
NEEDS = {
    name: frozenset((SERVICES[place % 4], SERVICES[(place + 1) % 4]))
    for place, name in enumerate(NAMES)
}


@cache
def document_of(generation, variant=0):
    """Return a document whose every rule carries its generation."""
    timeout_ms = generation * 100 + variant
    by_service = {
        service: ServiceRules(
            service=service,
            by_kind={
                'read': KindRule(
                    service=service,
                    kind='read',
                    method='GET',
                    path='/',
                    importance=3,
                    is_repeatable=True,
                    timeout_ms=timeout_ms,
                    retry_bound=2,
                ),
            },
        )
        for service in SERVICES
    }
    return RulesDocument(
        deployment='test',
        generation=generation,
        by_service=by_service,
    )


def read_of(generation, *, variant=0, revision=1):
    """Return the event that the platform gave such a document."""
    document = document_of(generation, variant)
    return DocumentRead(
        version=version_of(document, revision),
        document=document,
    )


class Fleet:
    """Nodes whose messages wait in a list until someone delivers them."""

    def __init__(self, names=NAMES):
        """Start every node."""
        self.now = 0
        self.waiting = []
        self.by_name = {}
        self.cut = set()
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a node with an empty memory."""
        self.by_name[name] = RulesGossip(
            Random(name),
            RulesGossipSettings(name=name, bytes_per_second=1e6),
            RulesInForce(NEEDS[name]),
        )

    def take(self, name, event):
        """Let a node take an event; messages cross the wire form."""
        for action in self.by_name[name].handle(event, self.now):
            if isinstance(action, SendMessage):
                raw = encode_message(action.message)
                message = decode_message(raw).ok
                received = MessageReceived(peer=name, message=message)
                self.waiting.append((action.peer, received))

    def tick(self, name):
        """Turn one node's timer."""
        members = {
            service: [peer for peer in self.by_name if service in NEEDS[peer]]
            for service in NEEDS[name]
        }
        peers = list(self.by_name)
        self.take(
            name, RulesGossipTicked(peers=peers, peers_by_service=members)
        )

    def deliver(self, place):
        """Deliver one of the waiting messages, unless the line is cut."""
        name, received = self.waiting.pop(place)
        if (name in self.cut) == (received.peer in self.cut):
            self.take(name, received)

    def settle(self, rounds=12):
        """Let all that waits arrive, for some turns of every timer."""
        for _ in range(rounds):
            self.now += 1
            for name in self.by_name:
                self.tick(name)
            for _ in range(10_000):
                if not self.waiting:
                    break
                self.deliver(0)

    def versions(self):
        """Return the version in force at each node."""
        return [node.rules.version for node in self.by_name.values()]


class TestSpread:
    """Nodes without faults."""

    def test_one_reader_reaches_all(self):
        """A document read by one node is soon in force at all."""
        fleet = Fleet()
        fleet.settle(3)
        fleet.take('a', read_of(1))
        fleet.settle(3)

        assert set(fleet.versions()) == {read_of(1).version}

    def test_exchange_finds_those_whom_the_rumour_missed(self):
        """A version whose every rumour was lost still reaches all."""
        fleet = Fleet()
        fleet.settle(3)
        fleet.take('a', read_of(1))
        fleet.waiting.clear()
        fleet.settle(6)

        assert set(fleet.versions()) == {read_of(1).version}

    def test_only_needed_parts_are_fetched(self):
        """A node that did not read the document holds only what it needs."""
        fleet = Fleet()
        fleet.settle(3)
        fleet.take('a', read_of(1))
        fleet.settle(3)

        current = fleet.by_name['c'].rules.current
        assert current.by_service.keys() == NEEDS['c']

    def test_two_operators_have_one_winner(self):
        """Of two documents of one generation, one wins at every node."""
        fleet = Fleet()
        fleet.settle(3)
        fleet.take('a', read_of(1, variant=1))
        fleet.take('e', read_of(1, variant=2))
        fleet.settle(4)

        assert len(set(fleet.versions())) == 1
        logs = [node.rules.conflicts for node in fleet.by_name.values()]
        assert any(logs)

    def test_change_is_announced(self):
        """The daemon is told when another version is in force."""
        fleet = Fleet(('a',))
        fleet.settle(3)
        actions = fleet.by_name['a'].handle(read_of(1), fleet.now)

        assert RulesChanged(version=read_of(1).version) in actions


class TestSettling:
    """A node that just started."""

    def test_stale_platform_copy_waits_for_peers(self):
        """A restarted node that reaches a peer never serves older rules."""
        fleet = Fleet()
        fleet.settle(3)
        fleet.take('a', read_of(2))
        fleet.settle(3)
        fleet.start('a')
        fleet.take('a', read_of(1))
        assert fleet.by_name['a'].rules.version is None
        fleet.settle(2)

        assert fleet.by_name['a'].rules.version == read_of(2).version

    def test_without_peers_the_platform_is_taken(self):
        """A node that reaches nobody takes the platform's copy in the end."""
        fleet = Fleet(('a',))
        fleet.take('a', read_of(1))
        fleet.settle(4)

        assert fleet.by_name['a'].rules.version == read_of(1).version


class TestBudget:
    """The bytes that a node sends."""

    def test_bursts_are_bounded(self):
        """Messages over the budget wait until it is earned."""
        node = RulesGossip(
            Random(1),
            RulesGossipSettings(
                name='a', bytes_per_second=100, burst_bytes=300
            ),
            RulesInForce(),
        )
        node.handle(read_of(1), 0)
        node.handle(RulesGossipTicked(peers=()), 0)
        node.handle(RulesGossipTicked(peers=()), 2)
        for peer in range(50):
            asked = MessageReceived(peer=str(peer), message=ManifestAsked())
            node.handle(asked, 2)
        early = node.sent_bytes
        node.handle(RulesGossipTicked(peers=()), 20)

        assert early < 300 + 600
        assert early < node.sent_bytes < early + 1800 + 600

    def test_quick_timer_asks_no_more(self):
        """A timer that turns often does not make a node ask more often."""
        fleet = Fleet()
        for tick in range(20):
            fleet.now = tick / 10
            fleet.tick('a')
        asked = [
            received
            for _, received in fleet.waiting
            if isinstance(received.message, ManifestAsked)
        ]

        assert len(asked) == 4 * 3


class TestMessages:
    """The wire form."""

    @pytest.mark.parametrize(
        'raw',
        [
            b'',
            b'[]',
            b'{}',
            b'{"type": "x"}',
            b'{"type": ["x"]}',
            b'{"type": "VersionTold"}',
            b'{"type": "VersionTold", "version": 1}',
            b'{"type": "PartsAsked", "version": null, "services": []}',
            b'{"type": "PartsTold", "version": {"generation": -1}}',
        ],
    )
    def test_noise_is_a_typed_error(self, raw):
        """What is no message gives the typed error."""
        assert decode_message(raw).is_error()

    def test_round_trip(self):
        """A message survives the wire unchanged."""
        asked = PartsAsked(version=read_of(1).version, services=['stock'])

        assert decode_message(encode_message(asked)).ok == asked
        none = VersionTold(version=None)
        assert decode_message(encode_message(none)).ok == none


def has_waiting(machine):
    """Say whether any message is on its way."""
    return bool(machine.fleet.waiting)


def event_of(version):
    """Return the platform's copy of a version."""
    variant = next(
        variant
        for variant in (0, 1)
        if document_of(version.generation, variant).digest == version.digest
    )
    return read_of(
        version.generation,
        variant=variant,
        revision=version.revision,
    )


class SpreadMachine(RuleBasedStateMachine):
    """Nodes with lost, late and reordered messages, restarts and cuts.

    Every rule's timeout tells its generation and variant, so a mixture of
    two versions in force would show.
    """

    def __init__(self):
        """Start the fleet."""
        super().__init__()
        self.fleet = Fleet()
        self.last = {}

    @initialize()
    def warm_up(self):
        """Let every node hear its peers."""
        self.fleet.settle(3)

    @rule(
        name=st.sampled_from(NAMES),
        generation=st.integers(1, 4),
        variant=st.integers(0, 1),
        revision=st.integers(1, 3),
    )
    def read_platform(self, name, generation, variant, revision):
        """A node reads any copy: new, stale, restarted or raced."""
        event = read_of(generation, variant=variant, revision=revision)
        self.fleet.take(name, event)

    @rule(name=st.sampled_from(NAMES), seconds=st.floats(0, 5))
    def tick(self, name, seconds):
        """Time passes and one timer turns."""
        self.fleet.now += seconds
        self.fleet.tick(name)

    @precondition(has_waiting)
    @rule(place=st.integers(0, 999), is_lost=st.booleans())
    def deliver_any(self, place, is_lost):
        """Any waiting message arrives or is lost."""
        place %= len(self.fleet.waiting)
        if is_lost:
            self.fleet.waiting.pop(place)
            return
        self.fleet.deliver(place)

    @precondition(has_waiting)
    @rule(place=st.integers(0, 999))
    def duplicate(self, place):
        """A message arrives twice."""
        place %= len(self.fleet.waiting)
        self.fleet.waiting.append(self.fleet.waiting[place])

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=3))
    def cut(self, names):
        """The network splits, otherwise than before, or heals."""
        self.fleet.cut = names

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """A node is replaced and remembers nothing."""
        self.fleet.start(name)
        self.last.pop(name, None)

    @invariant()
    def never_back(self):
        """In the life of a process its version only grows."""
        for name, node in self.fleet.by_name.items():
            version = node.rules.version
            before = self.last.get(name)
            assert before is None or version >= before
            if version is not None:
                self.last[name] = version

    @invariant()
    def never_a_mixture(self):
        """All needed rules in force are of the one version in force."""
        for name, node in self.fleet.by_name.items():
            current = node.rules.current
            if current is None:
                continue
            assert current.by_service.keys() >= NEEDS[name]
            expected = event_of(node.rules.version).document.by_service
            for service, rules in current.by_service.items():
                assert rules == expected[service]

    def teardown(self):
        """Once all lines work, every node has the one winner."""
        self.fleet.cut = set()
        self.fleet.settle(4)
        known = [node.rules.heard for node in self.fleet.by_name.values()]
        winner = max(
            (manifest.version for manifest in known if manifest),
            default=None,
        )
        if winner is not None:
            # Its only holder may be gone; the platform still has it.
            self.fleet.take('a', event_of(winner))
            self.fleet.settle(8)
        assert set(self.fleet.versions()) == {winner}


TestSpreadMachine = SpreadMachine.TestCase
TestSpreadMachine.settings = settings(
    max_examples=150,
    stateful_step_count=50,
)
