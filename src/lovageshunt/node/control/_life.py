"""The node's life-cycle state, driven by its state chart."""

from lovageshunt.charts import ChartInstance, load_chart


class NodeLife:
    """Holds the life-cycle state of a node.

    The states are starting, settling, serving, leaving and stopped.
    """

    __slots__ = ('_life',)

    def __init__(self) -> None:
        self._life = ChartInstance(load_chart('node'))

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self._life.state

    @property
    def is_serving(self) -> bool:
        """Return whether the node accepts calls of every kind."""
        return self._life.state == 'serving'

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop has started or ended."""
        return self._life.state in {'leaving', 'stopped'}

    def step(self, event: str) -> bool:
        """Apply an event of the chart; return false if the state ignores it."""
        return self._life.step(event)
