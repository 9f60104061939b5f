"""Sections and keys of the settings of nodes and callers.

The reference page repeats these tables, and a test compares them.
"""

from typing import Final

from lovageshunt._record import Record
from lovageshunt.settings._kinds import (
    ADDRESS,
    ADDRESSES,
    NAMES,
    TEXT,
    URL_PATH,
    ValueKind,
    bounded_float,
    bounded_int,
    one_of,
)

#: Marks a key without a default, which must be given.
REQUIRED: Final = '(required)'
#: Marks an optional key, whose value is ``None`` if it is left out.
ABSENT: Final = '(none)'

_MAX_COUNT: Final = 1_000_000
_MAX_SECONDS: Final = 86400


class Key(Record):
    """One key of a section.

    ``default`` is text in the file's syntax, ``REQUIRED`` or ``ABSENT``;
    ``meaning`` is the description on the reference page.
    """

    __slots__ = ('name', 'kind', 'default', 'unit', 'meaning')

    def __init__(
        self,
        *,
        name: str,
        kind: ValueKind,
        meaning: str,
        default: str = REQUIRED,
        unit: str = '',
    ) -> None:
        self.name = name
        self.kind = kind
        self.default = default
        self.unit = unit
        self.meaning = meaning


class SectionTable(Record):
    """One section, its description on the reference page and its keys."""

    __slots__ = ('name', 'meaning', 'keys')

    def __init__(
        self,
        *,
        name: str,
        meaning: str,
        keys: tuple[Key, ...],
    ) -> None:
        self.name = name
        self.meaning = meaning
        self.keys = keys


#: The location of a VM, which every kind of process has in its settings.
FAILURE_DOMAIN: Final = Key(
    name='failure_domain',
    kind=TEXT,
    meaning='The failure domain of the VM.',
)
REGION: Final = Key(
    name='region',
    kind=TEXT,
    default='default',
    meaning='The region of that failure domain.',
)

_NODE: Final = SectionTable(
    name='node',
    meaning='The identity of this node.',
    keys=(
        Key(
            name='name',
            kind=TEXT,
            meaning='The name of its VM in the published list of VMs.',
        ),
        Key(name='service', kind=TEXT, meaning='The service of its target.'),
        FAILURE_DOMAIN,
        REGION,
    ),
)

_LISTEN: Final = SectionTable(
    name='listen',
    meaning='Where this node listens.',
    keys=(
        Key(name='ingress', kind=ADDRESS, meaning='Calls to the target.'),
        Key(
            name='admin',
            kind=ADDRESS,
            meaning='The admin API and the exchange with other nodes.',
        ),
        Key(
            name='egress',
            kind=ADDRESS,
            default=ABSENT,
            meaning='Calls of a target without the library; loopback only.',
        ),
    ),
)

_TARGET: Final = SectionTable(
    name='target',
    meaning='The target on the VM of this node.',
    keys=(
        Key(name='address', kind=ADDRESS, meaning='Where it listens.'),
        Key(
            name='slots',
            kind=bounded_int(1, _MAX_COUNT),
            unit='calls',
            meaning='The number of calls that it can run concurrently.',
        ),
        Key(
            name='connections',
            kind=bounded_int(1, _MAX_COUNT),
            unit='connections',
            meaning='How many connections it accepts.',
        ),
        Key(
            name='health_path',
            kind=URL_PATH,
            default='/health',
            meaning='Its health endpoint.',
        ),
        Key(
            name='load_path',
            kind=URL_PATH,
            default='/load',
            meaning='Its load endpoint.',
        ),
    ),
)

_PLATFORM: Final = SectionTable(
    name='platform',
    meaning='What the platform publishes, and how often it is read.',
    keys=(
        Key(
            name='addresses',
            kind=ADDRESSES,
            meaning='The configuration service, tried in this order.',
        ),
        Key(
            name='poll_seconds',
            kind=bounded_float(0.1, _MAX_SECONDS),
            default='5',
            unit='seconds',
            meaning='The polling interval of a reader while no watch answers.',
        ),
        Key(
            name='readers_per_failure_domain',
            kind=bounded_int(1, 100),
            default='3',
            unit='nodes',
            meaning='Nodes per failure domain that read for the others.',
        ),
    ),
)

_CALLS: Final = SectionTable(
    name='calls',
    meaning='What the target calls.',
    keys=(
        Key(
            name='services',
            kind=NAMES,
            default='',
            meaning='The services that it calls.',
        ),
    ),
)

