"""A picture of what became of calls, for those who pay for them."""

from collections.abc import Sequence
from typing import Final

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from lovageshunt.account import AccountLine

_ENDS: Final = ('answered', 'refused', 'failed', 'unknown', 'running')
_COLOURS: Final = ('tab:green', 'tab:orange', 'tab:red', 'tab:purple', 'grey')
_WIDTH_INCHES: Final = 10
_LINE_INCHES: Final = 0.4
_MARGIN_INCHES: Final = 1.5


def write_plot(lines: Sequence[AccountLine], path: str) -> None:
    """Draw a bar for each line, divided by how its calls ended.

    Wasted calls are marked on the bar, because they are among the others.
    Raises ``ValueError`` when the path's ending names no known format.
    """
    height = _MARGIN_INCHES + _LINE_INCHES * len(lines)
    figure = Figure(figsize=(_WIDTH_INCHES, height), layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    names = [f'{line.service} {line.kind} {line.importance}' for line in lines]
    ends = [0 for _ in lines]
    for end, colour in zip(_ENDS, _COLOURS, strict=True):
        counts = [getattr(line, end) for line in lines]
        axes.barh(names, counts, left=ends, color=colour, label=end)
        ends = [sum(pair) for pair in zip(ends, counts, strict=True)]
    wasted = [line.wasted for line in lines]
    axes.plot(wasted, names, 'k|', markersize=12, label='wasted')
    axes.set_xlabel('calls')
    axes.legend()
    figure.savefig(path)
