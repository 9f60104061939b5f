"""What a step of a state chart costs with each way to interpret it.

Run ``python -m bench.charts``. All ways follow the target's chart around one
loop in the same run; each figure is the best of several rounds. A library
that is not installed is left out of the table.
"""

import gc
import sys
import tracemalloc
from collections.abc import Callable
from functools import cache
from importlib import import_module
from importlib.util import find_spec
from time import perf_counter_ns
from typing import Any, Final

from lovageshunt.charts import Chart, ChartInstance, load_chart

_ROUNDS: Final = 5
_LOOPS: Final = 2_000
_LIVES: Final = 200
_LOOP: Final = ('answer', 'silence', 'silence', 'answer', 'leave', 'stay')
_NS_PER_US: Final = 1000

Step = Callable[[str], object]
MakeLife = Callable[[Chart], Step]


class _Model:
    """Something with a state, for a library that wants a model."""

    state: str


def lookup_life(chart: Chart) -> Step:
    """Return the step of a life that looks its chart up."""
    return ChartInstance(chart).step


def own_machine_life(chart: Chart) -> Step:
    """Return the step of a ``transitions`` machine made for one life."""
    return _trigger_of(_machine_of(chart))


def shared_machine_life(chart: Chart) -> Step:
    """Return the step of one model of a shared ``transitions`` machine."""
    return _trigger_of(_shared_machine_of(chart))


def statemachine_life(chart: Chart) -> Step:
    """Return the step of a ``python-statemachine`` machine."""
    send: Step = _statemachine_kind_of(chart)().send
    return send


#: Each way: its label, how it makes a life, and the library that it needs.
WAYS: Final = (
    ('lookup in the loaded table', lookup_life, 'lovageshunt'),
    ('transitions, shared machine', shared_machine_life, 'transitions'),
    ('transitions, own machine', own_machine_life, 'transitions'),
    ('python-statemachine', statemachine_life, 'statemachine'),
)


def step_microseconds(make: MakeLife, chart: Chart) -> float:
    """Return the time of one step, the best of several rounds."""
    step = make(chart)
    rounds = []
    for _ in range(_ROUNDS):
        began = perf_counter_ns()
        for _ in range(_LOOPS):
            for event in _LOOP:
                step(event)
        rounds.append(perf_counter_ns() - began)
    return min(rounds) / (_LOOPS * len(_LOOP)) / _NS_PER_US


def life_bytes(make: MakeLife, chart: Chart) -> float:
    """Return the memory that one more life takes, in bytes."""
    make(chart)
    gc.collect()
    tracemalloc.start()
    lives = [make(chart) for _ in range(_LIVES)]
    gc.collect()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken / len(lives)


def main() -> None:
    """Print the table."""
    chart = load_chart('target')
    rows = [
        f'| {label} | {step_microseconds(make, chart):.2f} '
        f'| {life_bytes(make, chart):.0f} |'
        for label, make, library in WAYS
        if find_spec(library) is not None
    ]
    lines = ('| way | µs a step | bytes a life |', '| --- | ---: | ---: |')
    sys.stdout.write('\n'.join((*lines, *rows, '')))


def _listed(chart: Chart) -> list[list[str]]:
    return [
        [event, source, target]
        for (source, event), target in chart.next_state_by_step.items()
    ]


def _machine_of(chart: Chart) -> Any:
    return import_module('transitions').Machine(
        model=None,
        states=sorted(chart.states),
        initial=chart.initial,
        transitions=_listed(chart),
        auto_transitions=False,
    )


@cache
def _shared_machine_of(chart: Chart) -> Any:
    return _machine_of(chart)


def _trigger_of(machine: Any) -> Step:
    model = _Model()
    machine.add_model(model)
    trigger: Step = model.trigger  # type: ignore[attr-defined]
    return trigger


@cache
def _statemachine_kind_of(chart: Chart) -> Any:
    library = import_module('statemachine')
    states = {
        name: library.State(name, initial=name == chart.initial)
        for name in sorted(chart.states)
    }
    events: dict[str, Any] = {}
    for event, source, target in _listed(chart):
        step = states[source].to(states[target])
        events[event] = events[event] | step if event in events else step
    return type('_Machine', (library.StateMachine,), states | events)


if __name__ == '__main__':
    main()
