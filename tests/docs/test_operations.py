"""Check the operators' page against the code."""

import re
from pathlib import Path

import pytest

from lovageshunt.account import Account, Role
from lovageshunt.calls import RefusalReason
from lovageshunt.cli import GROUPS
from lovageshunt.observability import METRIC_SPECS, SpanRecord

PAGE = Path('docs/OPERATIONS.md').read_text(encoding='utf-8')
CODE = re.compile('`([^`\n]+)`')
QUERY_GROUPS = [group for group in GROUPS if group.name != 'node']


class TestOperations:
    """Items of the code that the page must document."""

    @pytest.mark.parametrize('spec', METRIC_SPECS, ids=lambda spec: spec.name)
    def test_metric_has_its_row(self, spec):
        """A metric's row gives its kind, labels, meaning and alert."""
        labels = ', '.join(spec.labels) or '-'
        cells = (f'`{spec.name}`', spec.kind, labels, spec.meaning, spec.alert)

        assert f'| {" | ".join(cells)} |' in PAGE

    @pytest.mark.parametrize('reason', RefusalReason)
    def test_reason_has_a_remedy(self, reason):
        """Each reason for which a call fails is listed."""
        assert f'`{reason}`' in PAGE

    @pytest.mark.parametrize(
        'group', QUERY_GROUPS, ids=lambda group: group.name
    )
    def test_group_is_shown(self, group):
        """Each command that queries nodes is shown."""
        assert f'lovageshunt {group.name}' in PAGE

    def test_shapes_are_those_of_the_code(self):
        """Each field of a snapshot, a snapshot line and a span is listed."""
        account = Account('n', 'a', 0, role=Role.CALLER)
        account.arrived('s', 'k', 1)
        snapshot = account.snapshot(1)
        line = snapshot.lines[0]
        names = {*snapshot.as_dict(), *line.as_dict(), *SpanRecord.__slots__}

        documented = set(CODE.findall(PAGE))

        assert not names - documented
