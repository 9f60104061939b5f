"""The configuration and the targets that are in force at a node."""

from collections.abc import Callable
from logging import getLogger
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import Greeting
from lovageshunt.routes import Configuration
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._snapshot import FleetChanges, FleetSnapshot

_log = getLogger(__name__)
#: The shortest time between two requests for a newer snapshot, in seconds.
_MIN_REQUEST_INTERVAL_SECONDS: Final = 0.5


class FleetState:
    """The newest configuration and targets, from the platform or from nodes.

    ``greeting`` is sent on this node's links; its ``version`` and
    ``revision`` tell how new this state is. Revisions are positions, see
    ``position_of``. While
    ``is_platform_unreachable``, newer state is requested from other nodes.

    ``on_configuration`` is called with each configuration that comes into
    force, ``on_targets`` after each replacement of the target list.
    """

    __slots__ = (
        'greeting',
        'configuration',
        'is_platform_unreachable',
        '_fleet',
        '_on_configuration',
        '_on_targets',
        '_requested_at',
    )

    def __init__(
        self,
        greeting: Greeting,
        fleet: Fleet,
        on_configuration: Callable[[Configuration], None],
        on_targets: Callable[[], None],
    ) -> None:
        self.greeting = greeting
        self.configuration: Configuration | None = None
        self.is_platform_unreachable = True
        self._fleet = fleet
        self._on_configuration = on_configuration
        self._on_targets = on_targets
        self._requested_at = float('-inf')

    @property
    def is_complete(self) -> bool:
        """Whether there are a configuration and targets to serve with."""
        return self.configuration is not None and self.greeting.revision > 0

    @property
    def entries(self) -> list[TargetEntry]:
        """The targets in force."""
        return list(self._fleet.entry_by_id.values())

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration into force; ignore an older or equal version."""
        if configuration.version <= self.greeting.version:
            return
        self.configuration = configuration
        self.greeting.version = configuration.version
        self._on_configuration(configuration)
        _log.info(
            'configuration in force',
            extra={'version': configuration.version},
        )

    def apply_targets(
        self,
        entries: list[TargetEntry],
        revision: int,
    ) -> None:
        """Replace the targets, as of a platform position greater than 0.

        Ignore a list that is older than the one in force: another node may
        have sent a newer one meanwhile.
        """
        if revision < self.greeting.revision:
            _log.info(
                'ignoring an older target list',
                extra={
                    'revision': revision,
                    'known': self.greeting.revision,
                },
            )
            return
        self.greeting.revision = revision
        self._fleet.replace_targets(entries)
        self._on_targets()

    def snapshot(self) -> FleetSnapshot:
        """Return this state in the form that is sent to other nodes."""
        return FleetSnapshot(
            revision=self.greeting.revision,
            configuration=self.configuration,
            entries=self.entries,
        )

    def apply_snapshot(self, snapshot: FleetSnapshot) -> None:
        """Apply the parts of another node's snapshot that are newer."""
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration)
        if snapshot.revision <= self.greeting.revision:
            return
        _log.info(
            'applying newer target list from another node',
            extra={
                'revision': snapshot.revision,
                'known': self.greeting.revision,
                'targets': len(snapshot.entries),
            },
        )
        self.apply_targets(snapshot.entries, snapshot.revision)

    def apply_changes(self, changes: FleetChanges) -> None:
        """Apply what a reader of the platform sent, unless it is known.

        Targets are left as they are if this state lacks what came before the
        changes; the reader's pulses tell that it is ahead.
        """
        if changes.configuration is not None:
            self.apply_configuration(changes.configuration)
        known = self.greeting.revision
        is_next = changes.after_position <= known < changes.position
        # Targets that were kept through an outage expire at one position.
        is_same = changes.after_position == known == changes.position
        if not is_next and not is_same:
            return
        entry_by_id = dict(self._fleet.entry_by_id)
        for target_id in changes.removed_ids:
            entry_by_id.pop(target_id, None)
        entry_by_id.update(
            (entry.target_id, entry) for entry in changes.entries
        )
        self.apply_targets(list(entry_by_id.values()), changes.position)

    def is_behind(self, position: int, version: int) -> bool:
        """Return whether another node has a newer state."""
        own = self.greeting
        return position > own.revision or version > own.version

    def should_request(self, revision: int, version: int) -> bool:
        """Return whether to request a snapshot from a node, rate limited.

        No node is asked while the platform responds. Returning true starts
        the interval during which no other request is made.
        """
        if not self.is_platform_unreachable:
            return False
        if not self.is_behind(revision, version):
            return False
        now = clock_now()
        if now - self._requested_at < _MIN_REQUEST_INTERVAL_SECONDS:
            return False
        self._requested_at = now
        return True
