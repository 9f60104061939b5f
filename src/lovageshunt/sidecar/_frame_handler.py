"""Handles the frames on links that belong to no call."""

from collections.abc import Callable
from logging import getLogger

from lovageshunt.links import (
    Frame,
    FrameKind,
    Greeting,
    IncomingLink,
    decode_demand,
    decode_leaving,
    decode_load,
    decode_outage,
    decode_part,
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
        '_on_dialed_by_kind',
        '_on_incoming_by_kind',
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
        self._on_dialed_by_kind: dict[int, Callable[[str, bytes], None]] = {
            FrameKind.LOAD: lambda host, payload: reports.handle_load(
                host, decode_load(payload)
            ),
            FrameKind.FLEET_PART: lambda host, payload: reports.handle_part(
                host, decode_part(payload)
            ),
            FrameKind.DEMAND: self._on_demand,
            FrameKind.PLATFORM_PULSE: lambda host, payload: news.on_pulse(
                host, decode_pulse(payload)
            ),
            FrameKind.FLEET_CHANGES: lambda _, payload: news.on_changes(
                payload
            ),
            FrameKind.LEAVING: lambda host, _: peers.note_leaving(host),
            FrameKind.TARGET_LEAVING: lambda _, payload: leaving.handle(
                decode_leaving(payload)
            ),
            FrameKind.TARGET_DOWN: lambda _, payload: fleet.note_outage(
                decode_outage(payload)
            ),
            FrameKind.SUSPECTS: lambda _, payload: suspects.apply(
                decode_reports(payload)
            ),
        }
        self._on_incoming_by_kind: dict[
            int, Callable[[IncomingLink, bytes], None]
        ] = {
            FrameKind.GREETING: self._on_greeting,
            FrameKind.SUBSCRIBE: lambda link, payload: news.on_subscribe(
                link, decode_subscription(payload)
            ),
            FrameKind.LOAD: lambda _, payload: reports.own_sums.add_load(
                decode_load(payload)
            ),
            FrameKind.DEMAND: lambda _, payload: reports.own_sums.add_demand(
                decode_demand(payload)
            ),
            FrameKind.SUSPECTS: self._on_suspects,
        }

    def on_incoming(self, link: IncomingLink, frame: Frame) -> None:
        """Handle a frame on a link that the other node opened."""
        handle = self._on_incoming_by_kind.get(frame.kind)
        if handle is None:
            self._on_snapshot(frame, link.send_frame)
        else:
            handle(link, frame.payload)

    def on_dialed(self, host: str, frame: Frame) -> None:
        """Handle a frame on a link that this node opened."""
        handle = self._on_dialed_by_kind.get(frame.kind)
        if handle is None:
            self._on_snapshot(frame, self._peers.dialer(host).send_frame)
        else:
            handle(host, frame.payload)

    def on_greeted(self, host: str, greeting: Greeting) -> None:
        """Note an established link; request newer state from its node."""
        _log.info('link established', extra={'peer': greeting.node})
        self._peers.note_connected(host)
        self._news.on_connected(host)
        reply = self._peers.dialer(host).send_frame
        self._request(greeting.revision, greeting.version, reply)

    def _on_greeting(self, link: IncomingLink, payload: bytes) -> None:
        """Tell a node that has connected what it may lack."""
        if link.peer is None:
            return
        self._request(link.peer.revision, link.peer.version, link.send_frame)
        # The node may have restarted, and news of before is lost on it.
        suspects = self._suspects.reports()
        if suspects:
            link.send_frame(FrameKind.SUSPECTS, encode_reports(suspects))

    def _on_suspects(self, link: IncomingLink, payload: bytes) -> None:
        """Apply reports, and pass them on to the nodes subscribed here."""
        self._suspects.apply(decode_reports(payload))
        self._news.send_to_subscribers(FrameKind.SUSPECTS, payload, link)

    def _on_demand(self, host: str, payload: bytes) -> None:
        """Record the demand at a node of an earlier build."""
        report = decode_demand(payload)
        self._reports.handle_demand(host, report)
        reply = self._peers.dialer(host).send_frame
        self._request(report.revision, report.version, reply)

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
