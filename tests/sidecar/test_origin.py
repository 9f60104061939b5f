"""The origin, with a fake executor and fake targets."""

from logging import INFO
from random import Random

import pytest

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.links import Dialer, RunAnswer, RunOrder
from lovageshunt.retries import FleetBudgetSettings, FleetRetryBudgets
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._metrics import SidecarMetrics
from lovageshunt.sidecar._origin import Origin
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._responder import Responder
from lovageshunt.sidecar._run import EndedCallback, Run
from lovageshunt.sidecar._suspects import Suspects
from tests.sidecar.world import (
    HEADER_NAMES,
    configuration,
)

OWN_HOST = '127.0.0.1'
RESERVE = 40


class ScriptedExecutor(Executor):
    """Records orders without running them; its repeat share is given."""

    def __init__(self, repeat_share: float) -> None:
        self.share = repeat_share
        self.orders: list[RunOrder] = []
        self.ended: list[EndedCallback] = []

    @property
    def repeat_share(self) -> float:
        return self.share

    def submit(self, order: RunOrder, ended: EndedCallback) -> None:  # type: ignore[override]
        self.orders.append(order)
        self.ended.append(ended)

    def abandon(self, run: object) -> None:
        """Do nothing."""


class OwnTargets(Fleet):
    """Always selects one target beside this node, so no link is opened."""

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

    def call_started(self, entry: TargetEntry) -> None:
        """Do nothing."""

    def call_ended(self, *_: object) -> None:  # type: ignore[override]
        """Do nothing."""


class InnerReports(PressureReports):
    """Treats every request as a call by the target."""

    def __init__(self) -> None:
        """Skip the setup of the base class."""

    def record_arrival(self, kind: str, now: float) -> bool:
        return True


class RecordingConnection(ServerConnection):
    """Records the statuses and header fields of the responses."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.fields: list[bytes] = []

    def respond(
        self, request: Request, *, status: int, fields: bytes, body: bytes
    ) -> bool:
        self.statuses.append(status)
        self.fields.append(fields)
        return True


def no_dialer(host: str) -> Dialer:
    raise AssertionError(f'a link to {host} was opened')


class FirstHop:
    """An origin whose requests all are calls by its target."""

    def __init__(self, repeat_share: float) -> None:
        self.executor = ScriptedExecutor(repeat_share)
        self.connection = RecordingConnection()
        self.suspects = Suspects(
            broadcast=lambda *_: None,
            has_spare=lambda: True,
        )
        self.origin = Origin(
            own_host=OWN_HOST,
            own_service='own',
            header_names=HEADER_NAMES,
            executor=self.executor,
            fleet=OwnTargets(),
            peers=Peers(OWN_HOST, no_dialer),
            budgets=FleetRetryBudgets(
                FleetBudgetSettings(
                    ratio=0.2,
                    reserve=RESERVE,
                    window_seconds=10,
                ),
            ),
            reports=InnerReports(),
            responder=Responder(HEADER_NAMES.attempt_id, SidecarMetrics('n')),
            suspects=self.suspects,
            accounts=ClientAccounts(Random(1)),
            rng=Random(1),
        )
        self.origin.apply_configuration(configuration('s'))

    def ask(self, path: str = '/read/a') -> None:
        request = Request(
            method=b'GET',
            target=path.encode(),
            headers=[(b'host', b'x.example'), (b'x-attempt', b'a')],
            body=b'',
            keeps_alive=True,
        )
        self.origin.handle(request, self.connection)

    def fail_last(self) -> None:
        """End the last order with an unknown outcome."""
        self.executor.ended[-1](
            RunAnswer(
                outcome=Outcome.UNKNOWN,
                reason=RefusalReason.CONNECTION_LOST,
            ),
        )


class TestRepeatedRuns:
    """Retries of calls, and calls made by runs that are repeats."""

    async def test_marks_the_second_attempt(self) -> None:
        """A retry is marked as a repeat, for the target's node."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        first_hop.fail_last()
        marks = [order.is_repeat for order in first_hop.executor.orders]
        assert marks == [False, True]

    async def test_marks_the_calls_of_a_repeat(self) -> None:
        """Calls made by a repeated run are marked as repeats."""
        first_hop = FirstHop(repeat_share=1)
        first_hop.ask()
        assert first_hop.executor.orders[0].is_repeat

    async def test_leaves_no_retries_to_them(self) -> None:
        """Calls by repeated runs use up the service's retry budget."""
        first_hop = FirstHop(repeat_share=1)
        for _ in range(RESERVE):
            first_hop.ask()
        first_hop.fail_last()
        assert len(first_hop.executor.orders) == RESERVE
        assert first_hop.connection.statuses == [502]

    async def test_retries_the_calls_of_first_runs(self) -> None:
        """Calls by first runs do not use the retry budget."""
        first_hop = FirstHop(repeat_share=0)
        for _ in range(RESERVE):
            first_hop.ask()
        first_hop.fail_last()
        assert len(first_hop.executor.orders) == RESERVE + 1


class TestCrashingRequests:
    """Requests that were in flight when targets crashed."""

    def crash_targets(self, first_hop: FirstHop, count: int) -> None:
        """Let the last order run at targets that crash one after another."""
        for number in range(count):
            run = Run(
                str(number),
                first_hop.executor.orders[-1],
                print,
                account=MemoryAccount(),
                on_evicted=print,
            )
            first_hop.suspects.start(run)
            first_hop.suspects.crash([run])

    async def test_condemned_request_is_refused_at_its_first_hop(self) -> None:
        """It is not sent, and told to come back when the entry expires."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        self.crash_targets(first_hop, 3)
        first_hop.ask()
        assert len(first_hop.executor.orders) == 1
        assert first_hop.connection.statuses == [503]
        assert b'retry-after: 600.' in first_hop.connection.fields[0]

    async def test_refusal_is_logged_with_what_the_crashes_name(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Operators find the crashes of a refused request by its content."""
        caplog.set_level(INFO)
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        self.crash_targets(first_hop, 3)
        first_hop.ask()
        fingerprints = {
            record.message: getattr(record, 'fingerprint', None)
            for record in caplog.records
        }
        condemned = 'request is refused from now on: it crashes targets'
        assert fingerprints['refused'] == fingerprints[condemned]

    async def test_other_requests_are_sent(self) -> None:
        """Another path of the same route is another request."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        self.crash_targets(first_hop, 3)
        first_hop.ask('/read/b')
        assert len(first_hop.executor.orders) == 2

    async def test_attempt_risks_no_third_target(self) -> None:
        """After two crashes in a row the attempt fails at once."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        self.crash_targets(first_hop, 2)
        first_hop.fail_last()
        assert first_hop.connection.statuses == [502]

    async def test_first_crash_leaves_it_its_retry(self) -> None:
        """A sound request is more often in flight at a crash."""
        first_hop = FirstHop(repeat_share=0)
        first_hop.ask()
        self.crash_targets(first_hop, 1)
        first_hop.fail_last()
        assert len(first_hop.executor.orders) == 2
