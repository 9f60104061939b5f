"""Spreads what a few nodes read of the platform to all others.

Every node is subscribed to the elected coordinators. These read the platform
and send a pulse after each answer, so that a lost reader is noticed by its
silence, and what has changed to the subscribers that want it. A node that sees
a newer position in the pulse of any reader asks that reader for it.
"""

from logging import getLogger
from random import Random
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.clock import now as clock_now
from lovageshunt.links import (
    FrameKind,
    IncomingLink,
    PlatformPulse,
    Subscription,
    encode_message,
)
from lovageshunt.membership import CoordinatorElection
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._peers import Peers
from lovageshunt.sidecar._snapshot import decode_changes
from lovageshunt.sidecar._subscribers import Subscribers

_log = getLogger(__name__)
#: How many nodes read the platform: with three, any two may fail at once.
_COORDINATORS: Final = 3
#: A coordinator that was silent for this long is passed over, in seconds. It
#: sends a pulse at least each time its watch of the platform ends.
_PULSE_TIMEOUT_SECONDS: Final = 1.6
#: A node that heard of no answer of the platform for this long reads it
#: itself, in seconds: by then the successors of the coordinators have failed
#: too. A random part of the second time is added.
_MAX_NEWS_AGE_SECONDS: Final = 3.5
_FALLBACK_JITTER_SECONDS: Final = 2.0
#: How long a node waits for its own reader before it asks another one that is
#: ahead, in seconds.
_CATCH_UP_SECONDS: Final = 0.2
#: The shortest time between two requests for a snapshot, in seconds.
_MIN_REQUEST_INTERVAL_SECONDS: Final = 0.5


