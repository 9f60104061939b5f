"""The node's life, as its state chart has it."""

from lovageshunt.charts import ChartInstance, load_chart


class NodeLife:
    """Starting, settling, serving, leaving, stopped."""

    __slots__ = ('_life',)

    def __init__(self) -> None:
        """Begin in the chart's first state."""
        self._life = ChartInstance(load_chart('node'))

    @property
    def state(self) -> str:
        """Return the present state's name."""
        return self._life.state

    @property
    def is_serving(self) -> bool:
        """Return whether the node takes calls of every kind."""
        return self._life.state == 'serving'

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._life.state in {'leaving', 'stopped'}

    def step(self, event: str) -> bool:
        """Follow an event of the chart, if the state takes it."""
        return self._life.step(event)
