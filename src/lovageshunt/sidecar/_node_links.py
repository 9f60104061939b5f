"""The links of a node, in both directions, and what arrives on them."""

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
    OrderBook,
    OrderHandler,
    decode_load,
    decode_needs,
)
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._picture import decode_picture, encode_picture
from lovageshunt.sidecar._pressure_reports import PressureReports

_log = getLogger(__name__)

#: Writes a frame back to the node that a frame came from.
Reply = Callable[[FrameKind, bytes], None]


class LinkFrames:
    """Acts on the frames that belong to no call."""

    __slots__ = ('_fleet', '_knowledge', '_reports')

    def __init__(
        self,
        *,
        fleet: Fleet,
        fleet_state: FleetState,
        reports: PressureReports,
    ) -> None:
        """Hand each frame to the part that it is for."""
        self._fleet = fleet
        self._knowledge = fleet_state
        self._reports = reports

    def on_incoming(self, link: IncomingLink, frame: Frame) -> None:
        """Take a frame from a node that dialed here."""
        if frame.kind == FrameKind.GREETING and link.peer is not None:
            self._ask(link.peer.revision, link.peer.version, link.tell)
        else:
            self._on_picture(frame, link.tell)

    def on_dialed(self, host: str, frame: Frame) -> None:
        """Take a frame from a node that was dialed from here."""
        reply = self._fleet.dialer(host).tell
        if frame.kind == FrameKind.LOAD:
            self._reports.take_load(decode_load(frame.payload))
        elif frame.kind == FrameKind.NEEDS:
            news = decode_needs(frame.payload)
            self._reports.take_needs(news)
            self._ask(news.revision, news.version, reply)
        elif frame.kind == FrameKind.LEAVING:
            self._fleet.note_leaving(host)
        else:
            self._on_picture(frame, reply)

    def on_greeted(self, host: str, greeting: Greeting) -> None:
        """Take that a link to a node was made."""
        _log.info('link made', extra={'peer': greeting.node})
        self._fleet.note_greeted(host)
        reply = self._fleet.dialer(host).tell
        self._ask(greeting.revision, greeting.version, reply)

    def _ask(self, revision: int, version: int, reply: Reply) -> None:
        if self._knowledge.wants_from(revision, version):
            reply(FrameKind.PICTURE_WANTED, b'')

    def _on_picture(self, frame: Frame, reply: Reply) -> None:
        """Give or take a picture; pass over kinds that are not known here."""
        if frame.kind == FrameKind.PICTURE:
            self._knowledge.take_picture(decode_picture(frame.payload))
        elif frame.kind == FrameKind.PICTURE_WANTED:
            reply(
                FrameKind.PICTURE,
                encode_picture(self._knowledge.picture()),
            )


class NodeLinks:
    """Makes links to nodes and takes those that they make."""

    __slots__ = (
        '_port',
        '_greeting',
        '_numbers',
        '_book',
        '_incoming',
        'frames',
    )

    def __init__(self, *, port: int, greeting: Greeting) -> None:
        """Every node of a fleet takes links at the same port."""
        self._port = port
        self._greeting = greeting
        self._numbers = count(1)
        self._book = OrderBook()
        self._incoming: set[IncomingLink] = set()
        #: Set once the parts that act on frames are built.
        self.frames: LinkFrames | None = None

    def make_dialer(self, host: str) -> Dialer:
        """Return a link to a node, not yet made."""
        return Dialer(
            host,
            self._port,
            greeting=self._greeting,
            listener=LinkListener(
                heard=self._on_dialed,
                greeted=self._on_greeted,
            ),
            numbers=self._numbers,
        )

    def accept(self, handler: OrderHandler) -> IncomingLink:
        """Return the protocol of a link that a node makes."""
        return IncomingLink(
            handler=handler,
            book=self._book,
            greeting=self._greeting,
            open_links=self._incoming,
            heard=self._on_incoming,
        )

    def broadcast(self, kind: FrameKind, payload: bytes) -> None:
        """Tell every node that made a link here."""
        for link in self._incoming:
            link.tell(kind, payload)

    def cut(self) -> None:
        """End the links from other nodes, which make them anew."""
        for link in list(self._incoming):
            link.close()

    def _on_dialed(self, host: str, frame: Frame) -> None:
        if self.frames is not None:
            self.frames.on_dialed(host, frame)

    def _on_incoming(self, link: IncomingLink, frame: Frame) -> None:
        if self.frames is not None:
            self.frames.on_incoming(link, frame)

    def _on_greeted(self, host: str, greeting: Greeting) -> None:
        if self.frames is not None:
            self.frames.on_greeted(host, greeting)
