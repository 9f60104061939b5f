"""A bar chart of call outcomes, for capacity and cost reviews."""

from collections.abc import Sequence
from typing import Final

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from lovageshunt.account import AccountLine

_OUTCOMES: Final = ('answered', 'refused', 'failed', 'unknown', 'running')
_COLOURS: Final = ('tab:green', 'tab:orange', 'tab:red', 'tab:purple', 'grey')
_WIDTH_INCHES: Final = 10
_BAR_INCHES: Final = 0.4
_MARGIN_INCHES: Final = 1.5


def write_plot(lines: Sequence[AccountLine], path: str) -> None:
    """Draw one bar per account line, stacked by outcome.

    Wasted calls are a marker on the bar, because they are already counted
    under their outcome. Raises ``ValueError`` for an unknown file extension.
    """
    height = _MARGIN_INCHES + _BAR_INCHES * len(lines)
    figure = Figure(figsize=(_WIDTH_INCHES, height), layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    labels = [f'{line.service} {line.kind} {line.importance}' for line in lines]
    offsets = [0 for _ in lines]
    for outcome, colour in zip(_OUTCOMES, _COLOURS, strict=True):
        counts = [getattr(line, outcome) for line in lines]
        axes.barh(labels, counts, left=offsets, color=colour, label=outcome)
        offsets = [sum(pair) for pair in zip(offsets, counts, strict=True)]
    wasted = [line.wasted for line in lines]
    axes.plot(wasted, labels, 'k|', markersize=12, label='wasted')
    axes.set_xlabel('calls')
    axes.legend()
    figure.savefig(path)
