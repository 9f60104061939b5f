"""Who a node sends its reports and notices to."""

from collections.abc import Callable

from lovageshunt.links import FrameKind
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._platform_news import PlatformNews

Broadcast = Callable[[FrameKind, bytes], None]


class NodeChannels:
    """Sends frames to callers, to coordinators or to all nodes.

    ``broadcast`` sends a frame on the links that other nodes opened, which are
    those that send calls here and the subscribers of a coordinator;
    ``count_links`` returns their number.
    """

    __slots__ = ('own_host', '_peers', '_news', '_broadcast', '_count_links')

    def __init__(
        self,
        *,
        own_host: str,
        peers: Peers,
        news: PlatformNews,
        broadcast: Broadcast,
        count_links: Callable[[], int],
    ) -> None:
        self.own_host = own_host
        self._peers = peers
        self._news = news
        self._broadcast = broadcast
        self._count_links = count_links

    @property
    def coordinators(self) -> tuple[str, ...]:
        """The addresses of the coordinators, as seen here."""
        return self._news.view.coordinators

    @property
    def is_coordinator(self) -> bool:
        """Whether this node is a coordinator, as seen here."""
        return self._news.view.is_coordinator

    @property
    def is_primary(self) -> bool:
        """Whether this node reports to itself."""
        return self._news.view.own_coordinator == self.own_host

    @property
    def link_count(self) -> int:
        """The number of links that other nodes have to this one."""
        return self._count_links()

    @property
    def subscriber_count(self) -> int:
        """The number of nodes that this one tells what it knows."""
        return self._news.subscriber_count

    def send_to_callers(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to the nodes that have a link to this one."""
        self._broadcast(kind, payload)

    def send_to_primary(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to the coordinator that this node reports to."""
        primary = self._news.view.own_coordinator
        if primary:
            self._peers.dialer(primary).send_frame(kind, payload)

    def send_to_subscribers(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to all subscribers of this coordinator."""
        self._news.send_to_subscribers(kind, payload)

    def send_to_all(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to all nodes, by way of the coordinators.

        Each coordinator passes it on, so that nodes may get it several times.
        """
        self._broadcast(kind, payload)
        for host in self._news.view.coordinators:
            if host != self.own_host:
                self._peers.dialer(host).send_frame(kind, payload)
