"""State charts, defined in JSON files, and instances that follow them."""

from lovageshunt.charts._chart import (
    Chart,
    ChartInstance,
    load_chart,
    parse_chart,
)

__all__ = ['Chart', 'ChartInstance', 'load_chart', 'parse_chart']
