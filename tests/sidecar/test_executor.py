"""The executor, with a fake target and no other nodes."""

import asyncio
import gc
import weakref
from collections.abc import AsyncIterator, Container, Iterator
from functools import partial

import pytest

from lovageshunt._memory_account import MemoryAccount
from lovageshunt._sending import Buffer
from lovageshunt.admission import RateLimitReported
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.links import RunAnswer, RunOrder
from lovageshunt.retries import FleetBudgetSettings, FleetRetryBudget
from lovageshunt.sidecar._executor import Executor
from lovageshunt.sidecar._metrics import SidecarMetrics
from lovageshunt.sidecar._suspects import Suspects
from tests.loopback import own_host
from tests.sidecar.fake_target import TARGET_PORT, FakeTarget, Received, answer
from tests.sidecar.world import (
    HEADER_NAMES,
    wait_until,
)


class HeldTarget(FakeTarget):
    """Holds every response until ``go_on`` is set."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.go_on = asyncio.Event()

    async def serve_normally(self, received: Received) -> bytes:
        await self.go_on.wait()
        return answer(received)


@pytest.fixture
async def target() -> AsyncIterator[HeldTarget]:
    """Run a target during a test."""
    held = HeldTarget(own_host(9))
    await held.open()
    yield held
    held.close()


def executor_of(
    target: FakeTarget,
    departed: Container[str] = (),
    account: MemoryAccount | None = None,
) -> Executor:
    settings = FleetBudgetSettings(ratio=0.2, reserve=10, window_seconds=10)
    return Executor(
        host=target.host,
        port=TARGET_PORT,
        slots=10,
        header_names=HEADER_NAMES,
        metrics=SidecarMetrics('n'),
        resend_budget=FleetRetryBudget(settings),
        has_left=departed.__contains__,
        on_leaving=lambda _: None,
        on_refused=lambda: None,
        suspects=Suspects(broadcast=lambda *_: None, has_spare=lambda: True),
        account=account,
    )


def order(
    attempt: str,
    *,
    is_repeat: bool = False,
    is_repeatable: bool = True,
    body: Buffer = b'',
) -> RunOrder:
    return RunOrder(
        attempt_id=attempt.encode(),
        target_id='i-1',
        kind='/read/',
        caller_service='own',
        importance=1,
        is_repeatable=is_repeatable,
        is_repeat=is_repeat,
        deadline=clock_now() + 2,
        method=b'GET',
        request_target=b'/read/a',
        fields=f'x-attempt: {attempt}\r\n'.encode(),
        body=body,
    )


class TestRepeatShare:
    """The share of the runs in progress that are repeats."""

    async def test_is_none_without_runs(self, target: HeldTarget) -> None:
        """The share is 0 while nothing runs."""
        assert executor_of(target).repeat_share == 0

    async def test_counts_runs_until_they_end(self, target: HeldTarget) -> None:
        """One repeat among two runs is half; after they ended it is 0."""
        executor = executor_of(target)
        answers: list[RunAnswer] = []
        executor.submit(order('a', is_repeat=True), answers.append)
        executor.submit(order('b', is_repeat=False), answers.append)
        assert executor.repeat_share == 1 / 2
        target.go_on.set()
        async with asyncio.timeout(2):
            while len(answers) < 2:
                await asyncio.sleep(0.01)
        assert executor.repeat_share == 0

    async def test_forgets_runs_that_were_given_up(
        self,
        target: HeldTarget,
    ) -> None:
        """A repeat that was cancelled no longer counts."""
        executor = executor_of(target)
        run = executor.submit(order('a', is_repeat=True), lambda _: None)
        executor.abandon(run)
        assert executor.repeat_share == 0


@pytest.fixture
def without_collector() -> Iterator[None]:
    """Free only what nothing refers to."""
    gc.disable()
    yield
    gc.enable()


class TestMemory:
    """What orders take from their arrival to their answer."""

    async def test_orders_that_wait_are_refused_without_room(
        self, target: HeldTarget
    ) -> None:
        """The one that runs goes on; one that waits was not run."""
        account = MemoryAccount(1_250_000)
        executor = executor_of(target, account=account)
        executor.apply_published_slots('i-1', 1)
        answers: dict[str, RunAnswer] = {}
        for name in ('a', 'b', 'c'):
            executor.submit(
                order(name, body=bytes(300_000)),
                partial(answers.__setitem__, name),
                received_bytes=300_000,
            )
        assert not answers
        account.open().update(200_000)
        assert list(answers) == ['c']
        assert answers['c'].outcome is Outcome.NOT_RUN
        assert answers['c'].reason is RefusalReason.QUEUE_FULL
        target.go_on.set()
        await wait_until(lambda: len(answers) == 3)
        assert answers['a'].outcome is Outcome.ANSWERED
        assert answers['b'].outcome is Outcome.ANSWERED
        assert account.held_bytes == 200_000

    async def test_refuses_an_order_without_room(
        self, target: HeldTarget
    ) -> None:
        """It is not run, though the target is idle."""
        account = MemoryAccount(1_000_000)
        account.open().update(900_000)
        executor = executor_of(target, account=account)
        answers: list[RunAnswer] = []
        executor.submit(
            order('a', body=bytes(300_000)),
            answers.append,
            received_bytes=300_000,
        )
        assert answers[0].outcome is Outcome.NOT_RUN
        assert executor.is_empty
        assert account.held_bytes == 900_000

    @pytest.mark.usefixtures('without_collector')
    async def test_releases_a_body_with_its_answer(
        self, target: HeldTarget
    ) -> None:
        """It does not wait for the garbage collector to find a cycle."""
        executor = executor_of(target)
        target.go_on.set()
        answers: list[RunAnswer] = []
        body = memoryview(bytes(300_000))
        is_kept = weakref.ref(body)
        executor.submit(order('a', body=body), answers.append)
        del body
        await wait_until(lambda: bool(answers))
        await wait_until(lambda: is_kept() is None)


class TestDeparture:
    """A target leaves while calls wait for it."""

    async def test_refuses_what_was_not_sent_yet(
        self,
        target: HeldTarget,
    ) -> None:
        """A queued call ends as not run; the one that runs is answered."""
        departed: set[str] = set()
        executor = executor_of(target, departed)
        executor.apply_published_slots('i-1', 1)
        running: list[RunAnswer] = []
        queued: list[RunAnswer] = []
        executor.submit(order('a', is_repeat=False), running.append)
        async with asyncio.timeout(2):
            while not target.received:
                await asyncio.sleep(0.01)
        executor.submit(order('b', is_repeat=False), queued.append)
        departed.add('i-1')
        executor.withdraw_departed()
        assert queued[0].outcome is Outcome.NOT_RUN
        assert queued[0].reason is RefusalReason.LEAVING
        target.go_on.set()
        async with asyncio.timeout(2):
            while not running:
                await asyncio.sleep(0.01)
        assert running[0].outcome is Outcome.ANSWERED
        assert len(target.received) == 1

    async def test_a_slot_that_becomes_free_goes_to_no_waiting_call(
        self,
        target: HeldTarget,
    ) -> None:
        """One call awaits a connection, the next a slot: both are refused."""
        departed: set[str] = set()
        executor = executor_of(target, departed)
        executor.apply_published_slots('i-1', 1)
        answers: list[RunAnswer] = []
        executor.submit(order('a', is_repeat=False), answers.append)
        executor.submit(order('b', is_repeat=False), answers.append)
        departed.add('i-1')
        executor.withdraw_departed()
        reasons = {answer.outcome for answer in answers}
        assert (len(answers), reasons) == (2, {Outcome.NOT_RUN})
        assert executor.is_empty

    async def test_sends_nothing_on_a_connection_that_comes_late(
        self,
        target: HeldTarget,
    ) -> None:
        """A call that awaits its connection ends as not run."""
        departed: set[str] = set()
        executor = executor_of(target, departed)
        answers: list[RunAnswer] = []
        executor.submit(order('a', is_repeat=False), answers.append)
        departed.add('i-1')
        executor.withdraw_departed()
        assert answers[0].outcome is Outcome.NOT_RUN
        await asyncio.sleep(0.1)
        assert not target.received


class EndlessTarget(FakeTarget):
    """Sends a body without end: ``part`` again and again, with pauses."""

    def __init__(self, host: str, part: bytes, pause: float) -> None:
        super().__init__(host)
        self._part = part
        self._pause = pause

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nX-Attempt: a\r\n\r\n')
        try:
            while True:
                writer.write(self._part)
                await writer.drain()
                await asyncio.sleep(self._pause)
        except ConnectionError:
            self.ended_early += 1


class TestBytesWithoutEnd:
    """A target in trouble sends a body that does not end."""

    @pytest.mark.parametrize(
        ('part', 'pause'),
        [(b'x' * 65536, 0), (b'x', 0.02)],
    )
    async def test_end_with_the_deadline_at_the_latest(
        self,
        part: bytes,
        pause: float,
    ) -> None:
        """The outcome is unknown, and the target's connection is closed."""
        target = EndlessTarget(own_host(9), part, pause)
        await target.open()
        answers: list[RunAnswer] = []
        executor = executor_of(target)
        endless = order('a', is_repeat=False)
        endless.deadline = clock_now() + 0.3
        executor.submit(endless, answers.append)
        async with asyncio.timeout(2):
            while not (answers and target.ended_early):
                await asyncio.sleep(0.01)
        assert answers[0].outcome is Outcome.UNKNOWN
        target.close()


