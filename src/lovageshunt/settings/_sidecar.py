"""Settings of a sidecar as typed records, and their loader."""

from pathlib import Path

from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.settings._fault import SettingsFault
from lovageshunt.settings._kinds import Address
from lovageshunt.settings._reader import SettingsReader
from lovageshunt.settings._sections import LogsSection, NodeSection
from lovageshunt.settings._sidecar_keys import SIDECAR_TABLES


class SidecarListenSection(Record):
    """The addresses that a sidecar listens on.

    ``metrics_port`` is ``None`` if no metrics are served.
    """

    __slots__ = ('clients', 'nodes', 'ready', 'metrics_port')

    def __init__(
        self,
        *,
        clients: Address,
        nodes: Address,
        ready: Address,
        metrics_port: int | None,
    ) -> None:
        self.clients = clients
        self.nodes = nodes
        self.ready = ready
        self.metrics_port = metrics_port


class SidecarClientsSection(Record):
    """What clients may make a node hold.

    The process holds at most ``held_mebibytes``, in MiB of memory as it is
    taken, of what it has received or not sent. At most ``connections`` of
    clients are open.
    """

    __slots__ = ('held_mebibytes', 'connections')

    def __init__(
        self, *, held_mebibytes: int = 80, connections: int = 2000
    ) -> None:
        self.held_mebibytes = held_mebibytes
        self.connections = connections


class SidecarTargetSection(Record):
    """The target on the sidecar's VM.

    ``slots`` is the number of calls that it can run concurrently; it applies
    until the target or the published list reports another number.
    """

    __slots__ = ('address', 'slots')

    def __init__(self, *, address: Address, slots: int) -> None:
        self.address = address
        self.slots = slots


class StoreSection(Record):
    """The store of the platform, which holds targets and configurations."""

    __slots__ = ('address',)

    def __init__(self, *, address: Address) -> None:
        self.address = address


class BoundsSection(Record):
    """Limits that are guaranteed to operators.

    In each window the fleet may send ``retry_ratio`` retries per request and
    ``retry_reserve`` retries on top.
    """

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
        retry_reserve: float,
        retry_window_seconds: float,
    ) -> None:
        self.stop_seconds = stop_seconds
        self.retry_ratio = retry_ratio
        self.retry_reserve = retry_reserve
        self.retry_window_seconds = retry_window_seconds


class SidecarSettings(Record):
    """All settings of a sidecar, by section."""

    __slots__ = (
        'node',
        'listen',
        'clients',
        'target',
        'platform',
        'bounds',
        'logs',
    )

    def __init__(
        self,
        *,
        node: NodeSection,
        listen: SidecarListenSection,
        target: SidecarTargetSection,
        platform: StoreSection,
        bounds: BoundsSection,
        logs: LogsSection,
        clients: SidecarClientsSection | None = None,
    ) -> None:
        self.clients = clients or SidecarClientsSection()
        self.node = node
        self.listen = listen
        self.target = target
        self.platform = platform
        self.bounds = bounds
        self.logs = logs


def load_sidecar_settings(
    path: Path | str,
) -> Result[SidecarSettings, list[SettingsFault]]:
    """Return a sidecar's settings, or every fault of the file."""
    reader = SettingsReader(Path(path))
    by_section = reader.read(SIDECAR_TABLES)
    if reader.faults:
        return Error(reader.faults)
    return Ok(
        SidecarSettings(
            node=NodeSection(**by_section['node']),
            listen=SidecarListenSection(**by_section['listen']),
            clients=SidecarClientsSection(**by_section['clients']),
            target=SidecarTargetSection(**by_section['target']),
            platform=StoreSection(**by_section['platform']),
            bounds=BoundsSection(**by_section['bounds']),
            logs=LogsSection(**by_section['logs']),
        ),
    )
