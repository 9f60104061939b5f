"""The first hop by itself, with a scripted executor beside it."""

from random import Random

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.retries import FleetBudgetSettings, FleetRetryBudgets
from lovageshunt.sidecar._answering import Answering
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._meters import Meters
from lovageshunt.sidecar._origin import Origin
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._run import Ended
from tests.sidecar.world import DIALECT, configuration

OWN_HOST = '127.0.0.1'
RESERVE = 40


class ScriptedExecutor(Executor):
    """Keeps orders; ``repeat_share`` is what the test says."""

    def __init__(self, repeat_share: float) -> None:
        self.share = repeat_share
        self.orders: list[RunOrder] = []
        self.ended: list[Ended] = []

    @property
    def repeat_share(self) -> float:
        return self.share

    def ordered(self, order: RunOrder, ended: Ended) -> None:  # type: ignore[override]
        self.orders.append(order)
        self.ended.append(ended)

    def abandoned(self, run: object) -> None:
        """Nothing runs here."""


class OwnTargets(Fleet):
    """Two targets, both beside this node, so that nothing is dialed."""

    def __init__(self) -> None:
        self.node_count = 1

    def choose(self, service: str, wanted: object) -> TargetEntry:
        return TargetEntry(
            target_id='i-1',
            service=service,
            host=OWN_HOST,
            port=1,
            failure_domain='z',
            slots=4,
            is_leaving=False,
            cold_seconds=0,
            started_ms=1,
        )

    def started(self, entry: TargetEntry) -> None:
        """Count nothing."""

    def ended(self, *_: object) -> None:  # type: ignore[override]
        """Learn nothing."""


class InnerReports(PressureReports):
    """Takes every request for a call of the target."""

    def __init__(self) -> None:
        """Learn nothing."""

    def arrived(self, kind: str, now: float) -> bool:
        return True


class RecordingConnection(ServerConnection):
    """Keeps the statuses that a request was answered with."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def respond(self, *, status: int, fields: bytes, body: bytes) -> bool:
        self.statuses.append(status)
        return True


class FirstHop:
    """An origin whose requests all come from its target."""

    def __init__(self, repeat_share: float) -> None:
        self.executor = ScriptedExecutor(repeat_share)
        self.connection = RecordingConnection()
        self.origin = Origin(
            own_host=OWN_HOST,
            own_service='own',
            dialect=DIALECT,
            executor=self.executor,
            fleet=OwnTargets(),
            budgets=FleetRetryBudgets(
                FleetBudgetSettings(
                    ratio=0.2,
                    reserve=RESERVE,
                    window_seconds=10,
                ),
            ),
            reports=InnerReports(),
            answers=Answering(DIALECT.attempt_id, Meters('n')),
            rng=Random(1),
        )
        self.origin.take(configuration('s'))

    def ask(self, path: str = '/read/a') -> None:
        request = Request(
            method=b'GET',
            target=path.encode(),
            headers=[(b'host', b'x.example'), (b'x-attempt', b'a')],
            body=b'',
            keeps_alive=True,
        )
        self.origin.started(request, self.connection)

    def fail_last(self) -> None:
        """End the last order as one that may have run."""
        self.executor.ended[-1](
            RunAnswer(
                outcome=Outcome.UNKNOWN,
                reason=RefusalReason.CONNECTION_LOST,
            ),
        )


class TestRepeatedRuns:
    """Calls that runs make which are repeats themselves."""

    async def test_marks_the_second_sending(self) -> None:
        """A target's node learns that the request may have run before."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        first_hop.fail_last()
        marks = [order.is_repeat for order in first_hop.executor.orders]
        assert marks == [False, True]

    async def test_marks_the_calls_of_a_repeat(self) -> None:
        """What a repeated run calls is a repeat as well."""
        first_hop = FirstHop(repeat_share=1)
        first_hop.ask()
        assert first_hop.executor.orders[0].is_repeat

    async def test_leaves_no_retries_to_them(self) -> None:
        """Calls of repeated runs use up the budget of the service."""
        first_hop = FirstHop(repeat_share=1)
        for _ in range(RESERVE):
            first_hop.ask()
        first_hop.fail_last()
        assert len(first_hop.executor.orders) == RESERVE
        assert first_hop.connection.statuses == [502]

    async def test_retries_the_calls_of_first_runs(self) -> None:
        """As many calls of first runs leave the budget untouched."""
        first_hop = FirstHop(repeat_share=0)
        for _ in range(RESERVE):
            first_hop.ask()
        first_hop.fail_last()
        assert len(first_hop.executor.orders) == RESERVE + 1
