"""Some nodes of each failure domain read the platform despite failures."""

from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lovageshunt._record import Record
from lovageshunt.membership import (
    Bulletin,
    BulletinReceived,
    MembershipTicked,
    PeerSilent,
    ReaderElection,
    VmListReadFailed,
    VmListReceived,
)
from tests.membership.builders import list_received, listed

NAMES = tuple(f'vm{index}' for index in range(8))
EVERY_VM = list_received(1, *(listed(name) for name in NAMES))
TICK_SECONDS = 5
#: Maximum answer age, fallback jitter and the longest retry delay with jitter.
BOUND_SECONDS = 60 + 60 + 90 + 2 * TICK_SECONDS
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
#: With the 40 of SETTINGS, only some seeds reach the missing fallback reads.
BITE_EXAMPLES = 400
ONLY_GENERATE = settings(
    SETTINGS,
    max_examples=BITE_EXAMPLES,
    phases=[Phase.generate],
)


def new_election(name: str, now: float = 0) -> ReaderElection:
    """Return the election of a node in the failure domain fd1."""
    return ReaderElection(name, 'fd1', Random(name), now=now)


def elected_of(elections: dict[str, ReaderElection]) -> set[str]:
    """Return the names of the nodes that consider themselves readers."""
    return {name for name, election in elections.items() if election.is_elected}


class TestReaderElection:
    """Which nodes read the platform, and when."""

    def test_few_read(self) -> None:
        """The configured number of readers is elected from one list."""
        elections = [new_election(name) for name in NAMES]
        for election in elections:
            election.handle(EVERY_VM, 1)
        assert sum(election.is_elected for election in elections) == 3

    def test_silent_reader_is_replaced(self) -> None:
        """Another node replaces a reader that is silent."""
        elections = {name: new_election(name) for name in NAMES}
        for started in elections.values():
            started.handle(EVERY_VM, 1)
        readers = elected_of(elections)
        for election in elections.values():
            election.handle(PeerSilent(min(readers)), 2)
        replaced = elected_of(elections)
        assert len(replaced - readers) == 1

    def test_failed_reads_back_off(self) -> None:
        """Reads become less frequent while the platform is down."""
        election = new_election('vm0')
        read_at = []
        for second in range(600):
            if election.handle(MembershipTicked(), second):
                read_at.append(second)
                election.handle(VmListReadFailed(), second)
        early = sum(second < 60 for second in read_at)
        late = sum(second >= 540 for second in read_at)
        assert late <= 2 < early


class Outages(RuleBasedStateMachine):
    """Nodes of one failure domain that stop and return without announcement.

    The list is stale: it always contains every VM. Nobody reports a dead reader
    as silent. The platform goes down and comes back.
    """

    def __init__(self) -> None:
        """Start every node, with the platform up."""
        super().__init__()
        self.now = 0
        self.by_name = {name: new_election(name) for name in NAMES}
        self.reading: set[str] = set()
        self.is_up = True
        self.stable_since = 0
        self.read_at = 0

    @rule(ticks=st.integers(1, 50))
    def wait(self, ticks: int) -> None:
        """Advance time; reads are answered one tick later."""
        for _ in range(ticks):
            self.now += TICK_SECONDS
            self.answer_reads()
            self.spread_answer_age()
            for name in self.by_name:
                self.send(name, MembershipTicked())

    @rule(victims=st.sets(st.sampled_from(NAMES), min_size=1))
    def kill(self, victims: set[str]) -> None:
        for name in victims:
            self.by_name.pop(name, None)
            self.reading.discard(name)
        self.stable_since = self.now

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        """Start a node that is not running."""
        if name not in self.by_name:
            self.by_name[name] = new_election(name, self.now)
            self.stable_since = self.now

    @rule(is_up=st.booleans())
    def switch_platform(self, *, is_up: bool) -> None:
        self.is_up = is_up
        self.stable_since = self.now

    @invariant()
    def somebody_reads(self) -> None:
        """If a node runs and the platform is up, it is read within a bound."""
        is_stable = self.is_up and self.by_name
        if is_stable and self.now - self.stable_since > BOUND_SECONDS:
            assert self.now - self.read_at <= BOUND_SECONDS

    def answer_reads(self) -> None:
        """Answer the reads and watches requested earlier."""
        outcome: VmListReceived | VmListReadFailed = VmListReadFailed()
        if self.is_up:
            outcome = EVERY_VM
        answered = sorted(self.reading)
        self.reading.clear()
        if answered and self.is_up:
            self.read_at = self.now
        for name in answered:
            self.send(name, outcome)

    def spread_answer_age(self) -> None:
        """Report the age of the latest answer to every node."""
        age_ms = (self.now - self.read_at) * 1000
        bulletin = Bulletin(
            announcements=[],
            list_news=[],
            news_age_ms=age_ms,
        )
        for name in self.by_name:
            self.send(name, BulletinReceived(bulletin))

    def send(self, name: str, event: Record) -> None:
        """Pass an event to a node and note whether it reads."""
        if self.by_name[name].handle(event, self.now):
            self.reading.add(name)


Outages.TestCase.settings = SETTINGS
TestOutages = Outages.TestCase


def only_elected(election: Any, _: float) -> bool:
    """Read only if elected: the naive rule."""
    return election.is_elected or not election._has_read


def machine_without_readers() -> Outages:
    """Return a machine that has just killed every elected node."""
    machine = Outages()
    machine.wait(ticks=50)
    machine.somebody_reads()
    machine.kill(victims=elected_of(machine.by_name))
    return machine


class TestReadersKilled:
    """A fixed run of the rules of ``Outages``, independent of any seed."""

    def test_others_read(self) -> None:
        """Nodes that are not elected read once all elected nodes are dead."""
        machine = machine_without_readers()
        for _ in range(2):
            machine.wait(ticks=50)
            machine.somebody_reads()

    def test_without_fallback_reads(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Without fallback reads, the same run fails the invariant."""
        monkeypatch.setattr(ReaderElection, '_should_read', only_elected)
        machine = machine_without_readers()
        for _ in range(2):
            machine.wait(ticks=50)
            with pytest.raises(AssertionError):
                machine.somebody_reads()


class TestOutagesBite:
    """The state machine detects an election without fallback reads."""

    def test_without_fallback_reads(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Nobody reads once all elected nodes are dead but still listed."""
        monkeypatch.setattr(ReaderElection, '_should_read', only_elected)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Outages, settings=ONLY_GENERATE)
