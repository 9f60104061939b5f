"""The whole path: client, node, node, target, and back."""

import asyncio
from itertools import count

import pytest

from tests.sidecar.world import (
    METRICS_PORT,
    READY_PORT,
    Client,
    FakeTarget,
    Received,
    World,
    answer,
    client_of,
    configuration,
    world_of,
)


def status_of(received: Received) -> int:
    return int(received.line.split()[1])


async def far_client(world: World) -> Client:
    """Connect to the first node of a world whose only target is far."""
    for node in world.nodes:
        node.fleet_state.apply_targets(world.entries()[1:], 2)
    return await client_of(world.hosts[0])


async def wait_until(condition: object, seconds: float = 2) -> None:
    async with asyncio.timeout(seconds):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.01)


class TestForwarding:
    """What passes, and what is set on the way."""

    async def test_carries_a_request_to_a_far_target(self) -> None:
        """The far target's own answer comes back unchanged."""
        async with world_of(2) as world:
            client = await far_client(world)
            got = await client.ask('/read/a?b=c', extra='X-Other: 1\r\n')
            assert status_of(got) == 200
            assert got.body == world.hosts[1].encode()
            assert got.headers['x-proof'] == 'p'
            sent = world.targets[1].received[0]
            assert sent.line == 'GET /read/a?b=c HTTP/1.1'
            assert sent.headers['x-other'] == '1'

    async def test_sets_what_is_not_the_client_s_to_say(self) -> None:
        """Caller, target and time left are the nodes' own words."""
        async with world_of(2) as world:
            client = await far_client(world)
            spoofed = 'X-Caller: root\r\nX-Target: i-9\r\n'
            await client.ask('/read/a', extra=spoofed)
            sent = world.targets[1].received[0]
            assert sent.headers['x-caller'] == 'own'
            assert sent.headers['x-target'] == 'i-1'
            assert 1300 < int(sent.headers['x-left']) <= 1500

    async def test_passes_a_body_on(self) -> None:
        """A body arrives byte for byte."""
        async with world_of(2) as world:
            client = await far_client(world)
            body = bytes(range(256)) * 200
            await client.ask('/buy/a', body=body)
            assert world.targets[1].received[0].body == body

    async def test_has_no_route_for_other_paths(self) -> None:
        """A path that no route has is not found."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/other/')) == 404

    async def test_settles_before_it_knows_a_configuration(self) -> None:
        """Without a configuration a node says when to come back."""
        async with world_of(1, is_published=False) as world:
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0

    async def test_never_goes_back_to_an_older_configuration(self) -> None:
        """An older version that arrives late changes nothing."""
        async with world_of(1) as world:
            node = world.nodes[0]
            node.fleet_state.apply_configuration(configuration('s', version=5))
            node.fleet_state.apply_configuration(
                configuration('gone', version=4)
            )
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/read/a')) == 200


class TestAnswers:
    """Answers that are not whole, or not this request's."""

    async def test_retries_a_cut_answer_elsewhere(self) -> None:
        """A lookup whose answer broke off is tried at another target."""
        async with world_of(2) as world:
            cut_answers(world.targets[0])
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert got.body == world.hosts[1].encode()

    async def test_never_repeats_what_must_not_be(self) -> None:
        """A purchase whose answer broke off ends as a 502, run once."""
        async with world_of(2) as world:
            cut_answers(world.targets[0])
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/buy/a', body=b'x')) == 502
            runs = [len(target.received) for target in world.targets]
            assert sum(runs) == 1

    async def test_passes_over_an_earlier_answer(self) -> None:
        """An answer that belongs to another request reaches nobody."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/first')

            async def late(received: Received) -> bytes:
                stale = answer(received, b'stale').replace(
                    b'/second', b'/first'
                )
                return stale + answer(received, b'fresh')

            world.targets[0].serve = late
            assert (await client.ask('/read/second')).body == b'fresh'

    @pytest.mark.parametrize(
        ('change', 'field'),
        [
            (b'X-Proof: p\r\n', b''),
            (b'X-Proof', b'Content-Encoding: gzip\r\nX-Proof'),
            (b'X-Attempt: /buy/a\r\n', b''),
        ],
    )
    async def test_passes_on_no_answer_in_doubt(
        self,
        change: bytes,
        field: bytes,
    ) -> None:
        """Without proof, encoded, or without an id it is no answer."""
        async with world_of(1) as world:

            async def doubtful(received: Received) -> bytes:
                return answer(received).replace(change, field)

            world.targets[0].serve = doubtful
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert status_of(got) == 502

    async def test_passes_a_target_s_failure_on(self) -> None:
        """A target's own failure comes back with its proof."""
        async with world_of(1) as world:

            async def failing(received: Received) -> bytes:
                return answer(received, b'bad', status=500)

            world.targets[0].serve = failing
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert (status_of(got), got.body) == (500, b'bad')
            assert got.headers['x-proof'] == 'p'

    async def test_says_not_run_only_with_the_target_s_word(self) -> None:
        """A target's refusal becomes a 503 with when to come back."""
        async with world_of(1) as world:

            async def full(received: Received) -> bytes:
                return answer(received, status=503, extra='X-Not-Run: 1\r\n')

            world.targets[0].serve = full
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0

    @pytest.mark.parametrize('path', ['/read/a', '/buy/a'])
    async def test_sends_what_was_refused_again(self, path: str) -> None:
        """A call that targets refuse at random gets through, and runs once
        although it is sent more often than there may be targets.
        """
        async with world_of(2) as world:
            turns = count()
            ran: list[str] = []

            async def refusing(received: Received) -> bytes:
                if next(turns) < 4:
                    extra = 'X-Not-Run: 1\r\n'
                    return answer(received, status=503, extra=extra)
                ran.append(received.attempt)
                return answer(received)

            for target in world.targets:
                target.serve = refusing
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask(path, body=b'x')) == 200
            assert ran == [path]

    async def test_says_not_run_of_nothing_that_may_have_run(self) -> None:
        """A lookup that ran once is not told not to have run by a second
        target's refusal.
        """
        async with world_of(2) as world:
            cut_answers(world.targets[0])

            async def full(received: Received) -> bytes:
                return answer(received, status=503, extra='X-Not-Run: 1\r\n')

            world.targets[1].serve = full
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert status_of(got) == 502
            assert float(got.headers['retry-after']) > 0

    async def test_goes_on_when_a_target_does_not_listen(self) -> None:
        """A purchase that was not sent may be sent to another target."""
        async with world_of(2) as world:
            world.targets[0].close()
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert got.body == world.hosts[1].encode()