class PlatformNews:
    """This node's part in reading the platform and in passing on the news.

    ``peers`` are the links, ``fleet`` and ``fleet_state`` what is known. The
    follower of the platform asks ``should_read`` and reports how its reads
    end.
    """

    __slots__ = (
        '_own_host',
        '_fleet',
        '_peers',
        '_fleet_state',
        '_rng',
        '_election',
        '_elected',
        '_elected_at_by_host',
        '_heard_at_by_host',
        '_wants_by_host',
        '_subscribers',
        '_has_read',
        '_answered_at',
        '_fallback_at',
        '_behind_since',
        '_ahead_host',
        '_requested_at',
    )

    def __init__(
        self,
        *,
        own_host: str,
        fleet: Fleet,
        peers: Peers,
        fleet_state: FleetState,
        rng: Random,
    ) -> None:
        self._own_host = own_host
        self._fleet = fleet
        self._peers = peers
        self._fleet_state = fleet_state
        self._rng = rng
        self._election = CoordinatorElection(_COORDINATORS)
        self._elected: tuple[str, ...] = ()
        self._elected_at_by_host: dict[str, float] = {}
        self._heard_at_by_host: dict[str, float] = {}
        self._wants_by_host: dict[str, bool] = {}
        self._subscribers = Subscribers(fleet_state)
        self._has_read = False
        self._answered_at = clock_now()
        self._fallback_at = float('inf')
        self._behind_since: float | None = None
        self._ahead_host = ''
        self._requested_at = float('-inf')

    # Called by the follower of the platform.

    def should_read(self) -> bool:
        """Return whether this node reads the platform now."""
        if not self._has_read or self._own_host in self._elected:
            return True
        return clock_now() >= self._fallback_at

    def note_answer(self) -> None:
        """Pass on what an answer of the platform has changed, and a pulse."""
        now = clock_now()
        self._has_read = True
        self._election.note_fit(self._own_host)
        self._note_answered(now)
        self._subscribers.publish(self.age_seconds)

    def note_failure(self) -> None:
        """Tell subscribers that this node cannot read the platform."""
        now = clock_now()
        self._election.note_unfit(self._own_host, now)
        self._postpone_fallback(now)
        self._update_elected(now)
        self._subscribers.note_failure(self.age_seconds)

    # Called by the sidecar.

    @property
    def coordinators(self) -> tuple[str, ...]:
        """The addresses of the elected nodes, as seen here."""
        return self._elected

    @property
    def is_coordinator(self) -> bool:
        """Whether this node is one of the elected, as seen here."""
        return self._own_host in self._elected

    @property
    def age_seconds(self) -> float:
        """The age of the newest answer of the platform that is known here."""
        return clock_now() - self._answered_at

    @property
    def primary(self) -> str:
        """The coordinator that sends changes here, empty without any.

        One of the own failure domain if there is one, else one by hash.
        """
        return max(self._elected, key=self._rank_of_primary, default='')

    def apply_list(self) -> None:
        """Elect among the listed nodes anew."""
        domain_by_host = {
            entry.host: entry.failure_domain
            for entry in self._fleet.entry_by_id.values()
            if not entry.is_leaving
        }
        self._election.set_nodes(domain_by_host)
        for host in self._elected_at_by_host.keys() - domain_by_host.keys():
            self._elected_at_by_host.pop(host)
            self._heard_at_by_host.pop(host, None)
        self._update_elected(clock_now())

    def advance(self) -> None:
        """Follow the coordinators; subscribe to those that are elected."""
        now = clock_now()
        for host in self._elected_at_by_host:
            self._check(host, now)
        self._update_elected(now)
        self._subscribe()
        self._catch_up(now)

    # Called for frames.

    def on_subscribe(self, link: IncomingLink, wanted: Subscription) -> None:
        """Add a subscriber; send it what it lacks."""
        self._subscribers.add(link, wanted, self.age_seconds)

    def on_connected(self, host: str) -> None:
        """Subscribe on the new link to a coordinator."""
        self._wants_by_host.pop(host, None)
        self._subscribe()

    def on_pulse(self, host: str, pulse: PlatformPulse) -> None:
        """Note that a coordinator reads, or cannot, and what it knows."""
        now = clock_now()
        self._heard_at_by_host[host] = now
        if pulse.is_reader:
            self._election.note_fit(host)
            self._fleet_state.is_platform_unreachable = False
            self._note_answered(now - pulse.age_seconds)
        else:
            self._election.note_unfit(host, now)
        if not self._fleet_state.is_behind(pulse.position, pulse.version):
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
            self._ahead_host = host

    def on_changes(self, payload: bytes) -> None:
        """Apply changes that the primary coordinator sent."""
        if self._fleet_state.apply_changes(decode_changes(payload)):
            self._behind_since = None

    def _check(self, host: str, now: float) -> None:
        """Pass over a coordinator that is down or silent."""
        if self._peers.is_down(host):
            self._election.note_down(host)
            self._wants_by_host.pop(host, None)
            return
        self._election.note_up(host)
        if host not in self._elected:
            return
        heard_at = self._heard_at_by_host.get(host, float('-inf'))
        quiet_since = max(heard_at, self._elected_at_by_host[host])
        if now - quiet_since > _PULSE_TIMEOUT_SECONDS:
            _log.info('coordinator is silent', extra={'peer': host})
            self._election.note_unfit(host, now)

    def _update_elected(self, now: float) -> None:
        elected = self._election.elected(now)
        if elected == self._elected:
            return
        for host in set(elected) - set(self._elected) - {self._own_host}:
            self._elected_at_by_host[host] = now
        self._elected = elected
        _log.info(
            'coordinators elected',
            extra={
                'hosts': list(elected),
                'is_own': self._own_host in elected,
                'news_age_s': round(self.age_seconds, 3),
            },
        )

    def _subscribe(self) -> None:
        primary = self.primary
        own = self._fleet_state.greeting
        for host in self._elected:
            if host == self._own_host:
                continue
            dialer = self._peers.dialer(host)
            dialer.open()
            wants_changes = host == primary
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
        since = self._behind_since
        if since is None or now - since < _CATCH_UP_SECONDS:
            return
        if now - self._requested_at < _MIN_REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        self._behind_since = None
        self._peers.dialer(self._ahead_host).send_frame(
            FrameKind.SNAPSHOT_REQUEST
        )

    def _note_answered(self, at: float) -> None:
        self._answered_at = max(self._answered_at, at)
        self._postpone_fallback(self._answered_at)

    def _postpone_fallback(self, now: float) -> None:
        jitter = self._rng.random() * _FALLBACK_JITTER_SECONDS
        self._fallback_at = now + _MAX_NEWS_AGE_SECONDS + jitter

    def _rank_of_primary(self, host: str) -> tuple[bool, int]:
        is_near = self._fleet.is_near(host)
        return is_near, xxh3_64_intdigest(f'{self._own_host} {host}'.encode())
