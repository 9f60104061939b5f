"""Settings of nodes and callers as typed records, one per section."""

from lovageshunt._record import Record
from lovageshunt.settings._kinds import Address


class NodeSection(Record):
    """The identity of a node: its VM, service and location."""

    __slots__ = ('name', 'service', 'failure_domain', 'region')

    def __init__(
        self,
        *,
        name: str,
        service: str,
        failure_domain: str,
        region: str,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region


class ListenSection(Record):
    """The addresses that a node listens on.

    ``ingress`` gets calls to the target, ``admin`` the admin API and the
    exchange with other nodes, ``egress`` calls of a target that does not use
    the client library.
    """

    __slots__ = ('ingress', 'admin', 'egress')

    def __init__(
        self,
        *,
        ingress: Address,
        admin: Address,
        egress: Address | None,
    ) -> None:
        self.ingress = ingress
        self.admin = admin
        self.egress = egress


class TargetSection(Record):
    """The target on the node's VM.

    ``slots`` is the number of calls that it can run concurrently,
    ``connections`` the number of connections that it accepts.
    """

    __slots__ = ('address', 'slots', 'connections', 'health_path', 'load_path')

    def __init__(
        self,
        *,
        address: Address,
        slots: int,
        connections: int,
        health_path: str,
        load_path: str,
    ) -> None:
        self.address = address
        self.slots = slots
        self.connections = connections
        self.health_path = health_path
        self.load_path = load_path


class PlatformSection(Record):
    """The configuration service, and how often and by how many it is read."""

    __slots__ = ('addresses', 'poll_seconds', 'readers_per_failure_domain')

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        poll_seconds: float,
        readers_per_failure_domain: int,
    ) -> None:
        self.addresses = addresses
        self.poll_seconds = poll_seconds
        self.readers_per_failure_domain = readers_per_failure_domain


class CallsSection(Record):
    """The services that the target calls."""

    __slots__ = ('services',)

    def __init__(self, *, services: tuple[str, ...]) -> None:
        self.services = services


class AdmissionSection(Record):
    """Admission of calls to the target.

    Calls are refused by level while the queue wait exceeds
    ``queue_target_ms``; limit and threshold are corrected every
    ``interval_ms``. Both are in milliseconds.
    """

    __slots__ = ('queue_target_ms', 'interval_ms')

    def __init__(self, *, queue_target_ms: float, interval_ms: float) -> None:
        self.queue_target_ms = queue_target_ms
        self.interval_ms = interval_ms


class SecuritySection(Record):
    """Paths of the files with tokens, keys and certificates.

    The three files for TLS are all given or all ``None``.
    """

    __slots__ = (
        'admin_token_file',
        'certificate_file',
        'key_file',
        'authority_file',
        'context_key_file',
    )

    def __init__(
        self,
        *,
        admin_token_file: str | None,
        certificate_file: str | None,
        key_file: str | None,
        authority_file: str | None,
        context_key_file: str | None,
    ) -> None:
        self.admin_token_file = admin_token_file
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file
        self.context_key_file = context_key_file


class TracesSection(Record):
    """Sampling of traces.

    ``sample_ratio`` is a share from 0 to 1 of the root requests; refused,
    unknown and slow calls are always kept.
    """

    __slots__ = ('sample_ratio',)

    def __init__(self, *, sample_ratio: float) -> None:
        self.sample_ratio = sample_ratio


class LogsSection(Record):
    """The minimum level of log lines, and their maximum rate."""

    __slots__ = ('level', 'records_per_second')

    def __init__(self, *, level: str, records_per_second: float) -> None:
        self.level = level
        self.records_per_second = records_per_second


class LimitsSection(Record):
    """Bounds on memory (calls, bytes) and on time (seconds)."""

    __slots__ = (
        'table_entries',
        'body_bytes',
        'retention_seconds',
        'settle_seconds',
        'transit_seconds',
        'leave_seconds',
        'drain_seconds',
    )

    def __init__(
        self,
        *,
        table_entries: int,
        body_bytes: int,
        retention_seconds: float,
        settle_seconds: float,
        transit_seconds: float,
        leave_seconds: float,
        drain_seconds: float,
    ) -> None:
        self.table_entries = table_entries
        self.body_bytes = body_bytes
        self.retention_seconds = retention_seconds
        self.settle_seconds = settle_seconds
        self.transit_seconds = transit_seconds
        self.leave_seconds = leave_seconds
        self.drain_seconds = drain_seconds


class NodeSettings(Record):
    """All settings of a node, by section."""

    __slots__ = (
        'node',
        'listen',
        'target',
        'platform',
        'calls',
        'admission',
        'security',
        'traces',
        'logs',
        'limits',
    )

    def __init__(
        self,
        *,
        node: NodeSection,
        listen: ListenSection,
        target: TargetSection,
        platform: PlatformSection,
        calls: CallsSection,
        admission: AdmissionSection,
        security: SecuritySection,
        traces: TracesSection,
        logs: LogsSection,
        limits: LimitsSection,
    ) -> None:
        self.node = node
        self.listen = listen
        self.target = target
        self.platform = platform
        self.calls = calls
        self.admission = admission
        self.security = security
        self.traces = traces
        self.logs = logs
        self.limits = limits


class ClientSection(Record):
    """The identity of a caller: its name in the rules and its location."""

    __slots__ = ('name', 'failure_domain', 'region')

    def __init__(self, *, name: str, failure_domain: str, region: str) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.region = region


class NodesSection(Record):
    """The services that a caller calls, and how it discovers their nodes.

    ``seeds`` are admin addresses of some nodes, which report the others.
    """

    __slots__ = ('seeds', 'services')

    def __init__(
        self,
        *,
        seeds: tuple[Address, ...],
        services: tuple[str, ...],
    ) -> None:
        self.seeds = seeds
        self.services = services


class ClientSettings(Record):
    """All settings of a caller, by section."""

    __slots__ = ('client', 'nodes')

    def __init__(self, *, client: ClientSection, nodes: NodesSection) -> None:
        self.client = client
        self.nodes = nodes
