"""The platform's store with a configuration and the entries of servers."""

import json
import time
from typing import Any

from review.deployment.machine import ZONE, Machine
from review.deployment.server import Server
from standins.store import StoreStandIn


def route(
    name: str,
    prefix: str,
    service: str,
    *,
    kind: str = 'idempotent',
    timeout_s: float = 5,
) -> dict[str, Any]:
    """Return a rule of the configuration."""
    return {
        'name': name,
        'route_type': kind,
        'target_latency_s': min(1.2, timeout_s),
        'priority': 2,
        'match': {'prefix': prefix},
        'action': {
            'service': service,
            'timeout_s': timeout_s,
            'max_attempts': 2,
        },
    }


def publish_configuration(
    store: StoreStandIn,
    *,
    host: str,
    rules: list[dict[str, Any]],
    connections: dict[str, int],
    tenants: list[dict[str, Any]] | None = None,
    version: int = 7,
) -> None:
    """Write a configuration as the operator does."""
    fields: dict[str, Any] = {
        'version': f'{version:08x}',
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'listeners': [{'host': host, 'rule_set': rules}],
        'clusters': [
            {
                'name': service,
                'health_path': '/health',
                'max_connections': count,
                'protocol': 'h1',
                'tls': False,
            }
            for service, count in connections.items()
        ],
    }
    if tenants is not None:
        fields['tenants'] = tenants
    store.put('op/config', json.dumps(fields).encode())


def publish_server(
    store: StoreStandIn, machine: Machine, server: Server
) -> None:
    """Write the entry of a server as it does itself."""
    fields = {
        'service': server.service,
        'address': f'{machine.host}:{machine.ports["app"]}',
        'zone': ZONE,
        'version': '1.0',
        'slots': server.slots,
        'state': 'ready',
        'cold_left_s': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
    }
    store.put(f'servers/{server.server_id}', json.dumps(fields).encode())
