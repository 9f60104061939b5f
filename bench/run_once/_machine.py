"""One VM of the fleet: its node and its target."""

from collections.abc import Callable

from bench.run_once._messages import Message
from lovageshunt.calls import HomeStamp
from lovageshunt.idempotency import DepartedNode, RunOnce, RunOnceSettings

#: A node remembers who departed for as long as a request may be resent.
_MEMORY_SECONDS = 930

NodeFactory = Callable[[HomeStamp, float], RunOnce]


def make_node(home: HomeStamp, started_at: float) -> RunOnce:
    """Return a node with a table small enough to fill."""
    return RunOnce(
        node=home.node,
        incarnation=home.incarnation,
        service='payments',
        started_at=started_at,
        settings=RunOnceSettings(max_entries=2),
    )


class Machine:
    """One VM: its node, what the node lists, and its target.

    ``queue`` holds the calls that wait for admission and ``running`` the
    keys of those at the target, by call id. ``held`` is what arrived while
    the node was frozen.
    """

    __slots__ = (
        'home',
        'node',
        'listed',
        'gone',
        'queue',
        'running',
        'held',
        'frozen_at',
        'partition',
    )

    def __init__(self, home: HomeStamp, node: RunOnce) -> None:
        """Begin with nothing listed and nothing running."""
        self.home = home
        self.node = node
        self.listed: list[HomeStamp] = []
        self.gone: list[DepartedNode] = []
        self.queue: list[str] = []
        self.running: dict[str, str] = {}
        self.held: list[Message] = []
        self.frozen_at: float | None = None
        self.partition = 0

    def read(self, published: list[HomeStamp], now: float) -> None:
        """Read the published list; who is missing has departed.

        A name that is listed with another incarnation proves the end of
        the earlier one.
        """
        names = {home.node for home in published}
        self.gone.extend(
            DepartedNode(
                home=home,
                seconds_ago=-now,
                is_proved_dead=home.node in names,
            )
            for home in self.listed
            if home not in published
        )
        self.listed = [home for home in published if home != self.home]

    def departed(self, now: float) -> tuple[DepartedNode, ...]:
        """Return the nodes that this one no longer lists."""
        return tuple(
            DepartedNode(
                home=each.home,
                seconds_ago=now + each.seconds_ago,
                is_proved_dead=each.is_proved_dead,
            )
            for each in self.gone
            if each.home not in self.listed
            and now + each.seconds_ago < _MEMORY_SECONDS
        )
