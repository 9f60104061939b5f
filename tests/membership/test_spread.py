"""Membership updates reach every node that needs them after network faults."""

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from bench.membership_fleet import Fleet
from lovageshunt.membership import LeaveStarted

SIZE = 12
BOOT_SECONDS = 10
SETTLE_SECONDS = 40
SETTINGS = settings(
    max_examples=10,
    stateful_step_count=10,
    suppress_health_check=list(HealthCheck),
)
ONLY_GENERATE = settings(SETTINGS, phases=[Phase.generate])

vms = st.integers(0, SIZE - 1).map('vm-{:05d}'.format)


class Trouble(RuleBasedStateMachine):
    """Nodes leave and restart while messages are lost and regions are cut off.

    The platform's list never changes: all updates come from the nodes.
    """

    def __init__(self) -> None:
        """Start with a fleet in which all nodes know each other."""
        super().__init__()
        self.fleet = Fleet(SIZE)
        self.fleet.run(BOOT_SECONDS)

    @rule(name=vms)
    def leave(self, name: str) -> None:
        self.fleet.tell(self.fleet.by_name[name], LeaveStarted())

    @rule(name=vms)
    def restart(self, name: str) -> None:
        """Replace a node by its next incarnation."""
        self.fleet.run(1)
        self.fleet.restart(name)

    @rule(are_cut=st.booleans(), loss=st.sampled_from([0, 0.3]))
    def trouble(self, *, are_cut: bool, loss: float) -> None:
        """Cut off or join the regions, and set the share of lost messages."""
        self.fleet.regions_are_cut = are_cut
        self.fleet.loss = loss

    @rule(seconds=st.sampled_from([1, 5, 60]))
    def wait(self, seconds: int) -> None:
        self.fleet.run(seconds)

    @rule()
    def settle(self) -> None:
        """End all faults; every node must then know who may receive calls."""
        self.trouble(are_cut=False, loss=0)
        self.fleet.run(SETTLE_SECONDS)
        nodes = self.fleet.by_name.values()
        for node in nodes:
            for service in node.needed:
                members = node.view.members_of(service)
                offered = {member.name for member in members}
                assert offered == {
                    other.own.name
                    for other in nodes
                    if other.own.service == service
                    and not other.view.own.is_leaving
                    and other is not node
                }


Trouble.TestCase.settings = SETTINGS
TestTrouble = Trouble.TestCase


def nothing_missing(*_: Any) -> list[Any]:
    """Report that a peer lacks nothing, as if there were no digests."""
    return []


class TestTroubleBites:
    """The state machine detects a fleet that exchanges no digests."""

    def test_without_digests(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An update sent while a region is cut off never arrives there."""
        monkeypatch.setattr(
            'lovageshunt.membership._announcement_store.AnnouncementStore.missing',
            nothing_missing,
        )
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Trouble, settings=ONLY_GENERATE)
