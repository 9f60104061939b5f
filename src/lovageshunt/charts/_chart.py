"""State charts read from JSON files, and instances that follow them."""

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
    """A state chart, validated by ``parse_chart``.

    ``next_state_by_step`` maps pairs of state and event to the next state.
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
        self.name = name
        self.initial = initial
        self.states = frozenset(states)
        self.events = frozenset(events)
        self.next_state_by_step = dict(next_state_by_step)

    def start(self) -> str:
        """Return the initial state."""
        return self.initial

    def next_state(self, state: str, event: str) -> str | None:
        """Return the state that follows ``state`` upon ``event``.

        Returns ``None`` when the state has no transition for the event.
        Raises ``UnknownChartEventError`` when the chart lacks the event.
        """
        target = self.next_state_by_step.get((state, event))
        if target is None and event not in self.events:
            raise UnknownChartEventError(self.name, event, self.events)
        return target


class ChartInstance:
    """The current state of one object that follows a chart."""

    __slots__ = ('chart', 'state')

    def __init__(self, chart: Chart) -> None:
        self.chart = chart
        self.state = chart.start()

    def step(self, event: str) -> bool:
        """Follow an event; return whether the state has a transition for it.

        The state is unchanged if it has none. Raises
        ``UnknownChartEventError`` when the chart lacks the event.
        """
        target = self.chart.next_state(self.state, event)
        if target is None:
            return False
        self.state = target
        return True


@cache
def load_chart(name: str) -> Chart:
    """Return the validated chart of ``charts/<name>.json``.

    Raises ``ChartNotFoundError`` when there is no such file and
    ``MalformedChartError`` when the chart is invalid.
    """
    source = files('lovageshunt.charts').joinpath(f'{name}.json')
    try:
        text = source.read_text(encoding='utf-8')
    except FileNotFoundError as error:
        raise ChartNotFoundError(name) from error
    return parse_chart(name, text)


def parse_chart(name: str, text: str) -> Chart:
    """Return the validated chart of a JSON text.

    Raises ``MalformedChartError`` when the text is not a chart, refers to an
    undeclared state or event, defines a transition twice, or has an
    unreachable state, a state without exit that is not final, or an event
    without a transition.
    """
    fields = _parse_fields(name, text)
    chart = Chart(
        name=name,
        initial=fields['initial'],
        states=fields['states'],
        events=fields['events'],
        next_state_by_step=_next_states(name, fields['transitions']),
    )
    faults = _find_faults(chart, frozenset(fields['final']))
    if faults:
        raise MalformedChartError(name, '; '.join(faults))
    return chart


def _parse_fields(name: str, text: str) -> dict[str, Any]:
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise MalformedChartError(name, f'{error}; correct the JSON') from error
    if not isinstance(fields, dict) or _CHART_KEYS - fields.keys():
        raise MalformedChartError(
            name,
            f'expected an object with the keys {sorted(_CHART_KEYS)}',
        )
    if fields['name'] != name:
        raise MalformedChartError(
            name,
            f'its name is {fields["name"]!r}; use the name of its file',
        )
    return fields


def _next_states(
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
                    f'transition {step} is defined twice; keep one of them',
                )
            next_state_by_step[step] = transition['to']
    return next_state_by_step


def _find_faults(chart: Chart, final: frozenset[str]) -> list[str]:
    return [
        *_unknown_states(chart, final),
        *_unknown_or_unused_events(chart),
        *_unreachable_states(chart),
        *_dead_ends(chart, final),
    ]


def _unknown_states(chart: Chart, final: frozenset[str]) -> list[str]:
    sources = {state for state, _ in chart.next_state_by_step}
    referenced = sources.union(chart.next_state_by_step.values(), final)
    return [
        f'the state {state!r} is unknown, add it to states or correct it'
        for state in sorted({chart.initial, *referenced} - chart.states)
    ]


def _unknown_or_unused_events(chart: Chart) -> list[str]:
    used = {event for _, event in chart.next_state_by_step}
    unknown = [
        f'the event {event!r} is unknown, add it to events or correct it'
        for event in sorted(used - chart.events)
    ]
    unused = [
        f'no transition has the event {event!r}, add one or remove the event'
        for event in sorted(chart.events - used)
    ]
    return unknown + unused


def _unreachable_states(chart: Chart) -> list[str]:
    reachable = {chart.initial}
    has_grown = True
    while has_grown:
        found = {
            target
            for (source, _), target in chart.next_state_by_step.items()
            if source in reachable
        }
        has_grown = not found <= reachable
        reachable |= found
    return [
        f'the state {state!r} is unreachable, add a transition to it or '
        'remove it'
        for state in sorted(chart.states - reachable)
    ]


def _dead_ends(chart: Chart, final: frozenset[str]) -> list[str]:
    sources = {state for state, _ in chart.next_state_by_step}
    return [
        f'no transition leaves the state {state!r}, add one or list the '
        'state as final'
        for state in sorted(chart.states - sources - final)
    ]
