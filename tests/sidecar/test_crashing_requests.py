"""Requests that crash each target that runs them, at several nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count, cycle
from logging import INFO

import pytest

from lovageshunt.clock import now as clock_now
from tests.sidecar.fake_target import FakeTarget, Received, answer
from tests.sidecar.world import (
    World,
    client_of,
    world_of,
)

_CRASHING = '/read/crashing'
_ORDINARY = '/read/ordinary'
#: How soon all nodes must act on news, in seconds.
_CONTACT_SECONDS = 3
#: Arrivals that are allowed after that, of a request that crashed three.
_MAX_LATE_ARRIVALS = 3
_SEND_INTERVAL_SECONDS = 0.15
_DOWN_SECONDS = 1.0


class Sent:
    """One attempt of a client: when it was sent, and its status."""

    def __init__(self, sent_at: float, status: int, retry_after: str) -> None:
        self.sent_at = sent_at
        self.status = status
        self.retry_after = retry_after


class Play:
    """Sends requests at all nodes in turn and records what becomes of them.

    ``arrivals`` are the times at which the crashing request reached targets,
    ``ends`` those at which it crashed them. ``sent_by_path`` are the attempts,
    ``running_at`` the targets at which a request runs, for ``serves_seconds``.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.arrivals: list[float] = []
        self.ends: list[float] = []
        self.sent_by_path: dict[str, list[Sent]] = {}
        self.running_at: set[FakeTarget] = set()
        self.serves_seconds = 0.03
        self._numbers = count()
        self._tasks: set[asyncio.Task[None]] = set()
        for target in world.targets:
            target.serve = self._serve_with(target)

    async def press(self, path: str, seconds: float, interval: float) -> None:
        """Send a request again and again, each time at the next node."""
        ends_at = clock_now() + seconds
        for host in cycle(self.world.hosts):
            if clock_now() >= ends_at:
                return
            self._start(self.ask(host, path))
            await asyncio.sleep(interval)

    async def finish(self) -> None:
        """Wait for the responses and the return of crashed targets."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def served_share(self, path: str, *, after: float) -> float:
        """Return the share of the attempts sent after a time that succeeded."""
        late = [
            sent for sent in self.sent_by_path[path] if sent.sent_at > after
        ]
        return sum(sent.status == 200 for sent in late) / len(late)

    def crash(self, target: FakeTarget) -> None:
        """Crash a target that is up; it returns after a while."""
        self.running_at.discard(target)
        if target.is_up:
            self._start(target.crash(_DOWN_SECONDS))

    def _start(self, running) -> None:
        task = asyncio.ensure_future(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, host: str, path: str) -> None:
        """Send a request at one node and record its response."""
        sent_at = clock_now()
        client = await client_of(host)
        got = await client.ask(path, attempt=f'a{next(self._numbers)}')
        client.writer.close()
        self.sent_by_path.setdefault(path, []).append(
            Sent(
                sent_at,
                int(got.line.split()[1]),
                got.headers.get('retry-after', ''),
            ),
        )

    def _serve_with(self, target: FakeTarget):
        async def serve(received: Received) -> bytes:
            is_crashing = _CRASHING in received.line
            if is_crashing:
                self.arrivals.append(clock_now())
            self.running_at.add(target)
            await asyncio.sleep(self.serves_seconds)
            self.running_at.discard(target)
            if is_crashing:
                self.ends.append(clock_now())
                self.crash(target)
                raise ConnectionError
            return answer(received)

        return serve


@asynccontextmanager
async def play_of(count_of_nodes: int) -> AsyncIterator[Play]:
    async with world_of(count_of_nodes) as world:
        play = Play(world)
        yield play
        await play.finish()


class TestCrashingRequest:
    """One request crashes every target that runs it, and comes again."""

    async def test_stops_reaching_targets_at_all_nodes(self) -> None:
        """At most three arrivals later than 3 s after the third end."""
        async with play_of(6) as play:
            await play.press(_CRASHING, 6, _SEND_INTERVAL_SECONDS)
            await play.finish()
            acts_by = play.ends[2] + _CONTACT_SECONDS
            late = [at for at in play.arrivals if at > acts_by]
            assert len(late) <= _MAX_LATE_ARRIVALS
            refused = [
                sent
                for sent in play.sent_by_path[_CRASHING]
                if sent.status == 503
            ]
            assert refused
            assert all(float(sent.retry_after) > 0 for sent in refused)

    async def test_ordinary_requests_keep_the_targets_that_stand(self) -> None:
        """Once nodes act on the crashes, all of them are served."""
        async with play_of(6) as play:
            await asyncio.gather(
                play.press(_CRASHING, 6, _SEND_INTERVAL_SECONDS),
                play.press(_ORDINARY, 6, 0.05),
            )
            await play.finish()
            acts_by = play.ends[2] + _CONTACT_SECONDS
            assert play.served_share(_ORDINARY, after=acts_by) == 1


class TestSoundRequests:
    """Targets crash for reasons of their own while requests run."""

    async def test_popular_request_is_not_blamed_for_chance_crashes(
        self,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Twelve crashes under it get it refused nowhere."""
        caplog.set_level(INFO)
        async with play_of(6) as play:
            pressing = asyncio.ensure_future(play.press(_ORDINARY, 6, 0.02))
            for target in play.world.targets * 2:
                await asyncio.sleep(0.35)
                play.crash(target)
            last_crash = clock_now()
            await pressing
            await play.finish()
            assert sum(each.crashes for each in play.world.targets) == 12
            assert play.served_share(_ORDINARY, after=0) > 0.98
            assert play.served_share(_ORDINARY, after=last_crash + 1.2) == 1
        assert 'quarantine' not in {
            getattr(record, 'reason', None) for record in caplog.records
        }

    async def test_request_in_flight_at_two_crashes_is_served_when_it_returns(
        self,
    ) -> None:
        """It has crashed nothing, and another target stands."""
        async with play_of(4) as play:
            host = play.world.hosts[0]
            play.serves_seconds = 0.5
            asking = asyncio.ensure_future(play.ask(host, _ORDINARY))
            for _ in range(2):
                await asyncio.sleep(0.15)
                play.crash(play.running_at.copy().pop())
            await asking
            await asyncio.sleep(0.5)
            await play.ask(host, _ORDINARY)
            statuses = [sent.status for sent in play.sent_by_path[_ORDINARY]]
            assert statuses == [502, 200]


class TestRestartedNode:
    """A node that restarts has forgotten what crashes targets."""

    async def test_learns_from_its_peers_what_is_condemned(self) -> None:
        """It refuses the request at its first hop, as they do."""
        async with play_of(4) as play:
            await play.press(_CRASHING, 3, _SEND_INTERVAL_SECONDS)
            await play.finish()
            arrivals = len(play.arrivals)
            await play.world.restart_node(0)
            await play.ask(play.world.hosts[0], _CRASHING)
            assert play.sent_by_path[_CRASHING][-1].status == 503
            assert len(play.arrivals) == arrivals
