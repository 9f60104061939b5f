"""Selection of peers to request parts from, and the request interval."""

from random import Random

from lovageshunt.rules import RulesGossipTicked
from lovageshunt.rules._request_interval import RequestInterval
from lovageshunt.rules._sources import PartSources

MEMBERS = ['a', 'b', 'c', 'd']
TICKED = RulesGossipTicked(
    peers=(),
    peers_by_service={'stock': MEMBERS},
    readers=['r', 's'],
)


def requested_from(name, rounds):
    """Return the peers that a node selects for one part in each round."""
    sources = PartSources(Random(1), name)
    sources.reset('r')
    return [set(sources.select(['stock'], TICKED)) for _ in range(rounds)]


class TestSources:
    """Selection of peers that are likely to hold a part."""

    def test_member_asks_readers_first(self):
        """A member asks readers, as no other member has the part yet."""
        assert requested_from('a', 1) == [{'r', 's'}]

    def test_caller_asks_members_first(self):
        """A node that only calls the service asks readers last."""
        first, second, third = requested_from('x', 3)

        assert first | second == set(MEMBERS)
        assert third == {'r', 's'}

    def test_never_asks_itself(self):
        """A node never selects itself."""
        assert all('a' not in requested for requested in requested_from('a', 9))

    def test_reader_alone(self):
        """Without members or listed readers the announced reader is asked."""
        sources = PartSources(Random(1), 'x')
        sources.reset('r')

        chosen = sources.select(['stock'], RulesGossipTicked(peers=()))

        assert chosen == {'r': ['stock']}


class TestRequestInterval:
    """The interval between requests."""

    def test_slows_down_without_progress(self):
        """The interval grows after eight requests without progress."""
        interval = RequestInterval(1)

        *fast, slow = [interval.next_seconds(('stock',)) for _ in range(9)]

        assert set(fast) == {1}
        assert slow == 4

    def test_progress_restores_the_interval(self):
        """The interval is short again after a part has arrived."""
        interval = RequestInterval(1)
        for _ in range(20):
            interval.next_seconds(('precios', 'stock'))

        assert interval.next_seconds(('stock',)) == 1
