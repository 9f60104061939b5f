"""The nodes that learn of the platform from this one."""

from lovageshunt.links import (
    FrameKind,
    IncomingLink,
    PlatformPulse,
    Subscription,
    encode_message,
)
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._snapshot import (
    FleetChanges,
    FleetSnapshot,
    encode_changes,
    encode_snapshot,
)


class Subscribers:
    """Sends pulses to all subscribers, and changes to those that want them.

    ``fleet_state`` is what this node knows. ``age_seconds`` is the age of the
    newest answer of the platform that it knows of.
    """

    __slots__ = ('_fleet_state', '_wants_by_link', '_published', '_is_reader')

    def __init__(self, fleet_state: FleetState) -> None:
        self._fleet_state = fleet_state
        self._wants_by_link: dict[IncomingLink, bool] = {}
        self._published = FleetSnapshot(
            revision=0, configuration=None, entries=[]
        )
        self._is_reader = False

    @property
    def count(self) -> int:
        """The number of subscribers."""
        return len(self._wants_by_link)

    def add(
        self, link: IncomingLink, wanted: Subscription, age_seconds: float
    ) -> None:
        """Add a subscriber; send it what it lacks, and a pulse."""
        self._wants_by_link[link] = wanted.wants_changes
        own = self._fleet_state.greeting
        is_newer = own.revision > wanted.position
        is_newer = is_newer or own.version > wanted.version
        if wanted.wants_changes and is_newer:
            link.send_frame(
                FrameKind.SNAPSHOT,
                encode_snapshot(self._fleet_state.snapshot()),
            )
        pulse = self._encoded_pulse(age_seconds)
        link.send_frame(FrameKind.PLATFORM_PULSE, pulse)

    def publish(self, age_seconds: float) -> None:
        """Send what has changed since the last time, then a pulse."""
        self._is_reader = True
        state = self._fleet_state.snapshot()
        changes = FleetChanges.between(self._published, state)
        self._published = state
        if not changes.is_empty and any(self._wants_by_link.values()):
            encoded = encode_changes(changes)
            for link, wants_changes in self._wants_by_link.items():
                if wants_changes:
                    link.send_frame(FrameKind.FLEET_CHANGES, encoded)
        self._pulse(age_seconds)

    def note_failure(self, age_seconds: float) -> None:
        """Tell the subscribers that this node cannot read the platform."""
        self._is_reader = False
        self._pulse(age_seconds)

    def send(
        self,
        kind: FrameKind,
        payload: bytes,
        source: IncomingLink | None = None,
    ) -> None:
        """Send a frame to all subscribers but ``source``."""
        for link in list(self._wants_by_link):
            if not link.is_open:
                self._wants_by_link.pop(link)
            elif link is not source:
                link.send_frame(kind, payload)

    def _pulse(self, age_seconds: float) -> None:
        self.send(FrameKind.PLATFORM_PULSE, self._encoded_pulse(age_seconds))

    def _encoded_pulse(self, age_seconds: float) -> bytes:
        own = self._fleet_state.greeting
        pulse = PlatformPulse(
            position=own.revision,
            version=own.version,
            age_seconds=age_seconds,
            is_reader=self._is_reader,
        )
        return encode_message(pulse)
