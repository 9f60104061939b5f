"""Admission of calls to one target."""

from heapq import heappop, heappush

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lovageshunt.admission import (
    OPEN_THRESHOLD,
    Abort,
    Admission,
    AdmissionSettings,
    AdmissionTicked,
    Admit,
    Arrived,
    Cancelled,
    DrainStarted,
    Finished,
    Refuse,
    is_refused,
)
from lovageshunt.calls import RANK_COUNT, RefusalReason
from lovageshunt.errors import DuplicateCallError

SLOTS = 4
FLOOR = 328
NO_LEVEL = 1e9
MIDDLE = RANK_COUNT // 2

DELAY_SECONDS = st.sampled_from((0, 0, 0, 0.01, 1))


class AdmissionMachine(RuleBasedStateMachine):
    """Feeds arbitrary events to admission and checks its invariants."""

    def __init__(self):
        super().__init__()
        self.now = float(0)
        self.settings = AdmissionSettings(slots=SLOTS, max_waiting=20)
        self.admission = Admission(self.settings, self.now)
        self.calls = {}
        self.waiting = set()
        self.running = set()
        self.aborted = set()
        self.refused_levels = []

    @rule(
        importance=st.integers(0, 7),
        rank=st.integers(0, RANK_COUNT - 1),
        seconds=st.sampled_from((0, 0.01, 0.1, 1, 5)),
        count=st.integers(1, 8),
        delay=DELAY_SECONDS,
    )
    def arrive(self, importance, rank, seconds, count, delay):
        self.pass_time(delay)
        for number in range(count):
            level = importance * RANK_COUNT + (rank + number) % RANK_COUNT
            call_id = str(len(self.calls))
            self.calls[call_id] = (level, self.now + seconds)
            self.waiting.add(call_id)
            self.send(
                Arrived(
                    call_id=call_id,
                    level=level,
                    deadline=self.now + seconds,
                ),
            )

    @precondition(lambda machine: machine.running)
    @rule(
        pick=st.randoms(use_true_random=False),
        was_complete=st.booleans(),
        was_shed=st.booleans(),
        delay=DELAY_SECONDS,
    )
    def finish(self, pick, was_complete, was_shed, delay):
        self.pass_time(delay)
        call_id = pick.choice(sorted(self.running))
        self.running.discard(call_id)
        self.send(
            Finished(call_id, was_complete=was_complete, was_shed=was_shed),
        )

    @precondition(lambda machine: machine.running or machine.waiting)
    @rule(pick=st.randoms(use_true_random=False), delay=DELAY_SECONDS)
    def cancel(self, pick, delay):
        self.pass_time(delay)
        call_id = pick.choice(sorted(self.waiting | self.running))
        self.waiting.discard(call_id)
        self.send(Cancelled(call_id))
        assert call_id in self.aborted or call_id not in self.running

    @rule(seconds=st.sampled_from((0.001, 0.05, 0.1, 0.5, 3)))
    def wait(self, seconds):
        self.pass_time(seconds)
        self.send(AdmissionTicked())

    @rule()
    def drain(self):
        if self.now > 10:
            self.send(DrainStarted())

    @invariant()
    def all_calls_are_accounted_for(self):
        load = self.admission.load()
        assert load.running == len(self.running)
        assert load.waiting == len(self.waiting)

    def pass_time(self, seconds):
        """Advance the clock without a tick."""
        self.now += seconds
        if seconds:
            self.refused_levels.clear()

    def check_that_late_calls_are_gone(self):
        late = {
            call_id
            for call_id in self.waiting | self.running
            if self.calls[call_id][1] < self.now
        }
        assert late <= self.aborted

    def send(self, event):
        for action in self.admission.handle(event, self.now):
            self.check(action)
        self.check_that_late_calls_are_gone()
        assert len(self.running) <= SLOTS * self.settings.max_limit_share
        assert self.admission.next_wake(self.now) >= self.now

    def check(self, action):
        level, deadline = self.calls[action.call_id]
        if isinstance(action, Abort):
            assert action.call_id in self.running - self.aborted
            self.aborted.add(action.call_id)
            return
        self.waiting.remove(action.call_id)
        if isinstance(action, Admit):
            assert self.now < deadline
            self.running.add(action.call_id)
            is_above_floor = level % RANK_COUNT >= FLOOR
            worst = min(self.refused_levels, default=NO_LEVEL)
            assert not (is_above_floor and level > worst)
            return
        assert action.retry_after_ms > 0
        if action.reason is RefusalReason.OVERLOAD:
            self.refused_levels.append(level)


