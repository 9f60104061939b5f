"""Tests of validating state charts and of instances that follow them."""

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
    """Return the JSON of a valid chart with some keys replaced."""
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
    """Validation of a chart's JSON."""

    @pytest.mark.parametrize(
        ('changes', 'fault'),
        [
            ({'states': ['open']}, "'shut' is unknown"),
            ({'initial': 'ajar'}, "'ajar' is unknown"),
            ({'final': ['gone']}, "'gone' is unknown"),
            ({'states': ['open', 'shut', 'ajar']}, "'ajar' is unreachable"),
            ({'events': ['close']}, "event 'open' is unknown"),
            (
                {'events': ['close', 'open', 'knock']},
                "no transition has the event 'knock'",
            ),
            (
                {'transitions': ONE_WAY, 'events': ['close']},
                "no transition leaves the state 'shut'",
            ),
            ({'transitions': TWICE}, 'defined twice'),
            ({'transitions': [{'event': 'x'}]}, 'must have the keys'),
            ({'name': 'gate'}, 'use the name of its file'),
        ],
    )
    def test_each_fault_is_named(
        self,
        changes: dict[str, Any],
        fault: str,
    ) -> None:
        """An invalid chart is refused with the fault and its remedy."""
        with pytest.raises(MalformedChartError, match=fault):
            parse_chart('door', chart_text(**changes))

    @pytest.mark.parametrize('text', ['{', '[]', '{"name": "door"}'])
    def test_text_without_chart_is_refused(self, text: str) -> None:
        """A text that is not a chart is refused."""
        with pytest.raises(MalformedChartError):
            parse_chart('door', text)


class TestLoadChart:
    """The charts of the package."""

    @pytest.mark.parametrize(
        ('name', 'initial'),
        [('node', 'starting'), ('target', 'unknown')],
    )
    def test_packaged_charts_are_sound(self, name: str, initial: str) -> None:
        """Each chart of the package loads, with the expected initial state."""
        assert load_chart(name).start() == initial

    def test_missing_chart(self) -> None:
        """The error for an unknown name states the file to add."""
        with pytest.raises(ChartNotFoundError, match='add nothing.json'):
            load_chart('nothing')


class TestChartInstance:
    """Steps of an instance."""

    def test_follows_the_chart(self) -> None:
        """An event with a transition leads to the next state."""
        instance = ChartInstance(load_chart('node'))
        assert instance.step('serve')
        assert instance.state == 'serving'

    def test_event_without_transition(self) -> None:
        """An event without a transition leaves the state unchanged."""
        instance = ChartInstance(load_chart('node'))
        instance.step('leave')
        assert not instance.step('serve')
        assert instance.state == 'leaving'

    def test_unknown_event(self) -> None:
        """An event that the chart lacks is an error that lists its events."""
        with pytest.raises(UnknownChartEventError, match='settle'):
            ChartInstance(load_chart('node')).step('explode')
