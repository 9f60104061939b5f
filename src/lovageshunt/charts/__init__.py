"""State charts in files, and the adapter that runs them."""

from lovageshunt.charts._chart import (
    Chart,
    ChartInstance,
    load_chart,
    parse_chart,
)

__all__ = ['Chart', 'ChartInstance', 'load_chart', 'parse_chart']