AdmissionMachine.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=40,
)
TestAlways = AdmissionMachine.TestCase


class FirstChoice:
    """Picks the first of several calls."""

    def choice(self, calls):
        return calls[0]


def level_of(importance, rank=MIDDLE):
    return importance * RANK_COUNT + rank


def arrive(admission, call_id, now, *, level=0, seconds=10.0):
    event = Arrived(call_id=call_id, level=level, deadline=now + seconds)
    return admission.handle(event, now)


class TestOrder:
    """Dispatch order, and refusals for deadlines."""

    def test_free_slot_is_used_at_once(self):
        """A call that arrives while a slot is free is dispatched directly."""
        admission = Admission(AdmissionSettings(slots=1), 0)

        assert arrive(admission, 'a', 0) == [Admit('a')]

    def test_importance_precedes_arrival(self):
        """A released slot goes to the most important waiting call."""
        admission = Admission(AdmissionSettings(slots=1), 0)
        arrive(admission, 'a', 0)
        arrive(admission, 'b', 0, level=level_of(5))
        arrive(admission, 'c', 0, level=level_of(1))

        actions = admission.handle(Finished('a', was_complete=True), 0.01)

        assert actions == [Admit('c')]

    def test_call_that_cannot_finish_is_refused_at_once(self):
        """A call that cannot finish before its deadline is not queued."""
        admission = Admission(AdmissionSettings(slots=1), 0)
        arrive(admission, 'a', 0)

        actions = arrive(admission, 'b', 0, seconds=0.01)

        assert [action.reason for action in actions] == [RefusalReason.DEADLINE]

    def test_call_that_waited_too_long_is_refused(self):
        """A waiting call that can no longer finish gets no released slot."""
        admission = Admission(AdmissionSettings(slots=2), 0)
        for call_id in 'ab':
            arrive(admission, call_id, 0)
        arrive(admission, 'c', 0, seconds=0.1)

        actions = admission.handle(Finished('a', was_complete=True), 0.09)

        assert [action.reason for action in actions] == [RefusalReason.DEADLINE]

    def test_same_id_twice_is_an_error(self):
        """A call under the id of a running one is a typed error."""
        admission = Admission(AdmissionSettings(slots=1), 0)
        arrive(admission, 'a', 0)

        with pytest.raises(DuplicateCallError):
            arrive(admission, 'a', 0)

    @pytest.mark.parametrize('seconds', [0, 1])
    def test_no_worse_call_is_dispatched_as_a_better_one_is_refused(
        self,
        seconds,
    ):
        """A threshold that fell refuses none that is better than one waiting.

        The worse call is refused in its place, if the better one has time.
        """
        machine = AdmissionMachine()
        nothing = {'importance': 0, 'rank': 0, 'seconds': 0, 'delay': 0}
        machine.wait(0.001)
        for _ in range(6):
            machine.arrive(count=1, **nothing)
        machine.arrive(importance=1, rank=325, seconds=1, count=5, delay=0)
        machine.arrive(count=6, **nothing)
        machine.wait(0.1)
        machine.wait(0.1)
        worse = max(machine.waiting, key=lambda call: machine.calls[call])
        machine.arrive(
            importance=1, rank=328, seconds=seconds, count=1, delay=0
        )
        assert (worse in machine.waiting) == (not seconds)
        machine.finish(
            FirstChoice(), was_complete=False, was_shed=False, delay=0
        )


class TestDrain:
    """A target that is shutting down."""

    def test_waiting_calls_are_refused(self):
        """A drain refuses waiting and new calls; running ones finish."""
        admission = Admission(AdmissionSettings(slots=1), 0)
        arrive(admission, 'a', 0)
        arrive(admission, 'b', 0)

        refused = admission.handle(DrainStarted(), 0.01)
        refused += arrive(admission, 'c', 0.01)

        assert {action.reason for action in refused} == {RefusalReason.LEAVING}
        assert not admission.is_drained
        admission.handle(Finished('a', was_complete=True), 0.02)
        assert admission.is_drained

    def test_drain_that_cannot_finish_aborts(self):
        """A drain aborts the calls still running after its time limit."""
        limits = AdmissionSettings(slots=1, drain_seconds=5)
        admission = Admission(limits, 0)
        arrive(admission, 'a', 0, seconds=100)
        admission.handle(DrainStarted(), 0)

        assert admission.handle(AdmissionTicked(), 5) == [Abort('a')]


