"""State charts read from files, and lives that follow them."""

from collections.abc import Collection, Mapping
from functools import cache
from importlib.resources import files
from typing import Any, Final

import orjson

from lovageshunt.errors import (
    ChartNotFoundError,
    MalformedChartError,
    UnknownChartEventError,
)

_CHART_KEYS: Final = frozenset(
    ('name', 'states', 'events', 'initial', 'final', 'transitions'),
)
_TRANSITION_KEYS: Final = frozenset(('event', 'from', 'to'))


class Chart:
    """A checked state chart: which event leads from which state to which.

    ``next_state_by_step`` maps a pair of state and event to the next state.
    """

    __slots__ = ('name', 'initial', 'states', 'events', 'next_state_by_step')

    def __init__(
        self,
        *,
        name: str,
        initial: str,
        states: Collection[str],
        events: Collection[str],
        next_state_by_step: Mapping[tuple[str, str], str],
    ) -> None:
        """Keep the table; ``parse_chart`` checks it."""
        self.name = name
        self.initial = initial
        self.states = frozenset(states)
        self.events = frozenset(events)
        self.next_state_by_step = dict(next_state_by_step)

    def start(self) -> str:
        """Return the state in which every life begins."""
        return self.initial

    def next_state(self, state: str, event: str) -> str | None:
        """Return where ``event`` leads from ``state``.

        Returns ``None`` when the state does not take the event. Raises
        ``UnknownChartEventError`` when no state of the chart takes it.
        """
        target = self.next_state_by_step.get((state, event))
        if target is None and event not in self.events:
            raise UnknownChartEventError(self.name, event, self.events)
        return target


class ChartInstance:
    """One thing's way through a chart."""

    __slots__ = ('chart', 'state')

    def __init__(self, chart: Chart) -> None:
        """Begin in the chart's initial state."""
        self.chart = chart
        self.state = chart.start()

    def step(self, event: str) -> bool:
        """Follow an event; return whether the present state takes it.

        Raises ``UnknownChartEventError`` when no state of the chart does.
        """
        target = self.chart.next_state(self.state, event)
        if target is None:
            return False
        self.state = target
        return True


@cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.json``, checked.

    Raises ``ChartNotFoundError`` when there is no such file and
    ``MalformedChartError`` when the chart has a fault.
    """
    source = files('lovageshunt.charts').joinpath(f'{name}.json')
    try:
        text = source.read_text(encoding='utf-8')
    except FileNotFoundError as error:
        raise ChartNotFoundError(name) from error
    return parse_chart(name, text)


def parse_chart(name: str, text: str) -> Chart:
    """Return the chart in a JSON text.

    Raises ``MalformedChartError`` when the text is no chart, names a state
    or event that is not declared, tells a step twice, or has a state that
    cannot be reached, one that cannot be left though it is not final, or an
    event that no state takes.
    """
    fields = _fields_of(name, text)
    chart = Chart(
        name=name,
        initial=fields['initial'],
        states=fields['states'],
        events=fields['events'],
        next_state_by_step=_steps_of(name, fields['transitions']),
    )
    faults = _faults_of(chart, frozenset(fields['final']))
    if faults:
        raise MalformedChartError(name, '; '.join(faults))
    return chart


def _fields_of(name: str, text: str) -> dict[str, Any]:
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise MalformedChartError(name, f'{error}; mend the JSON') from error
    if not isinstance(fields, dict) or _CHART_KEYS - fields.keys():
        raise MalformedChartError(
            name,
            f'it must be an object with the keys {sorted(_CHART_KEYS)}',
        )
    if fields['name'] != name:
        raise MalformedChartError(
            name,
            f'it calls itself {fields["name"]!r}; name it as its file',
        )
    return fields


def _steps_of(
    name: str,
    transitions: list[dict[str, Any]],
) -> dict[tuple[str, str], str]:
    next_state_by_step: dict[tuple[str, str], str] = {}
    for transition in transitions:
        if transition.keys() != _TRANSITION_KEYS:
            raise MalformedChartError(
                name,
                f'transition {transition!r} must have the keys '
                f'{sorted(_TRANSITION_KEYS)}',
            )
        for source in transition['from']:
            step = (source, transition['event'])
            if step in next_state_by_step:
                raise MalformedChartError(
                    name,
                    f'the step {step} is told twice; keep one transition',
                )
            next_state_by_step[step] = transition['to']
    return next_state_by_step


def _faults_of(chart: Chart, final: frozenset[str]) -> list[str]:
    return [
        *_unknown_states(chart, final),
        *_wrong_events(chart),
        *_unreachable_states(chart),
        *_dead_ends(chart, final),
    ]


def _unknown_states(chart: Chart, final: frozenset[str]) -> list[str]:
    sources = {state for state, _ in chart.next_state_by_step}
    named = sources.union(chart.next_state_by_step.values(), final)
    return [
        f'the state {state!r} is unknown, list it in states or mend its name'
        for state in sorted({chart.initial, *named} - chart.states)
    ]


def _wrong_events(chart: Chart) -> list[str]:
    taken = {event for _, event in chart.next_state_by_step}
    unknown = [
        f'the event {event!r} is unknown, list it in events or mend its name'
        for event in sorted(taken - chart.events)
    ]
    idle = [
        f'no state takes the event {event!r}, add a transition or remove it'
        for event in sorted(chart.events - taken)
    ]
    return unknown + idle


def _unreachable_states(chart: Chart) -> list[str]:
    reached = {chart.initial}
    grown = True
    while grown:
        found = {
            target
            for (source, _), target in chart.next_state_by_step.items()
            if source in reached
        }
        grown = not found <= reached
        reached |= found
    return [
        f'the state {state!r} cannot be reached, add a transition to it or '
        'remove it'
        for state in sorted(chart.states - reached)
    ]


def _dead_ends(chart: Chart, final: frozenset[str]) -> list[str]:
    sources = {state for state, _ in chart.next_state_by_step}
    return [
        f'no event leaves the state {state!r}, add a transition or list it '
        'as final'
        for state in sorted(chart.states - sources - final)
    ]
