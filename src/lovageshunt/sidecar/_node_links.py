"""The links between nodes, in both directions, and their control frames."""

from collections.abc import Mapping
from itertools import count

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.links import (
    Dialer,
    Frame,
    FrameKind,
    Greeting,
    IncomingLink,
    IncomingLinks,
    LinkListener,
    OrderHandler,
    RecentOrders,
)
from lovageshunt.sidecar._frame_handler import FrameHandler


class NodeLinks:
    """Opens links to other nodes and accepts theirs.

    ``port`` is the same at every node of a fleet. ``frame_handler`` is set
    once the parts that handle frames exist; until then frames are ignored.
    ``account`` bounds what links hold.
    """

    __slots__ = (
        '_port',
        '_greeting',
        '_numbers',
        '_recent_orders',
        '_incoming',
        '_account',
        'frame_handler',
    )

    def __init__(
        self, *, port: int, greeting: Greeting, account: MemoryAccount
    ) -> None:
        self._account = account
        self._port = port
        self._greeting = greeting
        self._numbers = count(1)
        self._recent_orders = RecentOrders(account)
        self._incoming: IncomingLinks[IncomingLink] = IncomingLinks()
        self.frame_handler: FrameHandler | None = None

    def make_dialer(self, host: str) -> Dialer:
        """Return an unconnected link to the node on ``host``."""
        return Dialer(
            host,
            self._port,
            greeting=self._greeting,
            listener=LinkListener(
                on_frame=self._on_dialed,
                on_greeting=self._on_greeted,
            ),
            numbers=self._numbers,
            account=self._account,
        )

    def accept(self, handler: OrderHandler) -> IncomingLink:
        """Return the protocol for a link that another node opens."""
        return IncomingLink(
            handler=handler,
            recent_orders=self._recent_orders,
            greeting=self._greeting,
            open_links=self._incoming,
            on_frame=self._on_incoming,
            account=self._account,
        )

    @property
    def incoming_count(self) -> int:
        """The number of links that other nodes have to this one."""
        return len(self._incoming)

    @property
    def again_by_state(self) -> Mapping[str, int]:
        """How many orders arrived again, by what had become of them."""
        return self._recent_orders.again_by_state

    def broadcast(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to the nodes that have a link to this one."""
        for link in self._incoming:
            link.send_frame(kind, payload)

    def close_incoming(self) -> None:
        """Close the links from other nodes, which then reconnect."""
        for link in self._incoming:
            link.close()

    def _on_dialed(self, host: str, frame: Frame) -> None:
        if self.frame_handler is not None:
            self.frame_handler.on_dialed(host, frame)

    def _on_incoming(self, link: IncomingLink, frame: Frame) -> None:
        if self.frame_handler is not None:
            self.frame_handler.on_incoming(link, frame)

    def _on_greeted(self, host: str, greeting: Greeting) -> None:
        if self.frame_handler is not None:
            self.frame_handler.on_greeted(host, greeting)
