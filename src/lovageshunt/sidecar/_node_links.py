"""The links between nodes, in both directions, and their control frames."""

from collections.abc import Callable
from itertools import count
from logging import getLogger

from lovageshunt.links import (
    Dialer,
    Frame,
    FrameKind,
    Greeting,
    IncomingLink,
    LinkListener,
    OrderHandler,
    RecentOrders,
    decode_demand,
    decode_leaving,
    decode_load,
    decode_outage,
    decode_pulse,
    decode_subscription,
)
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._leaving import LeavingTargets
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._platform_news import PlatformNews
from lovageshunt.sidecar._pressure_reports import PressureReports
from lovageshunt.sidecar._snapshot import decode_snapshot, encode_snapshot
from lovageshunt.sidecar._suspects import (
    Suspects,
    decode_reports,
    encode_reports,
)

_log = getLogger(__name__)

#: Sends a frame back to the node that a frame came from.
Reply = Callable[[FrameKind, bytes], None]


class FrameHandler:
    """Handles the frames that belong to no call."""

    __slots__ = (
        '_peers',
        '_fleet_state',
        '_reports',
        '_suspects',
        '_news',
        '_handler_by_kind',
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        peers: Peers,
        fleet_state: FleetState,
        reports: PressureReports,
        leaving: LeavingTargets,
        suspects: Suspects,
        news: PlatformNews,
    ) -> None:
        self._suspects = suspects
        self._news = news
        self._peers = peers
        self._fleet_state = fleet_state
        self._reports = reports
        self._handler_by_kind: dict[int, Callable[[bytes], None]] = {
            FrameKind.LOAD: lambda payload: reports.handle_load(
                decode_load(payload)
            ),
            FrameKind.TARGET_LEAVING: lambda payload: leaving.handle(
                decode_leaving(payload)
            ),
            FrameKind.TARGET_DOWN: lambda payload: fleet.note_outage(
                decode_outage(payload)
            ),
            FrameKind.SUSPECTS: lambda payload: suspects.apply(
                decode_reports(payload)
            ),
            FrameKind.FLEET_CHANGES: news.on_changes,
        }

    def on_incoming(self, link: IncomingLink, frame: Frame) -> None:
        """Handle a frame on a link that the other node opened."""
        if frame.kind == FrameKind.GREETING and link.peer is not None:
            self._request(
                link.peer.revision, link.peer.version, link.send_frame
            )
            # The node may have restarted, and news of before is lost on it.
            suspects = self._suspects.reports()
            if suspects:
                link.send_frame(FrameKind.SUSPECTS, encode_reports(suspects))
        elif frame.kind == FrameKind.SUBSCRIBE:
            self._news.on_subscribe(link, decode_subscription(frame.payload))
        else:
            self._on_snapshot(frame, link.send_frame)

    def on_dialed(self, host: str, frame: Frame) -> None:
        """Handle a frame on a link that this node opened."""
        reply = self._peers.dialer(host).send_frame
        handle = self._handler_by_kind.get(frame.kind)
        if handle is not None:
            handle(frame.payload)
            return
        if frame.kind == FrameKind.DEMAND:
            report = decode_demand(frame.payload)
            self._reports.handle_demand(report)
            self._request(report.revision, report.version, reply)
        elif frame.kind == FrameKind.PLATFORM_PULSE:
            self._news.on_pulse(host, decode_pulse(frame.payload))
        elif frame.kind == FrameKind.LEAVING:
            self._peers.note_leaving(host)
        else:
            self._on_snapshot(frame, reply)

    def on_greeted(self, host: str, greeting: Greeting) -> None:
        """Note an established link; request newer state from its node."""
        _log.info('link established', extra={'peer': greeting.node})
        self._peers.note_connected(host)
        self._news.on_connected(host)
        reply = self._peers.dialer(host).send_frame
        self._request(greeting.revision, greeting.version, reply)

    def _request(self, revision: int, version: int, reply: Reply) -> None:
        if self._fleet_state.should_request(revision, version):
            reply(FrameKind.SNAPSHOT_REQUEST, b'')

    def _on_snapshot(self, frame: Frame, reply: Reply) -> None:
        """Apply or send a snapshot; ignore frames of unknown kinds."""
        if frame.kind == FrameKind.SNAPSHOT:
            self._fleet_state.apply_snapshot(decode_snapshot(frame.payload))
        elif frame.kind == FrameKind.SNAPSHOT_REQUEST:
            reply(
                FrameKind.SNAPSHOT,
                encode_snapshot(self._fleet_state.snapshot()),
            )


class NodeLinks:
    """Opens links to other nodes and accepts theirs.

    ``port`` is the same at every node of a fleet. ``frame_handler`` is set
    once the parts that handle frames exist; until then frames are ignored.
    """

    __slots__ = (
        '_port',
        '_greeting',
        '_numbers',
        '_recent_orders',
        '_incoming',
        'frame_handler',
    )

    def __init__(self, *, port: int, greeting: Greeting) -> None:
        self._port = port
        self._greeting = greeting
        self._numbers = count(1)
        self._recent_orders = RecentOrders()
        self._incoming: set[IncomingLink] = set()
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
        )

    def accept(self, handler: OrderHandler) -> IncomingLink:
        """Return the protocol for a link that another node opens."""
        return IncomingLink(
            handler=handler,
            recent_orders=self._recent_orders,
            greeting=self._greeting,
            open_links=self._incoming,
            on_frame=self._on_incoming,
        )

    def broadcast(self, kind: FrameKind, payload: bytes) -> None:
        """Send a frame to every node that has a link to this one."""
        for link in self._incoming:
            link.send_frame(kind, payload)

    def close_incoming(self) -> None:
        """Close the links from other nodes, which then reconnect."""
        for link in list(self._incoming):
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
