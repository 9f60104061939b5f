"""Spreads what a few nodes read of the platform to all others.

Every node is subscribed to the elected readers. These send a pulse after each
answer, so that a lost reader is noticed by its silence, and what has changed
to the subscribers that want it. A node that sees a newer position in the pulse
of any reader asks that reader for it.
"""

from logging import getLogger
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    FrameKind,
    IncomingLink,
    PlatformPulse,
    Subscription,
    encode_message,
)
from lovageshunt.sidecar._coordinator_view import CoordinatorView
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._snapshot import decode_changes
from lovageshunt.sidecar._subscribers import Subscribers

_log = getLogger(__name__)
#: A node that heard of no answer of the platform for this long reads it
#: itself, in seconds: by then the successors of the readers have failed
#: too. A random part of the second time is added.
_MAX_NEWS_AGE_SECONDS: Final = 3.5
_FALLBACK_JITTER_SECONDS: Final = 2.0
#: How long a node waits for its own reader before it asks another one that is
#: ahead, in seconds.
_CATCH_UP_SECONDS: Final = 0.2


class _Ahead(Record):
    """A reader that knows more than this node, ``since`` its pulse came."""

    __slots__ = ('host', 'pulse', 'since')

    def __init__(
        self, *, host: str, pulse: PlatformPulse, since: float
    ) -> None:
        self.host = host
        self.pulse = pulse
        self.since = since


class PlatformNews:
    """This node's part in reading the platform and in passing on the news.

    ``view`` says who reads, ``peers`` are the links, ``fleet_state`` is what is
    known. The follower of the platform asks ``should_read`` and reports how
    its reads end.
    """

    __slots__ = (
        'view',
        '_peers',
        '_fleet_state',
        '_rng',
        '_wants_by_host',
        '_subscribers',
        '_has_read',
        '_answered_at',
        '_fallback_at',
        '_ahead',
    )

    def __init__(
        self,
        *,
        view: CoordinatorView,
        peers: Peers,
        fleet_state: FleetState,
        rng: Random,
    ) -> None:
        self.view = view
        self._peers = peers
        self._fleet_state = fleet_state
        self._rng = rng
        self._wants_by_host: dict[str, bool] = {}
        self._subscribers = Subscribers(fleet_state)
        self._has_read = False
        self._answered_at = clock_now()
        self._fallback_at = float('inf')
        self._ahead: _Ahead | None = None

    # Called by the follower of the platform.

    def should_read(self) -> bool:
        """Return whether this node reads the platform now."""
        if not self._has_read or self.view.is_reader:
            return True
        return clock_now() >= self._fallback_at

    def note_answer(self) -> None:
        """Pass on what an answer of the platform has changed, and a pulse."""
        now = clock_now()
        self._has_read = True
        self.view.note_own_read(now, is_answered=True)
        self._note_answered(now)
        self._subscribers.publish(self.age_seconds)

    def note_failure(self) -> None:
        """Tell subscribers that this node cannot read the platform."""
        now = clock_now()
        self.view.note_own_read(now, is_answered=False)
        self._postpone_fallback(now)
        self._subscribers.note_failure(self.age_seconds)

    # Called by the sidecar.

    @property
    def subscriber_count(self) -> int:
        """The number of nodes that this one tells what it knows."""
        return self._subscribers.count

    @property
    def age_seconds(self) -> float:
        """The age of the newest answer of the platform that is known here."""
        return clock_now() - self._answered_at

    def advance(self) -> None:
        """Follow the election; subscribe to the nodes that are elected."""
        now = clock_now()
        self.view.advance(now)
        self._subscribe()
        self._catch_up(now)

    # Called for frames.

    def on_subscribe(self, link: IncomingLink, wanted: Subscription) -> None:
        """Add a subscriber; send it what it lacks."""
        self._subscribers.add(link, wanted, self.age_seconds)

    def send_to_subscribers(
        self,
        kind: FrameKind,
        payload: bytes,
        source: IncomingLink | None = None,
    ) -> None:
        """Send a frame to all subscribers but the one that it came from."""
        self._subscribers.send(kind, payload, source)

    def on_connected(self, host: str) -> None:
        """Subscribe on the new link to a coordinator."""
        self._wants_by_host.pop(host, None)
        self._subscribe()

    def on_pulse(self, host: str, pulse: PlatformPulse) -> None:
        """Note that a node reads the platform, or cannot, and what it knows."""
        now = clock_now()
        self.view.note_pulse(host, now, is_reader=pulse.is_reader)
        if pulse.is_reader:
            self._fleet_state.is_platform_unreachable = False
            self._note_answered(now - pulse.age_seconds)
        is_behind = self._fleet_state.is_behind(pulse.position, pulse.version)
        if is_behind and self._ahead is None:
            self._ahead = _Ahead(host=host, pulse=pulse, since=now)

    def on_changes(self, payload: bytes) -> None:
        """Apply changes that a reader sent."""
        self._fleet_state.apply_changes(decode_changes(payload))

    def _subscribe(self) -> None:
        reader = self.view.own_reader
        own = self._fleet_state.greeting
        for host in self.view.others:
            dialer = self._peers.dialer(host)
            dialer.open()
            wants_changes = host == reader
            if not dialer.is_up:
                self._wants_by_host.pop(host, None)
            elif self._wants_by_host.get(host) is not wants_changes:
                self._wants_by_host[host] = wants_changes
                wanted = Subscription(
                    position=own.revision,
                    version=own.version,
                    wants_changes=wants_changes,
                )
                dialer.send_frame(FrameKind.SUBSCRIBE, encode_message(wanted))

    def _catch_up(self, now: float) -> None:
        """Ask a reader that is ahead, if the own one has not sent it yet."""
        ahead = self._ahead
        if ahead is None:
            return
        position, version = ahead.pulse.position, ahead.pulse.version
        if not self._fleet_state.is_behind(position, version):
            self._ahead = None
            return
        if now - ahead.since < _CATCH_UP_SECONDS:
            return
        # If no answer comes, the next pulse begins anew.
        self._ahead = None
        self._peers.dialer(ahead.host).send_frame(FrameKind.SNAPSHOT_REQUEST)

    def _note_answered(self, at: float) -> None:
        self._answered_at = max(self._answered_at, at)
        self._postpone_fallback(self._answered_at)

    def _postpone_fallback(self, now: float) -> None:
        jitter = self._rng.random() * _FALLBACK_JITTER_SECONDS
        self._fallback_at = now + _MAX_NEWS_AGE_SECONDS + jitter