class TestStop:
    """A planned stop ends the calls in progress."""

    async def test_sends_no_waiting_call_in_place_of_one_that_it_ends(
        self, target: HeldTarget
    ) -> None:
        """Guards against a call that is sent as the process exits."""
        executor = executor_of(target)
        await open_connections(executor, target)
        executor.apply_published_slots('i-1', 1)
        answer_by_attempt: dict[str, RunAnswer] = {}
        for attempt in 'ab':
            executor.submit(
                order(attempt),
                partial(answer_by_attempt.__setitem__, attempt),
            )
        await wait_until(lambda: target.received)
        executor.stop()
        await asyncio.sleep(0.1)
        assert [each.attempt for each in target.received] == ['a']
        assert answer_by_attempt['a'].outcome is Outcome.UNKNOWN
        assert answer_by_attempt['b'].outcome is Outcome.NOT_RUN


class TestDepartureOfLimitedTarget:
    """A target that limits its calls leaves while calls wait for it.

    The node is late: timers are due that have not run.
    """

    async def test_tells_no_call_as_not_run_that_was_sent(
        self, target: HeldTarget, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against TWICE: such a call runs at another target as well."""
        answer_by_attempt = await leave_late(target, monkeypatch, seconds=0.25)
        sent = {received.attempt for received in target.received}
        not_run = {
            attempt
            for attempt, got in answer_by_attempt.items()
            if got.outcome is Outcome.NOT_RUN
        }
        assert sent & not_run == set()
        assert sent | not_run == set('abcd')

    async def test_refuses_every_waiting_call_though_one_is_overdue(
        self, target: HeldTarget, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against calls at a target that has left."""
        answer_by_attempt = await leave_late(target, monkeypatch, seconds=1)
        assert {received.attempt for received in target.received} == {'a'}
        assert answer_by_attempt.keys() == set('bcd')


async def leave_late(
    target: HeldTarget, monkeypatch: pytest.MonkeyPatch, *, seconds: float
) -> dict[str, RunAnswer]:
    """Submit calls ``a`` to ``d``, and let the target leave ``seconds`` later.

    The target takes the first call only until then. Return the answers by
    attempt, as they come.
    """
    clock = Clock(monkeypatch)
    departed: set[str] = set()
    executor = executor_of(target, departed)
    await open_connections(executor, target)
    answer_by_attempt = submit_beyond_limit(executor, clock, 'abcd')
    clock.now += seconds
    departed.add('i-1')
    executor.withdraw_departed()
    await asyncio.sleep(0.1)
    return answer_by_attempt


class Clock:
    """The clock of an executor, as the test sets it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = clock_now()
        monkeypatch.setattr(
            'lovageshunt.sidecar._executor.clock_now', lambda: self.now
        )


async def open_connections(executor: Executor, target: HeldTarget) -> None:
    """Have calls answered, so that idle connections are there."""
    answers: list[RunAnswer] = []
    target.go_on.set()
    for attempt in ('x', 'y', 'z'):
        executor.submit(order(attempt), answers.append)
    await wait_until(lambda: len(answers) == 3)
    target.go_on.clear()
    target.received.clear()


def submit_beyond_limit(
    executor: Executor, clock: Clock, attempts: str
) -> dict[str, RunAnswer]:
    """Submit calls of which the target takes the first only for now.

    Return the answers by attempt, as they come.
    """
    limit = RateLimitReported(per_second=10)
    executor.queue.handle(limit, clock.now)
    answer_by_attempt: dict[str, RunAnswer] = {}
    for attempt in attempts:
        executor.submit(
            order(attempt, is_repeatable=False),
            partial(answer_by_attempt.__setitem__, attempt),
        )
    return answer_by_attempt
