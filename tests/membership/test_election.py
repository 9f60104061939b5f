"""A few nodes of each failure domain read the platform, come what may."""

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
TURN_SECONDS = 5
#: Timeout of the news, jitter, and the longest retry with its jitter.
BOUND_SECONDS = 60 + 60 + 90 + 2 * TURN_SECONDS
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)
ONLY_GENERATE = settings(SETTINGS, phases=[Phase.generate])


def new_election(name: str, now: float = 0) -> ReaderElection:
    """Return the election of a node of the failure domain fd1."""
    return ReaderElection(name, 'fd1', Random(name), now=now)


def elected_of(elections: dict[str, ReaderElection]) -> set[str]:
    """Return the names of those that take themselves for readers."""
    return {name for name, election in elections.items() if election.is_elected}


class TestReaderElection:
    """Who reads, and when."""

    def test_few_read(self) -> None:
        """As many nodes as asked for are elected from one list."""
        elections = [new_election(name) for name in NAMES]
        for election in elections:
            election.handle(EVERY_VM, 1)
        assert sum(one.is_elected for one in elections) == 3

    def test_silent_reader_is_replaced(self) -> None:
        """A node takes the place of a reader that it finds silent."""
        elections = {name: new_election(name) for name in NAMES}
        for started in elections.values():
            started.handle(EVERY_VM, 1)
        readers = elected_of(elections)
        for election in elections.values():
            election.handle(PeerSilent(min(readers)), 2)
        replaced = elected_of(elections)
        assert len(replaced - readers) == 1

    def test_failed_reads_back_off(self) -> None:
        """While the platform is down a node asks ever more rarely."""
        election = new_election('vm0')
        asked_at = []
        for second in range(600):
            if election.handle(MembershipTicked(), second):
                asked_at.append(second)
                election.handle(VmListReadFailed(), second)
        early = sum(asked < 60 for asked in asked_at)
        late = sum(asked >= 540 for asked in asked_at)
        assert late <= 2 < early


class Outages(RuleBasedStateMachine):
    """Nodes of one failure domain that die and return, unannounced.

    The list is stale: it names every VM at all times. Nobody reports a dead
    reader as silent. The platform goes down and comes back.
    """

    def __init__(self) -> None:
        """Begin with every node started and the platform up."""
        super().__init__()
        self.now = 0
        self.by_name = {name: new_election(name) for name in NAMES}
        self.reading: set[str] = set()
        self.is_up = True
        self.sound_since = 0
        self.read_at = 0

    @rule(turns=st.integers(1, 50))
    def wait(self, turns: int) -> None:
        """Let the timers turn; reads are answered one turn later."""
        for _ in range(turns):
            self.now += TURN_SECONDS
            self.answer_reads()
            self.spread_news()
            for name in self.by_name:
                self.tell(name, MembershipTicked())

    @rule(victims=st.sets(st.sampled_from(NAMES), min_size=1))
    def kill(self, victims: set[str]) -> None:
        """Kill some nodes."""
        for name in victims:
            self.by_name.pop(name, None)
            self.reading.discard(name)
        self.sound_since = self.now

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        """Start a node that is not there."""
        if name not in self.by_name:
            self.by_name[name] = new_election(name, self.now)
            self.sound_since = self.now

    @rule(is_up=st.booleans())
    def switch_platform(self, *, is_up: bool) -> None:
        """Let the platform go down or come back."""
        self.is_up = is_up
        self.sound_since = self.now

    @invariant()
    def somebody_reads(self) -> None:
        """While someone lives and the platform answers, news comes."""
        is_sound = self.is_up and self.by_name
        if is_sound and self.now - self.sound_since > BOUND_SECONDS:
            assert self.now - self.read_at <= BOUND_SECONDS

    def answer_reads(self) -> None:
        """Answer the reads and watches that were asked for before."""
        outcome: VmListReceived | VmListReadFailed = VmListReadFailed()
        if self.is_up:
            outcome = EVERY_VM
        answered = sorted(self.reading)
        self.reading.clear()
        if answered and self.is_up:
            self.read_at = self.now
        for name in answered:
            self.tell(name, outcome)

    def spread_news(self) -> None:
        """Tell every node the latest time of an answer."""
        age_ms = (self.now - self.read_at) * 1000
        bulletin = Bulletin(
            announcements=[],
            list_news=[],
            news_age_ms=age_ms,
        )
        for name in self.by_name:
            self.tell(name, BulletinReceived(bulletin))

    def tell(self, name: str, event: Record) -> None:
        """Let a node handle an event, and note when it reads."""
        if self.by_name[name].handle(event, self.now):
            self.reading.add(name)


Outages.TestCase.settings = SETTINGS
TestOutages = Outages.TestCase


def only_elected(election: Any, _: float) -> bool:
    """Read only when elected, the naive rule."""
    return election.is_elected or not election._has_read


class TestOutagesBite:
    """The machine fails against an election without volunteers."""

    def test_without_volunteers(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Once all the elected are dead and still listed, nobody reads."""
        monkeypatch.setattr(ReaderElection, '_should_read', only_elected)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Outages, settings=ONLY_GENERATE)
