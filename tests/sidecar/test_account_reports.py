"""What client accounts use, on its way through reports and sums."""

from typing import Any

import orjson
import pytest

from lovageshunt.links import (
    DemandReport,
    compress,
    decode_demand,
    decode_part,
    encode_demand,
    encode_part,
)
from lovageshunt.pressure import FleetPart, PartSums

MANY = 10_000


def report(**fields: Any) -> DemandReport:
    return DemandReport(
        node='n',
        service='s',
        seconds=0.8,
        arrived_by_kind={},
        seconds_by_kind={},
        calls_by_kind_by_kind={},
        retries_by_service={},
        revision=1,
        version=1,
        **fields,
    )


def part_of(sums: PartSums) -> FleetPart:
    return decode_part(encode_part(sums.total('c', 1)))


class TestDemandReport:
    """The report of one node."""

    @pytest.mark.parametrize('fields', [{}, {'has_accounts': False}])
    def test_is_read_by_an_earlier_build_without_accounts(
        self, fields: dict[str, object]
    ) -> None:
        """It refuses fields that it does not know, so they are left out."""
        known = orjson.loads(encode_demand(report(**fields)))
        assert 'account' not in ' '.join(known)

    def test_carries_what_accounts_use(self) -> None:
        """What is encoded comes back."""
        sent = report(
            asked_by_account={'a': 5.0},
            admitted_by_account={'a': 4.0},
            has_accounts=True,
        )
        assert decode_demand(encode_demand(sent)) == sent


class TestSums:
    """The sums of a coordinator."""

    def test_adds_up_the_nodes(self) -> None:
        """Asked and admitted requests are summed over the nodes."""
        sums = PartSums()
        for node in ('n1', 'n2'):
            sums.add_account_use(node, {'a': 3}, {'a': 2}, 0.5)
        part = part_of(sums)
        assert part.asked_by_account == {'a': 6}
        assert part.admitted_by_account == {'a': 4}

    def test_holds_the_accounts_that_ask_most(self) -> None:
        """Bytes do not grow with the accounts: 10,000 of them fit in 4 KiB."""
        sums = PartSums()
        rates = {f'account-{number}': number for number in range(MANY)}
        sums.add_account_use('n', rates, rates, 0.5)
        part = part_of(sums)
        assert len(part.asked_by_account) == 256
        assert f'account-{MANY - 1}' in part.asked_by_account
        assert len(encode_part(sums.total('c', 1))) < 4096

    def test_reads_sums_of_an_earlier_build(self) -> None:
        """A coordinator of an earlier build knows nothing of accounts."""
        fields = PartSums().total('c', 1).as_dict()
        fields.pop('asked_by_account')
        fields.pop('admitted_by_account')
        part = decode_part(compress(orjson.dumps(fields)))
        assert part.asked_by_account == {}
