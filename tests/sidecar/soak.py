"""Random faults on a small fleet while requests are sent, one crashing targets.

Run many seeds by hand with ``python -m tests.sidecar.soak FIRST LAST``.
"""

import asyncio
import logging
import os
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from lovageshunt.client_accounts import digest_of
from lovageshunt.clock import now as clock_now
from lovageshunt.routes import ClientAccount
from tests.sidecar.fake_target import FakeTarget, Received, answer
from tests.sidecar.world import (
    World,
    client_of,
    configuration,
    encode,
    world_of,
)

_NODES = 5
_SECONDS = 8.0
#: A play that takes longer hangs.
_MAX_SECONDS = 90.0
_CRASHING = '/read/crashing'
_PATHS = ('/read/popular', '/read/{number}', '/buy/{number}')
_ROUTE_ATTEMPTS = 2
_CONTACT_SECONDS = 3
_MAX_LATE_ARRIVALS = 3
#: The header field of a target that takes eight calls a second.
_LIMIT = 'X-Limit: 8\r\n'
#: How long the event loop stands still at most when a target is replaced.
_MAX_LATE_SECONDS = 0.3

#: Accounts by their keys: one has a limit, and no account has the last key.
_ACCOUNT_BY_KEY = {'k-small': 'small', 'k-free': 'free', 'k-none': ''}
_PER_SECOND = {'small': 15}
#: The statuses which state that a request has not run.
_NOT_RUN_STATUSES = frozenset((401, 429, 503))

#: A crowd of clients that stop one byte short of the end of a body, and what a
#: node may hold of them: half of what they send.
_CROWD = 6
_STALLED_BYTES = 90_000
_HELD_BYTES = _CROWD * _STALLED_BYTES // 2
_STALLED_KEY = 'X-Key: k-free\r\n'

Fault = Callable[[], Coroutine[Any, Any, None]]


class Soak:
    """One seeded play: requests, faults, and what the targets saw of them.

    ``violations`` lists what must not happen, in words.
    """

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.violations: list[str] = []
        self.statuses: dict[int, int] = {}
        self._rng = Random(seed)
        self._targets_by_attempt: dict[str, set[str]] = {}
        self._account_by_attempt: dict[str, str] = {}
        self._not_run: set[str] = set()
        self._arrivals: list[float] = []
        self._ends: list[float] = []
        self._number = 0
        self._revision = 1
        self._version = 1
        self._replaced = [0] * _NODES
        self._limited: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        for target in world.targets:
            target.serve = self._serve_with(target)

    async def run(self) -> None:
        """Play requests and overlapping faults, then check."""
        await asyncio.gather(
            self._repeat(self._send_crashing, 0.12),
            self._repeat(self._send, 0.015),
            self._repeat(self._cause_fault, 0.5),
        )
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._check()

    async def _repeat(self, act: Callable[[], None], mean: float) -> None:
        ends_at = clock_now() + _SECONDS
        while clock_now() < ends_at:
            act()
            await asyncio.sleep(self._rng.expovariate(1 / mean))

    def _start(self, running: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self) -> None:
        self._number += 1
        path = self._rng.choice(_PATHS).format(number=self._number)
        key = self._rng.choice((*_ACCOUNT_BY_KEY, 'k-free'))
        self._start(self._ask(path, f'a{self._number}', key))

    def _send_crashing(self) -> None:
        self._number += 1
        self._start(self._ask(_CRASHING, f'a{self._number}', 'k-free'))

    def _cause_fault(self) -> None:
        faults: list[Fault] = [
            self._crash_target,
            self._restart_node,
            self._stop_node,
            self._cut_links,
            self._change_list,
            self._limit_targets,
            self._replace_target,
            self._stall_clients,
        ]
        self._start(self._rng.choice(faults)())

    async def _ask(self, path: str, attempt: str, key: str) -> None:
        self._account_by_attempt[attempt] = _ACCOUNT_BY_KEY[key]
        extra = f'X-Key: {key}\r\nX-Account: forged\r\n'
        body = b'x' if path.startswith('/buy/') else b''
        try:
            client = await client_of(self._rng.choice(self.world.hosts))
        except OSError:
            return
        with suppress(asyncio.IncompleteReadError, OSError):
            got = await client.ask(
                path, attempt=attempt, body=body, extra=extra
            )
            status = int(got.line.split()[1])
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status in _NOT_RUN_STATUSES:
                self._not_run.add(attempt)
        client.writer.close()

    def _serve_with(
        self, target: FakeTarget
    ) -> Callable[[Received], Awaitable[bytes]]:
        async def serve(received: Received) -> bytes:
            seen = self._targets_by_attempt.setdefault(received.attempt, set())
            if '/buy/' in received.line and seen:
                self.violations.append(f'{received.attempt} ran twice')
            seen.add(target.host)
            self._check_account(received)
            is_crashing = _CRASHING in received.line
            if is_crashing:
                self._arrivals.append(clock_now())
            await asyncio.sleep(0.03)
            if is_crashing:
                self._ends.append(clock_now())
                self._start(target.crash(1))
                raise ConnectionError
            is_limited = target.host in self._limited
            return answer(received, extra=_LIMIT if is_limited else '')

        return serve

    def _check_account(self, received: Received) -> None:
        """Check that the account is that of the key, which is not told."""
        told = received.headers.get('x-account', '')
        wanted = self._account_by_attempt[received.attempt]
        if not wanted or told != wanted or 'x-key' in received.headers:
            self.violations.append(f'{received.attempt} ran for {told!r}')

    async def _crash_target(self) -> None:
        target = self._rng.choice(self.world.targets)
        if target.is_up:
            await target.crash(self._rng.uniform(0.2, 1.5))

    async def _restart_node(self) -> None:
        await self.world.restart_node(self._rng.randrange(_NODES))

    async def _stop_node(self) -> None:
        at = self._rng.randrange(_NODES)
        self.world.nodes[at].stop()
        await asyncio.sleep(self._rng.uniform(0.1, 3))
        await self.world.restart_node(at)

    async def _cut_links(self) -> None:
        self._rng.choice(self.world.nodes).close_incoming_links()

    async def _limit_targets(self) -> None:
        """Let all targets but one limit their calls, so that calls wait."""
        self._limited = set(self._rng.sample(self.world.hosts, _NODES - 1))
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._limited = set()

    async def _stall_clients(self) -> None:
        """Let a crowd stop short of the end of large bodies at one node."""
        at = self._rng.randrange(_NODES)
        self.world.nodes[at]._listeners.buffers.limit_bytes = _HELD_BYTES
        body = bytes(_STALLED_BYTES)
        with suppress(OSError):
            crowd = [
                await client_of(self.world.hosts[at]) for _ in range(_CROWD)
            ]
            for client in crowd:
                request = encode('/buy/stalled', body=body, extra=_STALLED_KEY)
                client.writer.write(request[:-1])
            await asyncio.sleep(self._rng.uniform(1, 3))
            for client in crowd:
                client.writer.close()

    async def _replace_target(self) -> None:
        """Put another target in the place of one, while nodes are late."""
        self._replaced[self._rng.randrange(_NODES)] += 1
        stand_still(self._rng.uniform(0, _MAX_LATE_SECONDS))
        self._apply_targets(self._rng.randrange(2, 8))

    async def _change_list(self) -> None:
        self._apply_targets(self._rng.randrange(2, 8))
        self._version += 1
        for node in self.world.nodes:
            node.fleet_state.apply_configuration(
                configuration(
                    's', version=self._version, accounts=self.world.accounts
                )
            )

    def _apply_targets(self, slots: int) -> None:
        self._revision += 1
        for node in self.world.nodes:
            entries = self.world.entries(slots=slots)
            for entry, count in zip(entries, self._replaced, strict=True):
                entry.target_id += f'-{count}'
            node.fleet_state.apply_targets(entries, self._revision)

    def _check(self) -> None:
        for attempt in self._not_run & self._targets_by_attempt.keys():
            self.violations.append(f'{attempt} was told as not run, and ran')
        for attempt, hosts in self._targets_by_attempt.items():
            if len(hosts) > _ROUTE_ATTEMPTS:
                self.violations.append(f'{attempt} ran at {len(hosts)} targets')
        if len(self._ends) < 3:
            return
        acts_by = self._ends[2] + _CONTACT_SECONDS
        late = sum(at > acts_by for at in self._arrivals)
        if late > _MAX_LATE_ARRIVALS:
            self.violations.append(f'{late} arrivals of what crashes targets')


