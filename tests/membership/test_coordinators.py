"""Election of the nodes that read the platform for a whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.membership import CoordinatorElection

_DOMAINS = ('a', 'b', 'c', 'd', 'e')
_NODES = {f'10.0.0.{at}': _DOMAINS[at % 5] for at in range(40)}


def election_of(nodes: dict[str, str]) -> CoordinatorElection:
    election = CoordinatorElection(3)
    election.set_nodes(nodes)
    return election


class TestCoordinatorElection:
    """Who is elected, and who is passed over."""

    def test_all_nodes_elect_the_same(self) -> None:
        """The order in which the nodes are listed does not matter."""
        backwards = dict(reversed(list(_NODES.items())))
        assert election_of(_NODES).elected(0) == election_of(backwards).elected(
            0
        )

    def test_elects_in_different_failure_domains(self) -> None:
        """No failure domain has two as long as there are enough others."""
        elected = election_of(_NODES).elected(0)
        assert len({_NODES[node] for node in elected}) == 3

    def test_one_failure_domain_has_all(self) -> None:
        """With one failure domain, three of its nodes are elected."""
        election = election_of(dict.fromkeys(_NODES, 'a'))
        assert len(set(election.elected(0))) == 3

    def test_fewer_nodes_than_places(self) -> None:
        """A fleet of two elects both, an empty one nobody."""
        assert set(election_of({'x': 'a', 'y': 'a'}).elected(0)) == {'x', 'y'}
        assert election_of({}).elected(0) == ()

    def test_passes_over_what_is_down(self) -> None:
        """A node that is down is elected again once it is up."""
        election = election_of(_NODES)
        before = election.elected(0)
        for node in before:
            election.note_down(node)
        assert not set(election.elected(0)) & set(before)
        for node in before:
            election.note_up(node)
        assert election.elected(0) == before

    def test_passes_over_who_cannot_read_for_a_while(self) -> None:
        """A node that could not read gets another chance after 3 s."""
        election = election_of(_NODES)
        before = election.elected(0)
        election.note_unfit(before[0], 0)
        assert before[0] not in election.elected(2.9)
        assert election.elected(3.1) == before

    def test_outage_makes_at_most_twice_as_many_read(self) -> None:
        """However many nodes fail to read, at most six are elected in turn."""
        election = election_of(_NODES)
        seen: set[str] = set()
        for at in range(100):
            elected = election.elected(at / 50)
            seen.update(elected)
            election.note_unfit(elected[at % 3], at / 50)
        assert len(seen) <= 6

    @given(
        st.sets(st.sampled_from(sorted(_NODES)), max_size=39),
        st.sets(st.sampled_from(sorted(_NODES))),
    )
    def test_somebody_reads(self, down: set[str], unfit: set[str]) -> None:
        """As long as a node is up, somebody who is up is elected."""
        election = election_of(_NODES)
        for node in down:
            election.note_down(node)
        for node in unfit:
            election.note_unfit(node, 0)
        elected = set(election.elected(0))
        standing = _NODES.keys() - down
        assert not elected & down
        assert len(elected) >= min(3, len(standing) - 3, len(standing))
        if standing - unfit:
            assert elected

    @given(st.sets(st.sampled_from(sorted(_NODES)), min_size=20, max_size=39))
    def test_few_change_when_nodes_come_and_go(self, left: set[str]) -> None:
        """Nodes that are removed from the list replace only themselves."""
        election = election_of(_NODES)
        before = election.elected(0)
        kept = {node: _NODES[node] for node in left}
        election.set_nodes(kept)
        after = set(election.elected(0))
        staying = [node for node in before if node in kept]
        assert after.issuperset(staying)
