"""Charts are checked when they are read, and lives follow them."""

from typing import Any

import orjson
import pytest

from lovageshunt.charts import ChartInstance, load_chart, parse_chart
from lovageshunt.errors import (
    ChartNotFoundError,
    MalformedChartError,
    UnknownChartEventError,
)


def chart_text(**changes: Any) -> str:
    """Return a sound chart's text with some keys changed."""
    fields = {
        'name': 'door',
        'states': ['open', 'shut'],
        'events': ['close', 'open'],
        'initial': 'open',
        'final': [],
        'transitions': [
            {'event': 'close', 'from': ['open'], 'to': 'shut'},
            {'event': 'open', 'from': ['shut'], 'to': 'open'},
        ],
    }
    return orjson.dumps(fields | changes).decode()


ONE_WAY = [{'event': 'close', 'from': ['open'], 'to': 'shut'}]
TWICE = [{'event': 'close', 'from': ['open', 'open'], 'to': 'shut'}]


class TestParseChart:
    """What makes a chart's text sound."""

    @pytest.mark.parametrize(
        ('changes', 'fault'),
        [
            ({'states': ['open']}, "'shut' is unknown"),
            ({'initial': 'ajar'}, "'ajar' is unknown"),
            ({'final': ['gone']}, "'gone' is unknown"),
            ({'states': ['open', 'shut', 'ajar']}, "'ajar' cannot be reached"),
            ({'events': ['close']}, "event 'open' is unknown"),
            ({'events': ['close', 'open', 'knock']}, "takes the event 'knock'"),
            (
                {'transitions': ONE_WAY, 'events': ['close']},
                "no event leaves the state 'shut'",
            ),
            ({'transitions': TWICE}, 'told twice'),
            ({'transitions': [{'event': 'x'}]}, 'must have the keys'),
            ({'name': 'gate'}, 'name it as its file'),
        ],
    )
    def test_each_fault_is_named(
        self,
        changes: dict[str, Any],
        fault: str,
    ) -> None:
        """A faulty chart is refused with the fault and its remedy."""
        with pytest.raises(MalformedChartError, match=fault):
            parse_chart('door', chart_text(**changes))

    @pytest.mark.parametrize('text', ['{', '[]', '{"name": "door"}'])
    def test_no_chart(self, text: str) -> None:
        """A text that is no chart at all is refused."""
        with pytest.raises(MalformedChartError):
            parse_chart('door', text)


class TestLoadChart:
    """The charts that come with the package."""

    @pytest.mark.parametrize(
        ('name', 'initial'),
        [('node', 'starting'), ('target', 'unknown')],
    )
    def test_packaged_charts_are_sound(self, name: str, initial: str) -> None:
        """Each chart of the package loads and begins where it should."""
        assert load_chart(name).start() == initial

    def test_missing_chart(self) -> None:
        """A name without a file is refused with the file to add."""
        with pytest.raises(ChartNotFoundError, match='add nothing.json'):
            load_chart('nothing')


class TestLife:
    """One thing's way through a chart."""

    def test_follows_the_chart(self) -> None:
        """An event that the state takes leads to the next state."""
        life = ChartInstance(load_chart('node'))
        assert life.step('serve')
        assert life.state == 'serving'

    def test_event_not_taken(self) -> None:
        """An event that the state does not take changes nothing."""
        life = ChartInstance(load_chart('node'))
        life.step('leave')
        assert not life.step('serve')
        assert life.state == 'leaving'

    def test_unknown_event(self) -> None:
        """An event that no state takes is an error that lists the events."""
        with pytest.raises(UnknownChartEventError, match='settle'):
            ChartInstance(load_chart('node')).step('explode')
