"""State charts in files, and the adapter that runs them."""

from lovageshunt.charts._chart import Chart, Life, load_chart, parse_chart

__all__ = ['Chart', 'Life', 'load_chart', 'parse_chart']