class TestOverload:
    """The threshold under steady overload."""

    def test_idle_target_refuses_nothing(self):
        """The threshold of an idle target is above every level."""
        admission = Admission(AdmissionSettings(slots=1), 0)
        admission.handle(AdmissionTicked(), 1)

        assert admission.threshold == OPEN_THRESHOLD

    def test_low_importance_is_refused_first(self):
        """At twice the capacity only the less important calls are refused.

        The important ones, a third of the load, fit into the capacity.
        """
        target = FakeTarget(slots=2, published=2)
        refused = {1: 0, 4: 0}
        for step in range(4000):
            importance = 4 if step % 3 else 1
            level = level_of(importance, step * 7919 % RANK_COUNT)
            refused[importance] += target.refuses(level, step * 0.005)

        assert refused[1] <= 13
        assert refused[4] > 1900

    def test_callers_that_follow_the_threshold_keep_the_target_busy(self):
        """The target refuses few calls, and its slots do not stay idle."""
        target = FakeTarget(slots=2, published=2)
        sent = 0
        refused = 0
        for step in range(8000):
            level = step * 7919 % (8 * RANK_COUNT)
            if is_refused(level, target.admission.threshold, FLOOR):
                continue
            sent += 1
            refused += target.refuses(level, step * 0.0025)

        assert sent - refused >= 1600
        assert refused <= 40


class TestLimit:
    """The limit on running calls."""

    def test_grows_when_too_few_slots_are_published(self):
        """The limit rises to the real slots of a target."""
        target = FakeTarget(slots=12, published=8)

        target.overload(seconds=20)

        assert target.admission.load().limit >= 11

    def test_stays_when_the_published_slots_are_right(self):
        """Calls beyond the real slots take longer, so the limit stays."""
        target = FakeTarget(slots=8, published=8)

        target.overload(seconds=20)

        assert target.admission.load().limit <= 10

    def test_slow_start_does_not_lower_the_limit(self):
        """A target that is slow at first keeps its published slots."""
        target = FakeTarget(slots=8, published=8)
        target.work_seconds = 0.2
        target.overload(seconds=5)
        target.work_seconds = 0.02

        target.overload(seconds=5)

        assert target.admission.load().limit >= 8

    def test_falls_when_the_target_sheds(self):
        """Calls that the target itself refuses lower the limit."""
        admission = Admission(AdmissionSettings(slots=8), 0)
        for step in range(100):
            arrive(admission, str(step), step * 0.01)
            admission.handle(
                Finished(str(step), was_complete=False, was_shed=True),
                step * 0.01,
            )

        assert admission.load().limit < 8


class TestPause:
    """A process that was paused."""

    def test_pause_changes_no_estimate(self):
        """Calls that run through a pause change no estimate."""
        target = FakeTarget(slots=8, published=8)
        for step in range(400):
            target.refuses(step % RANK_COUNT, step * 0.005)
        before = target.admission.load().service_ms

        target.ends = [(7.0, call_id) for _, call_id in target.ends]
        target.refuses(0, 7.0)

        assert target.admission.load().service_ms == before
        assert target.admission.threshold == OPEN_THRESHOLD


class FakeTarget:
    """Runs calls in its real slots; further calls wait inside it."""

    def __init__(self, *, slots, published):
        limits = AdmissionSettings(slots=published)
        self.admission = Admission(limits, 0)
        self.work_seconds = 0.02
        self.now = 0
        self.calls = 0
        self.free_at = [0 for _ in range(slots)]
        self.ends = []

    def refuses(self, level, now):
        """Send a call and return whether it was refused at once."""
        self.run(now)
        self.calls += 1
        actions = arrive(
            self.admission,
            str(self.calls),
            now,
            level=level,
            seconds=1,
        )
        self.start(actions, now)
        return any(isinstance(action, Refuse) for action in actions)

    def overload(self, *, seconds):
        """Send twice the calls that eight slots of 20 ms each can serve."""
        for _ in range(int(seconds * 800)):
            self.now += 1 / 800
            self.refuses(self.calls * 7919 % (8 * RANK_COUNT), self.now)

    def run(self, now):
        while self.ends and self.ends[0][0] <= now:
            ends_at, call_id = heappop(self.ends)
            finished = Finished(call_id, was_complete=True)
            self.start(self.admission.handle(finished, ends_at), ends_at)

    def start(self, actions, now):
        for action in actions:
            if isinstance(action, Admit):
                starts_at = max(now, heappop(self.free_at))
                heappush(self.free_at, starts_at + self.work_seconds)
                end = (starts_at + self.work_seconds, action.call_id)
                heappush(self.ends, end)
