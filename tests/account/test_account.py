"""Tests of the call counters of one node."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovageshunt.account import Account, find_imbalances
from lovageshunt.calls import Outcome, RefusalReason
from tests.only import only

SERVICES = st.sampled_from(['balances', 'records'])
KINDS = st.sampled_from(['lookup', 'purchase'])
IMPORTANCES = st.integers(0, 2)


class AccountMachine(RuleBasedStateMachine):
    """Calls that arrive and end in arbitrary order."""

    def __init__(self):
        super().__init__()
        self.account = Account('n1', 'a', 10.0)
        self.running = []
        self.ended = 0

    @rule(service=SERVICES, kind=KINDS, importance=IMPORTANCES)
    def arrive(self, service, kind, importance):
        """A call arrives."""
        self.account.arrived(service, kind, importance)
        self.running.append((service, kind, importance))

    @rule(
        outcome=st.sampled_from(Outcome),
        reason=st.none() | st.sampled_from(RefusalReason),
        ran=st.booleans(),
        was_wasted=st.booleans(),
    )
    def end(self, outcome, reason, ran, was_wasted):
        """The oldest running call ends."""
        if not self.running:
            return
        call = self.running.pop(0)
        wasted = was_wasted and ran
        self.account.ended(*call, outcome, reason, wasted, ran)
        self.ended += 1

    @invariant()
    def balances(self):
        """Arrived calls are the sum of ended and running ones."""
        snapshot = self.account.snapshot(11.0)

        assert not find_imbalances(snapshot)
        assert sum(line.ended for line in snapshot.lines) == self.ended
        running = sum(line.running for line in snapshot.lines)
        assert running == len(self.running)


TestAccountMachine = AccountMachine.TestCase


class TestAccount:
    """Counting of arrivals, ends and waste."""

    def test_end_without_arrival_is_an_imbalance(self):
        """A call counted at its end but not on arrival is reported."""
        account = Account('n1', 'a', 0)

        account.ended('balances', 'lookup', 1, Outcome.ANSWERED)

        imbalance = only(find_imbalances(account.snapshot(1.0)))
        assert imbalance.law == 'running >= 0'
        assert imbalance.excess == 1

    def test_end_never_counted_is_an_imbalance(self):
        """A running call that admission no longer holds is reported."""
        account = Account('n1', 'a', 0)
        account.arrived('balances', 'lookup', 1)
        snapshot = account.snapshot(1)

        imbalance = only(find_imbalances(snapshot, {'balances': 0}))

        assert imbalance.excess == 1
        assert not find_imbalances(snapshot, {'balances': 1})

    def test_waste_is_counted_by_reason(self):
        """A cancelled call that ran is wasted with reason cancelled."""
        account = Account('n1', 'a', 0)
        call = ('balances', 'lookup', 1)
        account.arrived(*call)

        account.ended(
            *call,
            Outcome.FAILED,
            RefusalReason.CANCELLED,
            was_wasted=True,
            ran=True,
        )

        line = only(account.snapshot(1.0).lines)
        assert line.wasted_by_reason == {'cancelled': 1}
        assert line.failed_by_reason == {'cancelled': 1}

    def test_snapshot_is_not_changed_by_later_calls(self):
        """Calls counted after a snapshot do not change it."""
        account = Account('n1', 'a', 0)
        account.arrived('balances', 'lookup', 1)
        snapshot = account.snapshot(1.0)

        account.arrived('balances', 'lookup', 1)

        assert snapshot.lines[0].arrived == 1

    def test_lines_are_bounded(self):
        """Arbitrarily many call kinds do not grow the account without limit."""
        account = Account('n1', 'a', 0)
        for number in range(400):
            account.arrived('balances', f'kind {number}', 1)

        snapshot = account.snapshot(1)

        assert len(snapshot.lines) <= 257
        assert sum(line.arrived for line in snapshot.lines) == 400
