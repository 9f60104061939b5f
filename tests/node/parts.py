"""Runs nodes, their platform and plain ASGI targets in this process."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import orjson

from lovageshunt.node._assembly import Assembly
from lovageshunt.node.admin._servers import (
    EmbeddedServer,
    ServerTls,
    make_server,
)
from lovageshunt.rules import encode_document, parse_sheet
from lovageshunt.settings import load_node_settings
from standins.fleet import free_address
from standins.platform import PlatformState, make_app

SHEET = b"""deployment;parts
generation;1
service;kind;method;path;importance;repeatable;timeout_seconds;retry_bound
shop;basket;GET;/;2;yes;5;3
shop;order;POST;/;0;no;5;3
stock;count;GET;/;5;yes;5;3
"""
#: Stock calls shop too, so that it is granted a share of the retries.
CALLS = {'shop': 'stock', 'stock': 'shop'}


class NodeParts:
    """Addresses of one node on free ports, and its assembly once it runs.

    The name of the node is SERVICE-NUMBER.
    """

    def __init__(self, name):
        self.name = name
        self.service = name.rpartition('-')[0]
        self.ingress = free_address()
        self.admin = free_address()
        self.egress = free_address()
        self.target = free_address()
        self.parts = None

    def listing(self):
        """Return the entry of the node in the published VM list."""
        return {
            'name': self.name,
            'service': self.service,
            'failure_domain': 'a',
            'region': 'one',
            'address': self.ingress,
            'admin_address': self.admin,
            'state': 'live',
        }

    def settings(self, platform, more):
        """Return the settings file of the node; ``more`` is appended."""
        return (
            f'[node]\nname={self.name}\nservice={self.service}\n'
            'failure_domain=a\nregion=one\n'
            f'[listen]\ningress={self.ingress}\nadmin={self.admin}\n'
            f'egress={self.egress}\n'
            f'[target]\naddress={self.target}\nslots=20\nconnections=160\n'
            f'[platform]\naddresses={platform}\n'
            f'[calls]\nservices={CALLS[self.service]}\n'
            '[limits]\nsettle_seconds=0\ntransit_seconds=0\n'
            f'leave_seconds=0\ndrain_seconds=1\n{more}'
        )


async def read_body(receive):
    """Return the complete body of an ASGI request."""
    body = b''
    is_more = True
    while is_more:
        message = await receive()
        body += message.get('body', b'')
        is_more = message.get('more_body', False)
    return body


async def answer(send, status=200, body=b'', headers=()):
    """Send a complete ASGI response."""
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})


@asynccontextmanager
async def serving(*servers: EmbeddedServer):
    """Run the servers until the end of the block."""
    tasks = [asyncio.create_task(server.serve()) for server in servers]
    while not all(server.started for server in servers):
        await asyncio.sleep(0.01)
    try:
        yield
    finally:
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*tasks)


@asynccontextmanager
async def running(node, path):
    """Run one node from its settings file until the end of the block."""
    node.parts = Assembly(load_node_settings(path).ok, int)
    await node.parts.open()
    async with serving(*node.parts.servers()):
        run_task = asyncio.create_task(node.parts.runtime.run())
        try:
            yield
        finally:
            node.parts.runtime.begin_leave()
            await run_task
    await node.parts.close()


@asynccontextmanager
async def deployment(folder, target_by_name, more=''):
    """Run a platform, and a node with an ASGI target for each name."""
    nodes = {name: NodeParts(name) for name in target_by_name}
    platform = free_address()
    state = PlatformState()
    state.publish('vms', [node.listing() for node in nodes.values()])
    document = encode_document(parse_sheet(SHEET).ok.document)
    state.publish('rules', orjson.loads(document))
    plain = ServerTls()
    async with AsyncExitStack() as stack:
        servers = [make_server(make_app(state), platform, plain, 1)]
        for name, target in target_by_name.items():
            address = nodes[name].target
            servers.append(make_server(target, address, plain, 1))
        await stack.enter_async_context(serving(*servers))
        for name, node in nodes.items():
            path = folder / f'{name}.ini'
            path.write_text(node.settings(platform, more), encoding='utf-8')
            await stack.enter_async_context(running(node, path))
        async with asyncio.timeout(10):
            while not all(map(_is_ready, nodes.values())):
                await asyncio.sleep(0.02)
        try:
            yield nodes
        finally:
            # Ends the watch requests that the platform holds open.
            state.control({'outage': True})


def _is_ready(node):
    runtime = node.parts.runtime
    return runtime.is_serving and node.parts.rules_generation > 0
