"""The table of every section and key of a sidecar's settings."""

from typing import Final

from lovageshunt.settings._keys import (
    ABSENT,
    FAILURE_DOMAIN,
    REGION,
    Key,
    SectionTable,
)
from lovageshunt.settings._kinds import ADDRESS, TEXT, number, one_of
from lovageshunt.settings._kinds import whole_number as whole

_MOST_COUNT: Final = 1_000_000
_MOST_SECONDS: Final = 3600.0

#: The settings of a sidecar.
SIDECAR_TABLES: Final = (
    SectionTable(
        name='node',
        meaning='Who this node is.',
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
            Key(name='ready', kind=ADDRESS, meaning='Whether it is ready.'),
            Key(
                name='metrics_port',
                kind=whole(1, 65535),
                default=ABSENT,
                meaning='Metrics as text, at the address of the links.',
            ),
        ),
    ),
    SectionTable(
        name='target',
        meaning='The target beside this node.',
        keys=(
            Key(name='address', kind=ADDRESS, meaning='Where it listens.'),
            Key(
                name='slots',
                kind=whole(1, _MOST_COUNT),
                default='16',
                unit='calls',
                meaning='Its slots, until it or the list tells them.',
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
        meaning='What operators are promised.',
        keys=(
            Key(
                name='stop_seconds',
                kind=number(0.5, _MOST_SECONDS),
                default='6',
                unit='seconds',
                meaning='A planned stop is over after so long.',
            ),
            Key(
                name='retry_ratio',
                kind=number(0, 1),
                default='0.2',
                unit='retries a request',
                meaning='Retries that the fleet may send, by its requests.',
            ),
            Key(
                name='retry_reserve',
                kind=whole(0, _MOST_COUNT),
                default='0',
                unit='retries',
                meaning='Retries in a window on top of the ratio.',
            ),
            Key(
                name='retry_window_seconds',
                kind=number(0.1, _MOST_SECONDS),
                default='10',
                unit='seconds',
                meaning='The window of both.',
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
                meaning='The least level that is written.',
            ),
            Key(
                name='records_per_second',
                kind=whole(1, _MOST_COUNT),
                default='50',
                unit='records',
                meaning='More are held back and counted; errors as many again.',
            ),
        ),
    ),
)
