"""When a coordinator sends its sums."""

from random import Random

import pytest

from lovageshunt.calls import LoadReport
from lovageshunt.clock import now as clock_now
from lovageshunt.links import FrameKind, TargetLoadReport
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._coordinator_sums import CoordinatorSums
from lovageshunt.sidecar._node_channels import NodeChannels
from tests.sidecar.test_client_accounts import account
from tests.sidecar.test_fleet import fleet_of
from tests.sidecar.world import configuration


class Subscribers(NodeChannels):
    """A few subscribers that frames are sent to."""

    def __init__(self) -> None:
        self.sent: list[FrameKind] = []

    @property
    def subscriber_count(self) -> int:
        return 6

    def send_to_subscribers(self, kind: FrameKind, payload: bytes) -> None:
        self.sent.append(kind)


def sums_of(accounts: ClientAccounts | None = None) -> CoordinatorSums:
    return CoordinatorSums(
        fleet=fleet_of('i-1'),
        channels=Subscribers(),
        node='n',
        accounts=accounts or ClientAccounts(Random(1)),
    )


def report(share: float, refused_per_second: float) -> TargetLoadReport:
    return TargetLoadReport(
        target_id='i-1',
        load=LoadReport(running=1, waiting=0, limit=4, service_ms=5),
        share=share,
        sent_per_second=100,
        refused_per_second=refused_per_second,
    )


class TestTakeDue:
    """Sums are sent each 0.8 s, and faster when it matters."""

    @pytest.mark.parametrize(
        ('share', 'refused', 'is_due'),
        [(1, 0, False), (0.5, 0, True), (1, 55, True)],
        ids=['room', 'too little room', 'refused calls'],
    )
    def test_is_due_at_once_when_a_target_is_short(
        self, share: float, refused: float, is_due: bool
    ) -> None:
        """Guards against first hops that learn of refused calls 0.8 s late."""
        sums = sums_of()
        now = clock_now()
        assert sums.take_due(now) is not None
        sums.add_load(report(share, refused))
        assert (sums.take_due(now + 0.2) is not None) is is_due

    def test_is_due_at_once_when_an_account_is_over_its_limit(self) -> None:
        """What it is owed and owes changes quickly then."""
        accounts = ClientAccounts(Random(1))
        accounts.over_limit = frozenset(('a',))
        sums = sums_of(accounts)
        now = clock_now()
        assert sums.take_due(now) is not None
        assert sums.take_due(now + 0.05) is None
        assert sums.take_due(now + 0.2) is not None

    def test_is_due_twice_as_often_while_there_are_accounts(self) -> None:
        """Guards against QUOTA: a step is admitted until the sums tell."""
        accounts = ClientAccounts(Random(1))
        accounts.apply(configuration('s', accounts=(account(),)), 0)
        sums = sums_of(accounts)
        now = clock_now()
        assert sums.take_due(now) is not None
        assert sums.take_due(now + 0.3) is None
        assert sums.take_due(now + 0.41) is not None
