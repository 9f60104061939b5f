"""The entry of a target, as it publishes it."""

from typing import Any

ENTRY: dict[str, Any] = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_s': 0.5,
    'seq': 4,
    'born': 1764800000000,
}
