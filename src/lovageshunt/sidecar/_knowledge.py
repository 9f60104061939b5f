"""What a node knows of the fleet: its configuration and its targets."""

from collections.abc import Callable
from logging import getLogger
from typing import Final

from lovageshunt.clock import now as clock_now
from lovageshunt.links import Greeting
from lovageshunt.routes import Configuration
from lovageshunt.sidecar._fleet import Fleet, TargetEntry
from lovageshunt.sidecar._picture import Picture

_log = getLogger(__name__)
#: How often a newer picture is asked for, in seconds.
_ASK_SECONDS: Final = 0.5


class FleetState:
    """Takes what is newer, from the platform or from other nodes.

    ``greeting`` is what this node says of itself on its links; it tells how
    new the node's knowledge is.
    """

    __slots__ = (
        'greeting',
        'configuration',
        'is_platform_unreachable',
        '_fleet',
        '_configured',
        '_listed',
        '_asked_at',
    )

    def __init__(
        self,
        greeting: Greeting,
        fleet: Fleet,
        configured: Callable[[Configuration], None],
        listed: Callable[[], None],
    ) -> None:
        """Call ``configured`` with each configuration that is in force.

        ``listed`` is called when the targets of the fleet have changed.
        """
        self.greeting = greeting
        self.configuration: Configuration | None = None
        #: Whether the platform does not answer, so that nodes are asked.
        self.is_platform_unreachable = True
        self._fleet = fleet
        self._configured = configured
        self._listed = listed
        self._asked_at = float('-inf')

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be served by it."""
        return self.configuration is not None and self.greeting.revision > 0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration into force, unless it is an older one."""
        if configuration.version <= self.greeting.version:
            return
        self.configuration = configuration
        self.greeting.version = configuration.version
        self._configured(configuration)
        _log.info(
            'configuration in force',
            extra={'version': configuration.version},
        )

    def apply_targets(
        self,
        entries: list[TargetEntry],
        revision: int,
    ) -> None:
        """Replace the targets, as of a revision of the platform above 0."""
        self.greeting.revision = max(revision, self.greeting.revision)
        self._fleet.take(entries)
        self._listed()

    def picture(self) -> Picture:
        """Return what another node can take from this one."""
        return Picture(
            revision=self.greeting.revision,
            configuration=self.configuration,
            entries=list(self._fleet.entry_by_id.values()),
        )

    def take_picture(self, picture: Picture) -> None:
        """Take from another node what is newer there."""
        if picture.configuration is not None:
            self.apply_configuration(picture.configuration)
        if picture.revision <= self.greeting.revision:
            return
        _log.info(
            'targets taken from a node',
            extra={
                'revision': picture.revision,
                'known': self.greeting.revision,
                'targets': len(picture.entries),
            },
        )
        self.apply_targets(picture.entries, picture.revision)

    def wants_from(self, revision: int, version: int) -> bool:
        """Tell whether to ask a node that knows so much; not too often.

        While the platform answers, it is asked and no node is.
        """
        own = self.greeting
        if not self.is_platform_unreachable:
            return False
        if revision <= own.revision and version <= own.version:
            return False
        now = clock_now()
        if now - self._asked_at < _ASK_SECONDS:
            return False
        self._asked_at = now
        return True
