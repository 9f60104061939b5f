"""Sections and keys of the settings of a sidecar."""

from typing import Final

from lovageshunt.settings._keys import (
    ABSENT,
    FAILURE_DOMAIN,
    REGION,
    Key,
    SectionTable,
)
from lovageshunt.settings._kinds import (
    ADDRESS,
    TEXT,
    bounded_float,
    bounded_int,
    one_of,
)

_MAX_COUNT: Final = 1_000_000
_MAX_SECONDS: Final = 3600.0

#: The sections of a sidecar's settings file.
SIDECAR_TABLES: Final = (
    SectionTable(
        name='node',
        meaning='The identity of this node.',
        keys=(
            Key(name='name', kind=TEXT, meaning='The name of its VM.'),
            Key(name='service', kind=TEXT, meaning="Its target's service."),
            FAILURE_DOMAIN,
            REGION,
        ),
    ),
    SectionTable(
        name='listen',
        meaning='Where this node listens.',
        keys=(
            Key(
                name='clients',
                kind=ADDRESS,
                meaning='Requests of clients, and calls of the target.',
            ),
            Key(name='nodes', kind=ADDRESS, meaning='Links from nodes.'),
            Key(name='ready', kind=ADDRESS, meaning='The readiness endpoint.'),
            Key(
                name='metrics_port',
                kind=bounded_int(1, 65535),
                default=ABSENT,
                meaning='Metrics as text, at the address of the links.',
            ),
        ),
    ),
    SectionTable(
        name='clients',
        meaning='What clients may make this node hold.',
        keys=(
            Key(
                name='held_mebibytes',
                kind=bounded_int(1, _MAX_COUNT),
                default='80',
                unit='MiB',
                meaning=(
                    'What the process holds, in memory as it is taken, of '
                    'requests, orders and answers; above it those without '
                    'progress for longest are given up. More than the '
                    'largest body, and less than half of the memory.'
                ),
            ),
            Key(
                name='connections',
                kind=bounded_int(1, _MAX_COUNT),
                default='2000',
                unit='connections',
                meaning=(
                    'Connections of clients at a time; above it the one idle '
                    'for longest is closed, or else one whose request is not '
                    'whole.'
                ),
            ),
        ),
    ),
    SectionTable(
        name='target',
        meaning='The target on the VM of this node.',
        keys=(
            Key(name='address', kind=ADDRESS, meaning='Where it listens.'),
            Key(
                name='slots',
                kind=bounded_int(1, _MAX_COUNT),
                default='16',
                unit='calls',
                meaning='Its slots, until it or the list reports them.',
            ),
        ),
    ),
    SectionTable(
        name='platform',
        meaning='Where targets and configurations are read.',
        keys=(Key(name='address', kind=ADDRESS, meaning='The store.'),),
    ),
    SectionTable(
        name='bounds',
        meaning='Limits that are guaranteed to operators.',
        keys=(
            Key(
                name='stop_seconds',
                kind=bounded_float(0.5, _MAX_SECONDS),
                default='6',
                unit='seconds',
                meaning='The maximum duration of a planned stop.',
            ),
            Key(
                name='retry_ratio',
                kind=bounded_float(0, 1),
                default='0.2',
                unit='retries a request',
                meaning='Retries that the fleet may send per request.',
            ),
            Key(
                name='retry_reserve',
                kind=bounded_float(0, _MAX_COUNT),
                default='0',
                unit='retries',
                meaning='Retries in a window on top of the ratio.',
            ),
            Key(
                name='retry_window_seconds',
                kind=bounded_float(0.1, _MAX_SECONDS),
                default='10',
                unit='seconds',
                meaning='The window of the ratio and the reserve.',
            ),
        ),
    ),
    SectionTable(
        name='logs',
        meaning='JSON lines on standard output.',
        keys=(
            Key(
                name='level',
                kind=one_of('debug', 'info', 'warning', 'error'),
                default='info',
                meaning='The minimum level that is written.',
            ),
            Key(
                name='records_per_second',
                kind=bounded_int(1, _MAX_COUNT),
                default='50',
                unit='records',
                meaning=(
                    'The number per second above which records are dropped '
                    'and counted; errors have a limit of their own, as high.'
                ),
            ),
        ),
    ),
)
