"""Who pays when there is too little room for all accounts."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageshunt.pressure import (
    AccountDemand,
    DemandModel,
    FleetRates,
    InternalCallDetector,
    KindDemand,
    RootAdmission,
    RootRequest,
    TargetCapacity,
    fair_shares,
)

DEMANDS = st.dictionaries(
    st.sampled_from('abcdefgh'),
    st.floats(min_value=0.1, max_value=100),
    min_size=1,
)


def look(importance: int, account: str = '') -> RootRequest:
    return RootRequest(kind='look', importance=importance, account=account)


class TestFairShares:
    """Max-min division."""

    @settings(derandomize=True)
    @given(demands=DEMANDS, part=st.floats(min_value=0, max_value=2))
    def test_divides_all_that_there_is(
        self, demands: dict[str, float], part: float
    ) -> None:
        """What they get is the capacity, or all that they ask."""
        capacity = part * sum(demands.values())
        shares = fair_shares(demands, {}, capacity)
        granted = sum(demands[key] * shares[key] for key in demands)
        assert abs(granted - min(capacity, sum(demands.values()))) < 1e-6

    @settings(derandomize=True)
    @given(demands=DEMANDS, part=st.floats(min_value=0.01, max_value=1))
    def test_grants_nobody_more_than_who_is_refused(
        self, demands: dict[str, float], part: float
    ) -> None:
        """One who is refused gets at least as much as any other."""
        shares = fair_shares(demands, {}, part * sum(demands.values()))
        granted = {key: demands[key] * shares[key] for key in demands}
        for key, share in shares.items():
            if share < 1:
                assert granted[key] >= max(granted.values()) - 1e-6

    def test_weighs_by_what_each_may_ask(self) -> None:
        """With ten times the weight the level is ten times as high."""
        shares = fair_shares({'a': 100, 'b': 100}, {'a': 10, 'b': 1}, 110)
        assert round(shares['a'], 6) == 1
        assert round(shares['b'], 6) == 0.1


class TestAccounts:
    """One account at six times its usual, on twice the room."""

    def shares_served(self) -> dict[str, float]:
        """Play 5 s of 20 accounts; return the admitted share of each."""
        usual_by_account = {f'a{number}': 10 + number for number in range(20)}
        rate_by_account = usual_by_account | {'a19': 6 * 29}
        total = sum(rate_by_account.values())
        model = DemandModel()
        model.learn(
            'look',
            KindDemand(node='n', service='s', seconds=1, calls_by_kind={}),
        )
        arrivals = FleetRates()
        admission = RootAdmission(
            demand_model=model,
            arrivals=arrivals,
            retries=FleetRates(),
            internal_calls=InternalCallDetector(),
            rng=Random(5),
        )
        room = sum(usual_by_account.values())
        admitted: Counter[str] = Counter()
        for second in range(5):
            arrivals.learn('n', {'look': total}, 1, second)
            capacity = TargetCapacity(
                share=1,
                slots=room,
                sent_per_second=total,
                refused_per_second=0,
            )
            admission.fleet_capacity.record_report('s', 't', capacity, second)
            admission.demand_by_account = {
                name: AccountDemand(
                    importance=1, per_second=rate, weight=usual_by_account[name]
                )
                for name, rate in rate_by_account.items()
            }
            for name, rate in rate_by_account.items():
                for _ in range(rate):
                    decision = admission.decision(
                        look(1, name),
                        second,
                    )
                    admitted[name] += decision.retry_seconds is None
        return {
            name: admitted[name] / (5 * rate)
            for name, rate in rate_by_account.items()
        }

    def test_serves_the_accounts_below_their_fair_part(self) -> None:
        """The one that asks too much pays; all others hardly notice."""
        shares = self.shares_served()
        loud = shares.pop('a19')
        assert min(shares.values()) >= 0.95
        assert loud > 0.1

    def test_serves_the_worst_tenth(self) -> None:
        """The worst tenth, without the loud one, gets 0.8 of the mean."""
        shares = sorted(self.shares_served().values())
        mean = sum(shares) / len(shares)
        assert shares[1] >= 0.8 * mean


class TestImportanceOfAccounts:
    """Requests of one kind that differ in importance."""

    def test_refuses_the_less_important_first(self) -> None:
        """With room for half, the more important half is served."""
        model = DemandModel()
        model.learn(
            'look',
            KindDemand(node='n', service='s', seconds=1, calls_by_kind={}),
        )
        arrivals = FleetRates()
        admission = RootAdmission(
            demand_model=model,
            arrivals=arrivals,
            retries=FleetRates(),
            internal_calls=InternalCallDetector(),
            rng=Random(5),
        )
        capacity = TargetCapacity(
            share=1, slots=100, sent_per_second=200, refused_per_second=0
        )
        served: Counter[int] = Counter()
        for step in range(400):
            now = step / 100
            arrivals.learn('n', {'look': 2}, 0.01, now)
            admission.fleet_capacity.record_report('s', 't', capacity, now)
            for importance in (0, 1):
                decision = admission.decision(look(importance), now)
                served[importance] += decision.retry_seconds is None
        assert served[0] > 300
        assert served[1] < 160
