"""The one platform read of a node without rules."""

from random import Random

from lovageshunt.rules import (
    MessageReceived,
    ReadDocument,
    RulesGossip,
    RulesGossipSettings,
    RulesGossipTicked,
    RulesInForce,
    VersionTold,
    manifest_of,
)
from lovageshunt.rules._messages import ManifestTold
from tests.rules.test_spread import SERVICES, document_of, read_of

SECONDS = 3
READ = read_of(2)
MANIFEST = manifest_of(READ.document, READ.version)
MANIFEST_RECEIVED = MessageReceived(
    peer='b',
    message=ManifestTold(
        version=MANIFEST.version,
        deployment=MANIFEST.deployment,
        reader='b',
        base_digest='',
        changed=MANIFEST.digest_by_service,
        removed=[],
    ),
)


def read_times(node, seconds=60):
    """Tick ten times a second; return when the node read the document."""
    read_at = []
    for tick in range(seconds * 10):
        now = tick / 10
        actions = node.handle(RulesGossipTicked(peers=('b', 'c')), now)
        read_at += [
            now for action in actions if isinstance(action, ReadDocument)
        ]
    return read_at


def make_node(seed=1):
    """Return a node without rules."""
    return RulesGossip(
        Random(seed),
        RulesGossipSettings(name='a', first_read_seconds=SECONDS),
        RulesInForce(frozenset(SERVICES)),
    )


class TestFirstRead:
    """When a node reads the document by itself."""

    def test_once_in_time(self):
        """A node without rules reads once, within the maximum delay."""
        node = make_node()
        node.handle(MANIFEST_RECEIVED, 0)
        read_at = read_times(node)

        assert len(read_at) == 1
        assert read_at[0] <= SECONDS + 0.1

    def test_nodes_are_spread(self):
        """Nodes that learn of a version together read at different times."""
        times = set()
        for seed in range(20):
            node = make_node(seed)
            node.handle(MANIFEST_RECEIVED, 0)
            times.update(read_times(node, SECONDS + 1))

        assert len(times) > 10

    def test_no_known_version(self):
        """A node does not read while no peer knows of any version."""
        node = make_node()
        node.handle(
            MessageReceived(peer='b', message=VersionTold(version=None)), 0
        )

        assert not read_times(node)

    def test_rules_in_force(self):
        """A node with rules gets a newer version from its peers only."""
        node = make_node()
        document = document_of(1)
        first = read_of(1)
        node.rules.offer_parts(
            manifest_of(document, first.version),
            document.by_service,
            0,
        )
        node.handle(MANIFEST_RECEIVED, 0)

        assert not read_times(node)
