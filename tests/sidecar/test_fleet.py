"""What a node knows of the targets that it sends calls to."""

from random import Random

from lovageshunt.calls import LoadReport, Outcome
from lovageshunt.clock import now as clock_now
from lovageshunt.links import RunAnswer
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._peers import Peers
from tests.sidecar.test_origin import no_dialer
from tests.sidecar.test_origin_call import entry


def fleet_of(*target_ids: str) -> Fleet:
    fleet = Fleet(
        own_host='127.0.0.1',
        own_port=1,
        own_failure_domain='z',
        rng=Random(1),
        peers=Peers('127.0.0.1', no_dialer),
    )
    fleet.replace_targets([entry(target_id) for target_id in target_ids])
    return fleet


def answer(load: LoadReport | None) -> RunAnswer:
    return RunAnswer(outcome=Outcome.ANSWERED, status=200, load=load)


def utilisation(fleet: Fleet, target_id: str) -> float:
    placement = fleet._placement('s')
    return placement._by_id[target_id].utilisation(clock_now())


class TestLoad:
    """The load of a target, as its answers tell."""

    def test_is_known_from_an_answer(self) -> None:
        """Guards against a rush of many nodes to a target of a second ago.

        A target with many callers reports its load to each of them once in
        0.8 s. Its answers tell it in between.
        """
        fleet = fleet_of('i-1', 'i-2')
        full = LoadReport(running=4, waiting=12, limit=4, service_ms=5)
        for _ in range(4):
            fleet.call_started(fleet.entry_by_id['i-1'])
            fleet.call_ended(
                fleet.entry_by_id['i-1'], 'k', answer(full), seconds=0.01
            )
        assert utilisation(fleet, 'i-1') > 3
        assert utilisation(fleet, 'i-2') == 0

    def test_is_kept_without_one(self) -> None:
        """An answer that tells no load changes nothing."""
        fleet = fleet_of('i-1')
        fleet.call_started(fleet.entry_by_id['i-1'])
        fleet.call_ended(
            fleet.entry_by_id['i-1'], 'k', answer(None), seconds=0.01
        )
        assert utilisation(fleet, 'i-1') == 0