def _accounts() -> Iterator[ClientAccount]:
    for key, name in _ACCOUNT_BY_KEY.items():
        if name:
            yield ClientAccount(
                name=name,
                key_digests=(digest_of(key.encode()),),
                per_second=_PER_SECOND.get(name),
                burst=5,
            )


def stand_still(seconds: float) -> None:
    """Block the event loop, so that timers are due that have not run."""
    time.sleep(seconds)


async def soak(seed: int) -> Soak:
    """Play one seed and return what was found."""
    async with world_of(_NODES, is_published=False) as world:
        world.publish(accounts=tuple(_accounts()))
        await asyncio.sleep(0.1)
        play = Soak(world, seed)
        await play.run()
        return play


def _write_sockets() -> None:
    """Print the sockets of the machine.

    The second column is the local address, the fourth the state (0A listens)
    and the fifth, after the colon, how many connections wait to be accepted.
    """
    sys.stdout.write(Path('/proc/self/net/tcp').read_text())


async def _soak_or_exit(seed: int) -> Soak:
    """Play one seed; print what runs and exit if it does not end."""
    playing = asyncio.ensure_future(soak(seed))
    await asyncio.wait((playing,), timeout=_MAX_SECONDS)
    if playing.done():
        return playing.result()
    sys.stdout.write(f'{seed} did not end in {_MAX_SECONDS} s\n')
    for task in asyncio.all_tasks():
        task.print_stack(limit=6, file=sys.stdout)
    _write_sockets()
    sys.stdout.flush()
    # Tasks that do not end would keep the event loop from closing.
    os._exit(1)


def main() -> int:
    """Play the seeds of the command line; return 1 if one is violated."""
    logging.disable(logging.CRITICAL)
    is_good = True
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        play = asyncio.run(_soak_or_exit(seed))
        is_good = is_good and not play.violations
        sys.stdout.write(f'{seed} {play.statuses} {play.violations}\n')
        sys.stdout.flush()
    return 0 if is_good else 1


if __name__ == '__main__':
    sys.exit(main())
