"""Choice of a target."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing import RouteMember, Router

NODES = tuple(f'n{number}' for number in range(6))


def member(node, *, failure_domain='fd1', incarnation='1', is_leaving=False):
    return RouteMember(
        node=node,
        service='records',
        failure_domain=failure_domain,
        region='r1',
        address='127.0.0.1:1',
        incarnation=incarnation,
        is_leaving=is_leaving,
    )


def router_of(*members, seed=1):
    router = Router(
        service='records',
        own_failure_domain='fd1',
        own_region='r1',
        rng=Random(seed),
    )
    router.set_members(list(members), 0)
    return router


def shares(router, now, count=400):
    """Return the percentage of choices by node."""
    chosen = [router.choose(now).node for _ in range(count)]
    return {node: chosen.count(node) * 100 // count for node in set(chosen)}


class RouterMachine(RuleBasedStateMachine):
    """Feeds a router arbitrary answers and checks its invariants."""

    def __init__(self):
        super().__init__()
        self.now = float(0)
        self.listed = {}
        self.left = set()
        self.router = router_of()

    @rule(
        nodes=st.sets(st.sampled_from(NODES)),
        leaving=st.sets(st.sampled_from(NODES)),
        incarnation=st.sampled_from('12'),
    )
    def list_members(self, nodes, leaving, incarnation):
        members = [
            member(
                node,
                failure_domain='fd1' if node < 'n3' else 'fd2',
                incarnation=incarnation,
                is_leaving=node in leaving,
            )
            for node in sorted(nodes)
        ]
        self.listed = {entry.node: entry for entry in members}
        self.router.set_members(members, self.now)
        self.left &= {(node, incarnation) for node in nodes}

    @rule(
        excluded=st.sets(st.sampled_from(NODES), max_size=3),
        end=st.sampled_from(('answered', 'failed', 'lost', 'leaving', 'full')),
        seconds=st.sampled_from((0, 0.01, 1)),
        count=st.integers(1, 6),
    )
    def call(self, excluded, end, seconds, count):
        for _ in range(count):
            self.call_once(frozenset(excluded), end, seconds)

    def call_once(self, excluded, end, seconds):
        chosen = self.router.choose(self.now, excluded)
        usable = {
            node
            for node, entry in self.listed.items()
            if not entry.is_leaving
            and (node, entry.incarnation) not in self.left
            and node not in excluded
        }
        if not usable:
            assert chosen is None
            return
        assert chosen.node in usable
        self.end(chosen, end, seconds)

    @rule(seconds=st.sampled_from((0.01, 1, 10)))
    def wait(self, seconds):
        self.now += seconds

    def end(self, chosen, end, seconds):
        self.router.started(chosen.node, self.now)
        if end == 'lost':
            self.router.lost(chosen.node, self.now)
            return
        if end == 'leaving':
            self.left.add((chosen.node, chosen.incarnation))
        outcome, reason = {
            'answered': (Outcome.ANSWERED, None),
            'failed': (Outcome.FAILED, RefusalReason.TARGET_FAILED),
            'leaving': (Outcome.NOT_RUN, RefusalReason.LEAVING),
            'full': (Outcome.NOT_RUN, RefusalReason.OVERLOAD),
        }[end]
        self.router.answered(
            chosen.node,
            self.now,
            seconds=seconds,
            outcome=outcome,
            reason=reason,
        )


RouterMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
)
TestAlways = RouterMachine.TestCase


def answer(router, node, *, now=0, seconds=0.01, load=None):
    router.started(node, now)
    router.answered(
        node,
        now,
        seconds=seconds,
        outcome=Outcome.ANSWERED,
        load=load,
    )


def fail(router, node, *, now=0, times=5):
    for _ in range(times):
        router.started(node, now)
        router.answered(
            node,
            now,
            seconds=0,
            outcome=Outcome.FAILED,
            reason=RefusalReason.TARGET_FAILED,
        )


def load_of(running, *, waiting=0):
    return LoadReport(
        running=running,
        waiting=waiting,
        limit=10,
        service_ms=10,
    )


class TestHealth:
    """Failures and ejection."""

    def test_failing_target_is_left_out(self):
        """A target that fails several times in a row is ejected for a while."""
        router = router_of(*map(member, 'abc'))
        fail(router, 'a')

        assert 'a' not in shares(router, 0.5)
        assert 'a' in shares(router, 60)

    def test_returned_target_is_left_out_at_its_first_failure(self):
        """After an ejection one failure ejects a target again."""
        router = router_of(*map(member, 'abc'))
        fail(router, 'a')
        fail(router, 'a', now=10, times=1)

        assert 'a' not in shares(router, 10.1)

    def test_half_of_the_targets_may_be_left_out(self):
        """Two failing targets of four get no calls."""
        router = router_of(*map(member, 'abcd'))
        for node in 'ab':
            fail(router, node)

        assert set(shares(router, 0.5)) == set('cd')

    def test_all_targets_are_used_when_most_are_ejected(self):
        """Three failing targets of four still get a few calls."""
        router = router_of(*map(member, 'abcd'))
        for node in 'abc':
            fail(router, node)

        found = shares(router, 0.5)
        assert set(found) == set('abcd')
        assert found['d'] > 40

    def test_leaving_refusal_takes_effect_at_once(self):
        """A target that refused a call as leaving is not chosen again."""
        router = router_of(*map(member, 'ab'))
        router.started('a', 0)
        router.answered(
            'a',
            0,
            seconds=0.001,
            outcome=Outcome.NOT_RUN,
            reason=RefusalReason.LEAVING,
        )

        assert set(shares(router, 0)) == {'b'}

    def test_fast_errors_attract_no_calls(self):
        """A target that fails fast gets no more calls than a healthy one."""
        router = router_of(*map(member, 'ab'))
        for _ in range(20):
            answer(router, 'b', seconds=0.05)
            answer(router, 'a', seconds=0.05)
            fail(router, 'a', times=4)

        assert shares(router, 0.5).get('a', 0) <= 55


class TestLoad:
    """Load observed and reported."""

    def test_near_target_with_capacity_is_preferred(self):
        """The own failure domain gets all calls while it has capacity."""
        far = member('far', failure_domain='fd2')
        router = router_of(member('near'), far)
        answer(router, 'near', load=load_of(2))

        assert shares(router, 0.1) == {'near': 100}

    def test_full_near_target_spills_over(self):
        """Calls go elsewhere when the own failure domain is full."""
        far = member('far', failure_domain='fd2')
        router = router_of(member('near'), far)
        answer(router, 'near', load=load_of(10, waiting=5))

        assert shares(router, 0.1)['far'] > 50

    def test_best_target_does_not_get_every_call(self):
        """The target with the lowest cost gets only a part of the calls."""
        router = router_of(*map(member, 'abcd'))
        for node in 'bcd':
            answer(router, node, load=load_of(8))

        assert 30 < shares(router, 0.1)['a'] < 60

    def test_newcomer_starts_slowly(self):
        """A target that has just joined ramps up to its full share."""
        router = router_of(*map(member, 'ab'))
        router.set_members([member(node) for node in 'abc'], 100)

        assert shares(router, 100.1).get('c', 0) < 15
        assert shares(router, 120)['c'] > 25
