"""A VM of the fleet with its node and its target."""

from collections.abc import Callable

from bench.run_once._messages import Message
from lovageshunt.calls import HomeNode
from lovageshunt.idempotency import DepartedNode, RunOnce, RunOnceSettings

#: Departed nodes are kept for as long as a request may be resent.
_DEPARTED_RETENTION_SECONDS = 930

NodeFactory = Callable[[HomeNode, float], RunOnce]


def make_node(home: HomeNode, started_at: float) -> RunOnce:
    """Return a node whose table holds two entries, so that it fills up."""
    return RunOnce(
        node=home.node,
        incarnation=home.incarnation,
        service='payments',
        started_at=started_at,
        settings=RunOnceSettings(max_entries=2),
    )


class Machine:
    """A VM: its node, the node's peer list, and the calls at its target.

    ``listed`` holds the peers and ``gone`` the departed nodes; in ``gone``,
    ``seconds_ago`` is the negated time of departure. ``queue`` holds the ids
    of calls that wait for admission, ``running`` the keys of the calls at
    the target by call id, ``buffered`` the messages that arrived while the
    node was suspended. ``frozen_at`` is in seconds. Only VMs with the same
    ``partition`` reach each other.
    """

    __slots__ = (
        'home',
        'node',
        'listed',
        'gone',
        'queue',
        'running',
        'buffered',
        'frozen_at',
        'partition',
    )

    def __init__(self, home: HomeNode, node: RunOnce) -> None:
        self.home = home
        self.node = node
        self.listed: list[HomeNode] = []
        self.gone: list[DepartedNode] = []
        self.queue: list[str] = []
        self.running: dict[str, str] = {}
        self.buffered: list[Message] = []
        self.frozen_at: float | None = None
        self.partition = 0

    def read(self, published: list[HomeNode], now: float) -> None:
        """Apply the published list; peers missing from it have departed.

        If a name is listed with another incarnation, the earlier one is
        proved dead.
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
        """Return recently departed nodes, with seconds since departure."""
        return tuple(
            DepartedNode(
                home=each.home,
                seconds_ago=now + each.seconds_ago,
                is_proved_dead=each.is_proved_dead,
            )
            for each in self.gone
            if each.home not in self.listed
            and now + each.seconds_ago < _DEPARTED_RETENTION_SECONDS
        )
