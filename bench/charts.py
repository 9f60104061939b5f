"""Compare the cost of state chart steps between interpreters.

Run ``python -m bench.charts``. All interpreters step through the same loop of
the target's chart in one run; each time is the minimum of several rounds. A
library that is not installed is omitted from the table.
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
_LOOP_COUNT: Final = 2_000
_INSTANCE_COUNT: Final = 200
_LOOP_EVENTS: Final = (
    'answer',
    'silence',
    'silence',
    'answer',
    'leave',
    'stay',
)
_NS_PER_US: Final = 1000

Step = Callable[[str], object]
StepFactory = Callable[[Chart], Step]


class _Model:
    """State holder for libraries that need a model object."""

    state: str


def lookup_step(chart: Chart) -> Step:
    """Return the step of a ``ChartInstance``, which uses the loaded chart."""
    return ChartInstance(chart).step


def own_machine_step(chart: Chart) -> Step:
    """Return the step of a ``transitions`` machine with a single model."""
    return _trigger_of(_machine_of(chart))


def shared_machine_step(chart: Chart) -> Step:
    """Return the step of one model of a shared ``transitions`` machine."""
    return _trigger_of(_shared_machine_of(chart))


def statemachine_step(chart: Chart) -> Step:
    """Return the step of a ``python-statemachine`` machine."""
    send: Step = _statemachine_kind_of(chart)().send
    return send


#: For each interpreter: label, factory of steps, and required library.
INTERPRETERS: Final = (
    ('lookup in the loaded table', lookup_step, 'lovageshunt'),
    ('transitions, shared machine', shared_machine_step, 'transitions'),
    ('transitions, own machine', own_machine_step, 'transitions'),
    ('python-statemachine', statemachine_step, 'statemachine'),
)


def step_microseconds(make: StepFactory, chart: Chart) -> float:
    """Return the time of one step, the minimum over several rounds."""
    step = make(chart)
    rounds = []
    for _ in range(_ROUNDS):
        started_ns = perf_counter_ns()
        for _ in range(_LOOP_COUNT):
            for event in _LOOP_EVENTS:
                step(event)
        rounds.append(perf_counter_ns() - started_ns)
    return min(rounds) / (_LOOP_COUNT * len(_LOOP_EVENTS)) / _NS_PER_US


def instance_bytes(make: StepFactory, chart: Chart) -> float:
    """Return the memory of an additional instance, in bytes."""
    make(chart)
    gc.collect()
    tracemalloc.start()
    instances = [make(chart) for _ in range(_INSTANCE_COUNT)]
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / len(instances)


def main() -> None:
    """Print time and memory for each installed interpreter."""
    chart = load_chart('target')
    rows = [
        f'| {label} | {step_microseconds(make, chart):.2f} '
        f'| {instance_bytes(make, chart):.0f} |'
        for label, make, library in INTERPRETERS
        if find_spec(library) is not None
    ]
    lines = ('| way | µs a step | bytes a life |', '| --- | ---: | ---: |')
    sys.stdout.write('\n'.join((*lines, *rows, '')))


def _transitions_of(chart: Chart) -> list[list[str]]:
    return [
        [event, source, target]
        for (source, event), target in chart.next_state_by_step.items()
    ]


def _machine_of(chart: Chart) -> Any:
    return import_module('transitions').Machine(
        model=None,
        states=sorted(chart.states),
        initial=chart.initial,
        transitions=_transitions_of(chart),
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
    for event, source, target in _transitions_of(chart):
        step = states[source].to(states[target])
        events[event] = events[event] | step if event in events else step
    return type('_Machine', (library.StateMachine,), states | events)


if __name__ == '__main__':
    main()