class TestClosedConnections:
    """A target that closes a kept connection as a request comes."""

    async def test_sends_again_on_a_fresh_connection(self) -> None:
        """One such close costs a lookup nothing."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            close_in_turn(world.targets[0])
            assert status_of(await client.ask('/read/b')) == 200

    async def test_keeps_to_a_part_of_the_retry_budget(self) -> None:
        """A target that closes every other connection is not asked twice
        each time.
        """
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            close_in_turn(world.targets[0])
            for _ in range(60):
                await client.ask('/read/b')
            # A tenth of a reserve of 100, of which seven in ten are used.
            assert len(world.targets[0].received) <= 61 + 8


def close_in_turn(target: FakeTarget) -> None:
    """Let a target close every other connection without an answer."""
    turns = count()

    async def serve(received: Received) -> bytes:
        if next(turns) % 2 == 0:
            raise ConnectionError
        return answer(received)

    target.serve = serve


class TestLeaving:
    """Clients, links and nodes that go."""

    @pytest.mark.parametrize('is_far', [False, True])
    async def test_cancels_for_a_client_that_left(self, is_far: bool) -> None:
        """Half a second after a close the target no longer works."""
        async with world_of(2) as world:
            for target in world.targets:
                target.serve = never
            client = await client_of(world.hosts[0])
            if is_far:
                client = await far_client(world)
            client.send('/read/a')
            target = world.targets[int(is_far)]
            await wait_until(lambda: target.received)
            client.writer.close()
            await wait_until(lambda: target.ended_early == 1, 0.5)

    async def test_survives_a_link_that_is_cut(self) -> None:
        """A purchase on a lost link is answered and runs once."""
        async with world_of(2) as world:
            target = world.targets[1]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received, b'once')

            target.serve = slow
            client = await far_client(world)
            client.send('/buy/a', body=b'x')
            await wait_until(lambda: target.received)
            world.nodes[1].cut_links()
            await asyncio.sleep(0.2)
            go_on.set()
            assert (await client.read()).body == b'once'
            assert len(target.received) == 1

    async def test_repeats_no_purchase_when_its_node_dies(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A purchase whose node is gone ends as unknown, run once."""
        waits = 'lovageshunt.links._dialer._RESUME_ONCE_SECONDS'
        monkeypatch.setattr(waits, 0.2)
        async with world_of(3) as world:
            for target in world.targets:
                target.serve = never
            for node in world.nodes:
                node.fleet_state.apply_targets(world.entries()[1:], 2)
            client = await client_of(world.hosts[0])
            client.send('/buy/a', body=b'x')
            runs = [target.received for target in world.targets]
            await wait_until(lambda: any(runs))
            world.tasks[1 + int(bool(runs[2]))].cancel()
            world.nodes[1 + int(bool(runs[2]))].close()
            got = await client.read()
            assert status_of(got) in {502, 504}
            assert sum(len(each) for each in runs) == 1

    async def test_keeps_an_answer_for_a_lost_link(self) -> None:
        """An answer made while the link was lost is delivered."""
        async with world_of(2) as world:
            target = world.targets[1]

            async def cut_first(received: Received) -> bytes:
                world.nodes[1].cut_links()
                return answer(received, b'kept')

            target.serve = cut_first
            client = await far_client(world)
            got = await client.ask('/buy/a', body=b'x')
            assert got.body == b'kept'
            assert len(target.received) == 1

    async def test_knows_its_calls_when_a_target_is_listed_again(self) -> None:
        """A target that left the list and returned gets no old answers."""
        async with world_of(2) as world:
            client = await far_client(world)
            target = world.targets[1]

            async def echo(received: Received) -> bytes:
                return answer(received, received.attempt.encode())

            target.serve = echo
            assert (await client.ask('/read/a')).body == b'/read/a'
            world.nodes[0].fleet_state.apply_targets([], 3)
            await asyncio.sleep(0.7)
            world.nodes[0].fleet_state.apply_targets(world.entries()[1:], 4)
            assert (await client.ask('/read/b')).body == b'/read/b'
            assert len(target.received) == 2

    async def test_finishes_calls_to_a_target_that_left_the_list(self) -> None:
        """A target that is no longer listed still answers what it runs."""
        async with world_of(2) as world:
            target = world.targets[1]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received, b'done')

            target.serve = slow
            client = await far_client(world)
            client.send('/buy/a', body=b'x')
            await wait_until(lambda: target.received)
            world.nodes[0].fleet_state.apply_targets(world.entries()[:1], 3)
            await asyncio.sleep(0.7)
            go_on.set()
            assert (await client.read()).body == b'done'

    async def test_finishes_what_it_took_when_stopped(self) -> None:
        """A planned stop answers what was read, and closes after it."""
        async with world_of(1) as world:
            target = world.targets[0]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received)

            target.serve = slow
            client = await client_of(world.hosts[0])
            client.send('/read/a')
            await wait_until(lambda: target.received)
            world.nodes[0].stop()
            assert not world.nodes[0].is_ready
            await asyncio.sleep(0.1)
            go_on.set()
            got = await client.read()
            assert status_of(got) == 200
            assert got.headers['connection'] == 'close'

    async def test_takes_nothing_that_outlasts_its_stop(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Clients that come all the same are told that theirs has not run,
        and what was taken before is answered.
        """
        module = 'lovageshunt.sidecar._sidecar.'
        monkeypatch.setattr(f'{module}_LAST_TAKEN_SECONDS', 0.1)
        # Of the six seconds of a stop it serves one and a half.
        monkeypatch.setattr(f'{module}_LAST_SECONDS', 4.5)
        async with world_of(1) as world:
            target = world.targets[0]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received)

            target.serve = slow
            early = await client_of(world.hosts[0])
            early.send('/read/a')
            await wait_until(lambda: target.received)
            world.nodes[0].stop()
            await asyncio.sleep(0.3)
            late = await client_of(world.hosts[0])
            got = await late.ask('/read/b', left_ms=1800)
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0
            in_time = await client_of(world.hosts[0])
            in_time.send('/read/c', left_ms=700)
            await wait_until(lambda: len(target.received) == 2)
            go_on.set()
            for client in (early, in_time):
                assert status_of(await client.read()) == 200
            ran = [each.attempt for each in target.received]
            assert ran == ['/read/a', '/read/c']

    async def test_is_avoided_when_it_stops(self) -> None:
        """Other nodes place no more calls beside a node that stops."""
        async with world_of(3) as world:
            for node in world.nodes:
                node.fleet_state.apply_targets(world.entries()[1:], 2)
            world.nodes[1].stop()
            await asyncio.sleep(0.1)
            client = await client_of(world.hosts[0])
            for _ in range(5):
                got = await client.ask('/read/a')
                assert got.body == world.hosts[2].encode()

    async def test_learns_from_nodes_without_the_platform(self) -> None:
        """A node that reads nothing is ready by what a node told it."""
        async with world_of(2, is_published=False) as world:
            first, second = world.nodes
            first.fleet_state.apply_configuration(configuration('s'))
            first.fleet_state.apply_targets(world.entries(), 1)
            await wait_until(lambda: second.is_ready)
            client = await client_of(world.hosts[1])
            assert status_of(await client.ask('/read/a')) == 200

    async def test_tells_when_it_is_ready(self) -> None:
        """The ready address answers 503, then 200."""
        async with world_of(1, is_published=False) as world:
            assert await ready_status(world.hosts[0]) == 503
            world.publish()
            assert await ready_status(world.hosts[0]) == 200


class TestSlots:
    """How much a target is given."""

    async def test_takes_the_published_slots(self) -> None:
        """A target that tells no load gets what the list says it bears."""
        async with world_of(1) as world:
            target = world.targets[0]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received)

            target.serve = slow
            world.nodes[0].fleet_state.apply_targets(world.entries(1), 2)
            clients = [await client_of(world.hosts[0]) for _ in range(2)]
            for client in clients:
                client.send('/read/a')
            await wait_until(lambda: target.received)
            await asyncio.sleep(0.1)
            assert len(target.received) == 1
            go_on.set()
            for client in clients:
                assert status_of(await client.read()) == 200


class TestWaiting:
    """Requests that wait for a slot."""

    @pytest.mark.parametrize('seconds', [0.3, 1.2])
    async def test_refuses_when_the_wait_is_over(self, seconds: float) -> None:
        """A request that waited its part is refused, whatever else happens:
        the call before it ends with a report of load, or goes on.
        """
        async with world_of(1) as world:
            target = world.targets[0]

            async def slow(received: Received) -> bytes:
                await asyncio.sleep(seconds)
                return answer(received, extra='X-Load: 1\r\n')

            target.serve = slow
            world.nodes[0].fleet_state.apply_targets(world.entries(1), 2)
            first = await client_of(world.hosts[0])
            second = await client_of(world.hosts[0])
            first.send('/read/a', left_ms=1900)
            await wait_until(lambda: target.received)
            second.send('/read/b', left_ms=500)
            got = await second.read()
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0
            assert len(target.received) == 1

    async def test_refuses_before_the_call_ahead_has_ended(self) -> None:
        """A shorter wait than the one begun before is kept all the same."""
        async with world_of(1) as world:
            target = world.targets[0]
            ended: list[str] = []

            async def slow(received: Received) -> bytes:
                await asyncio.sleep(0.5)
                ended.append(received.attempt)
                return answer(received)

            target.serve = slow
            world.nodes[0].fleet_state.apply_targets(world.entries(1), 2)
            first = await client_of(world.hosts[0])
            second = await client_of(world.hosts[0])
            first.send('/read/a', left_ms=1900)
            await wait_until(lambda: target.received)
            second.send('/read/b', left_ms=300)
            assert status_of(await second.read()) == 503
            assert not ended


class TestDeadlines:
    """Time that runs out."""

    async def test_ends_at_the_route_s_timeout(self) -> None:
        """A target's silence ends as a 504 soon after the deadline."""
        async with world_of(1) as world:
            world.targets[0].serve = never
            client = await client_of(world.hosts[0])
            began = asyncio.get_running_loop().time()
            got = await client.ask('/buy/a', body=b'x')
            seconds = asyncio.get_running_loop().time() - began
            assert status_of(got) in {502, 504}
            assert 1.4 < seconds < 2


def cut_answers(target: FakeTarget) -> None:
    """Let a target break every answer off, and end the connection."""

    async def cut(received: Received) -> bytes:
        raise ConnectionError

    target.serve = cut


async def never(received: Received) -> bytes:
    await asyncio.sleep(60)
    return b''


async def ready_status(host: str) -> int:
    reader, writer = await asyncio.open_connection(host, READY_PORT)
    client = Client(reader, writer)
    got = await client.ask('/ready')
    writer.close()
    return status_of(got)


class TestMetrics:
    """The numbers of a sidecar."""

    async def test_counts_answers_and_refusals(self) -> None:
        """Requests are counted by status and by why."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            await client.ask('/other/')
            text = await scraped(world.hosts[0])
            assert 'lovageshunt_requests_total{' in text
            assert 'reason="no_route"' in text
            assert 'status="200"' in text
            assert 'lovageshunt_run_seconds_bucket' in text


async def scraped(host: str) -> str:
    reader, writer = await asyncio.open_connection(host, METRICS_PORT)
    client = Client(reader, writer)
    got = await client.ask('/metrics')
    writer.close()
    return got.body.decode()
