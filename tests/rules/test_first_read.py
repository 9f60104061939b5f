"""The one reading of a node without any rules."""

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
TOLD = MessageReceived(
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


def readings(node, seconds=60):
    """Let time pass; return when the node asked for the document."""
    asked = []
    for tenth in range(seconds * 10):
        now = tenth / 10
        actions = node.handle(RulesGossipTicked(peers=('b', 'c')), now)
        asked += [now for action in actions if isinstance(action, ReadDocument)]
    return asked


def make_node(seed=1):
    """Return a node that has no rules."""
    return RulesGossip(
        Random(seed),
        RulesGossipSettings(name='a', read_seconds=SECONDS),
        RulesInForce(frozenset(SERVICES)),
    )


class TestFirstRead:
    """A node that has no rules."""

    def test_once_in_time(self):
        """It reads once, soon after it heard that there are rules."""
        node = make_node()
        node.handle(TOLD, 0)
        asked = readings(node)

        assert len(asked) == 1
        assert asked[0] <= SECONDS + 0.1

    def test_nodes_are_spread(self):
        """Nodes that hear at once do not read at once."""
        moments = set()
        for seed in range(20):
            node = make_node(seed)
            node.handle(TOLD, 0)
            moments.update(readings(node, SECONDS + 1))

        assert len(moments) > 10

    def test_nothing_heard(self):
        """It reads nothing while nobody speaks of rules."""
        node = make_node()
        node.handle(
            MessageReceived(peer='b', message=VersionTold(version=None)), 0
        )

        assert not readings(node)

    def test_rules_in_force(self):
        """One that has rules leaves a newer version to its peers."""
        node = make_node()
        document = document_of(1)
        first = read_of(1)
        node.rules.offer_parts(
            manifest_of(document, first.version),
            document.by_service,
            0,
        )
        node.handle(TOLD, 0)

        assert not readings(node)