_ADMISSION: Final = SectionTable(
    name='admission',
    meaning='How calls wait for the target.',
    keys=(
        Key(
            name='queue_target_ms',
            kind=bounded_float(1, 60_000),
            default='20',
            unit='milliseconds',
            meaning='The wait above which calls are refused by level.',
        ),
        Key(
            name='interval_ms',
            kind=bounded_float(10, 60_000),
            default='100',
            unit='milliseconds',
            meaning='How often the limit and the threshold are corrected.',
        ),
    ),
)

_SECURITY: Final = SectionTable(
    name='security',
    meaning='Who may use the admin API, and TLS for it and between nodes.',
    keys=(
        Key(
            name='admin_token_file',
            kind=TEXT,
            default=ABSENT,
            meaning='The file with the token; without it, loopback only.',
        ),
        Key(
            name='certificate_file',
            kind=TEXT,
            default=ABSENT,
            meaning='The certificate of this node, in PEM.',
        ),
        Key(
            name='key_file',
            kind=TEXT,
            default=ABSENT,
            meaning='The private key of that certificate, in PEM.',
        ),
        Key(
            name='authority_file',
            kind=TEXT,
            default=ABSENT,
            meaning='The authority that other nodes are checked against.',
        ),
        Key(
            name='context_key_file',
            kind=TEXT,
            default=ABSENT,
            meaning='The key that importance and retries are signed with.',
        ),
    ),
)

_TRACES: Final = SectionTable(
    name='traces',
    meaning='Spans; refused, unknown and slow calls are always kept.',
    keys=(
        Key(
            name='sample_ratio',
            kind=bounded_float(0, 1),
            default='0.01',
            meaning='The share of other root requests that is traced.',
        ),
    ),
)

_LOGS: Final = SectionTable(
    name='logs',
    meaning='Log lines in JSON.',
    keys=(
        Key(
            name='level',
            kind=one_of('debug', 'info', 'warning', 'error'),
            default='info',
            meaning='The minimum level that is written.',
        ),
        Key(
            name='records_per_second',
            kind=bounded_float(1, _MAX_COUNT),
            default='50',
            unit='lines a second',
            meaning='The rate above which lines are dropped and counted.',
        ),
    ),
)

_LIMITS: Final = SectionTable(
    name='limits',
    meaning='Bounds on memory and on time.',
    keys=(
        Key(
            name='table_entries',
            kind=bounded_int(100, 10_000_000),
            default='12000',
            unit='calls',
            meaning='The maximum number of at-most-once calls remembered.',
        ),
        Key(
            name='body_bytes',
            kind=bounded_int(1024, 1_000_000_000),
            default='1048576',
            unit='bytes',
            meaning='The largest body of a request or an answer.',
        ),
        Key(
            name='retention_seconds',
            kind=bounded_float(1, _MAX_SECONDS),
            default='600',
            unit='seconds',
            meaning='How long the outcome of an at-most-once call is kept.',
        ),
        Key(
            name='settle_seconds',
            kind=bounded_float(0, _MAX_SECONDS),
            default='5',
            unit='seconds',
            meaning=(
                'The minimum age of a node that accepts first attempts of '
                'at-most-once calls.'
            ),
        ),
        Key(
            name='transit_seconds',
            kind=bounded_float(0, _MAX_SECONDS),
            default='10',
            unit='seconds',
            meaning=(
                'The maximum time of a request in the network; a new node '
                'waits as long before it accepts such first attempts.'
            ),
        ),
        Key(
            name='leave_seconds',
            kind=bounded_float(0, _MAX_SECONDS),
            default='3',
            unit='seconds',
            meaning='How long a leaving node still answers with "not run".',
        ),
        Key(
            name='drain_seconds',
            kind=bounded_float(0, _MAX_SECONDS),
            default='30',
            unit='seconds',
            meaning='How long a leaving node waits for calls in progress.',
        ),
    ),
)

_CLIENT: Final = SectionTable(
    name='client',
    meaning='The identity of this caller.',
    keys=(
        Key(name='name', kind=TEXT, meaning='The name that the rules use.'),
        FAILURE_DOMAIN,
        REGION,
    ),
)

_NODES: Final = SectionTable(
    name='nodes',
    meaning='How this caller finds nodes.',
    keys=(
        Key(
            name='seeds',
            kind=ADDRESSES,
            meaning='Admin addresses of some nodes, which report the others.',
        ),
        Key(
            name='services',
            kind=NAMES,
            meaning='The services that this caller calls.',
        ),
    ),
)

#: The sections of a node's settings file.
NODE_TABLES: Final = (
    _NODE,
    _LISTEN,
    _TARGET,
    _PLATFORM,
    _CALLS,
    _ADMISSION,
    _SECURITY,
    _TRACES,
    _LOGS,
    _LIMITS,
)
#: The sections of a caller's settings file.
CLIENT_TABLES: Final = (_CLIENT, _NODES)
