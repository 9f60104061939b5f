"""Tests of merging the accounts of many nodes."""

from hypothesis import given
from hypothesis import strategies as st

from lovageshunt.account import Account, AccountSnapshot, MergedAccount
from lovageshunt.calls import Outcome
from tests.account.strategies import SNAPSHOTS
from tests.only import only

FEW_SNAPSHOTS = st.lists(SNAPSHOTS, max_size=4)


def snapshot_of(node='n1', incarnation='a', *, sequence=1, **fields):
    """Return a snapshot of the window [0, 10] s with the given fields."""
    fields = {'started_at': 0, 'taken_at': 10.0, **fields}
    return AccountSnapshot(
        node=node,
        incarnation=incarnation,
        sequence=sequence,
        **fields,
    )


class TestMergedAccount:
    """Merging of snapshots."""

    @given(snapshots=st.lists(SNAPSHOTS), data=st.data())
    def test_order_and_repetition_make_no_difference(self, snapshots, data):
        """Merging is commutative and idempotent."""
        shuffled = data.draw(st.permutations(snapshots + snapshots[:2]))

        merged = MergedAccount(shuffled)

        assert merged.snapshots() == MergedAccount(snapshots).snapshots()

    @given(parts=st.tuples(FEW_SNAPSHOTS, FEW_SNAPSHOTS, FEW_SNAPSHOTS))
    def test_grouping_makes_no_difference(self, parts):
        """Merging is associative."""
        one, two, three = parts
        left = MergedAccount(one)
        left.merge(MergedAccount(two))
        left.merge(MergedAccount(three))
        right = MergedAccount(two)
        right.merge(MergedAccount(three))
        right.merge(MergedAccount(one))

        assert left.snapshots() == right.snapshots()

    def test_incarnations_add_up(self):
        """The counters of a node's incarnations are summed, each once."""
        merged = MergedAccount()
        for incarnation in ('a', 'b'):
            account = Account('n1', incarnation, 0)
            for _ in range(3):
                account.arrived('balances', 'lookup', 1)
                account.ended('balances', 'lookup', 1, Outcome.ANSWERED)
                merged.add(account.snapshot(1.0))

        line = only(merged.lines())

        assert line.answered == 6


class TestGaps:
    """Gaps left by lost VMs."""

    def test_lost_incarnation_leaves_a_gap_until_its_replacement(self):
        """The gap runs from the last snapshot to the replacement's start."""
        merged = MergedAccount(
            [snapshot_of(), snapshot_of('n1', 'b', started_at=25.0)],
        )

        gap = only(merged.gaps(now=99, live=[('n1', 'b')]))

        assert (gap.incarnation, gap.from_at, gap.to_at) == ('a', 10.0, 25.0)

    def test_gap_without_replacement_runs_until_now(self):
        """Without a replacement the gap runs to the time of the query."""
        merged = MergedAccount([snapshot_of()])

        gap = only(merged.gaps(now=99, live=[]))

        assert gap.to_at == 99

    def test_graceful_leaver_leaves_no_gap(self):
        """An incarnation with a final snapshot leaves no gap."""
        merged = MergedAccount([snapshot_of(is_final=True)])

        assert not merged.gaps(now=99, live=[])
