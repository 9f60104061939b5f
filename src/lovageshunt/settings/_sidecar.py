"""The settings of a sidecar as typed records, and how they are loaded."""

from pathlib import Path

from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.settings._fault import SettingsFault
from lovageshunt.settings._kinds import Address
from lovageshunt.settings._reader import SettingsReader
from lovageshunt.settings._sections import LogsSection, NodeSection
from lovageshunt.settings._sidecar_keys import SIDECAR_TABLES


class SidecarListenSection(Record):
    """Where a sidecar listens."""

    __slots__ = ('clients', 'nodes', 'ready', 'metrics_port')

    def __init__(
        self,
        *,
        clients: Address,
        nodes: Address,
        ready: Address,
        metrics_port: int | None,
    ) -> None:
        """Take every key."""
        self.clients = clients
        self.nodes = nodes
        self.ready = ready
        self.metrics_port = metrics_port


class SidecarTargetSection(Record):
    """The target beside a sidecar."""

    __slots__ = ('address', 'slots')

    def __init__(self, *, address: Address, slots: int) -> None:
        """Take every key."""
        self.address = address
        self.slots = slots


class StoreSection(Record):
    """The platform's store."""

    __slots__ = ('address',)

    def __init__(self, *, address: Address) -> None:
        """Take every key."""
        self.address = address


class BoundsSection(Record):
    """What operators are promised."""

    __slots__ = (
        'stop_seconds',
        'retry_ratio',
        'retry_reserve',
        'retry_window_seconds',
    )

    def __init__(
        self,
        *,
        stop_seconds: float,
        retry_ratio: float,
        retry_reserve: int,
        retry_window_seconds: float,
    ) -> None:
        """Take every key."""
        self.stop_seconds = stop_seconds
        self.retry_ratio = retry_ratio
        self.retry_reserve = retry_reserve
        self.retry_window_seconds = retry_window_seconds


class SidecarSettings(Record):
    """Everything that a sidecar is told when it starts."""

    __slots__ = ('node', 'listen', 'target', 'platform', 'bounds', 'logs')

    def __init__(
        self,
        *,
        node: NodeSection,
        listen: SidecarListenSection,
        target: SidecarTargetSection,
        platform: StoreSection,
        bounds: BoundsSection,
        logs: LogsSection,
    ) -> None:
        """Take every section."""
        self.node = node
        self.listen = listen
        self.target = target
        self.platform = platform
        self.bounds = bounds
        self.logs = logs


def load_sidecar_settings(
    path: Path | str,
) -> Result[SidecarSettings, list[SettingsFault]]:
    """Return a sidecar's settings, or everything that is wrong with them."""
    reader = SettingsReader(Path(path))
    by_section = reader.read(SIDECAR_TABLES)
    if reader.faults:
        return Error(reader.faults)
    return Ok(
        SidecarSettings(
            node=NodeSection(**by_section['node']),
            listen=SidecarListenSection(**by_section['listen']),
            target=SidecarTargetSection(**by_section['target']),
            platform=StoreSection(**by_section['platform']),
            bounds=BoundsSection(**by_section['bounds']),
            logs=LogsSection(**by_section['logs']),
        ),
    )
