"""Whom a node asks for parts, and how often."""

from random import Random

from lovageshunt.rules import RulesGossipTicked
from lovageshunt.rules._request_interval import Pace
from lovageshunt.rules._sources import Sources

MEMBERS = ['a', 'b', 'c', 'd']
TICKED = RulesGossipTicked(
    peers=(),
    peers_by_service={'stock': MEMBERS},
    readers=['r', 's'],
)


def asked_by(name, rounds):
    """Return whom a node asks for one part, round by round."""
    sources = Sources(Random(1), name)
    sources.start('r')
    return [set(sources.choose(['stock'], TICKED)) for _ in range(rounds)]


class TestSources:
    """Likely holders."""

    def test_member_asks_readers_first(self):
        """A member of the service asks readers, as no member has it yet."""
        assert asked_by('a', 1) == [{'r', 's'}]

    def test_caller_asks_members_first(self):
        """A node that only calls the service leaves readers to members."""
        first, second, third = asked_by('x', 3)

        assert first | second == set(MEMBERS)
        assert third == {'r', 's'}

    def test_never_asks_itself(self):
        """A node is never its own source."""
        assert all('a' not in asked for asked in asked_by('a', 9))

    def test_reader_alone(self):
        """Without members and readers listed, the reader told of is asked."""
        sources = Sources(Random(1), 'x')
        sources.start('r')

        chosen = sources.choose(['stock'], RulesGossipTicked(peers=()))

        assert chosen == {'r': ['stock']}


class TestPace:
    """The time between questions."""

    def test_slows_down_without_progress(self):
        """Questions that nothing comes of are asked less often."""
        pace = Pace(1)

        *quick, slow = [pace.next(('stock',)) for _ in range(9)]

        assert set(quick) == {1}
        assert slow == 4

    def test_progress_is_quick_again(self):
        """A part that arrived brings the quick pace back."""
        pace = Pace(1)
        for _ in range(20):
            pace.next(('precios', 'stock'))

        assert pace.next(('stock',)) == 1
