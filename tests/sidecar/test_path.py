"""The path of a request: client, node, node, target, and back."""

import asyncio
from itertools import count

import pytest

from tests.sidecar.fake_target import FakeTarget, Received, answer
from tests.sidecar.world import (
    METRICS_PORT,
    READY_PORT,
    Client,
    World,
    client_of,
    configuration,
    status_of,
    wait_until,
    world_of,
)


async def remote_client(world: World) -> Client:
    """Connect to the first node, whose targets are at the other nodes."""
    for node in world.nodes:
        node.fleet_state.apply_targets(world.entries()[1:], 2)
    return await client_of(world.hosts[0])


class TestForwarding:
    """Requests are forwarded, and some header fields are overwritten."""

    async def test_carries_a_request_to_a_remote_target(self) -> None:
        """A remote target's response is forwarded unchanged."""
        async with world_of(2) as world:
            client = await remote_client(world)
            got = await client.ask('/read/a?b=c', extra='X-Other: 1\r\n')
            assert status_of(got) == 200
            assert got.body == world.hosts[1].encode()
            assert got.headers['x-proof'] == 'p'
            sent = world.targets[1].received[0]
            assert sent.line == 'GET /read/a?b=c HTTP/1.1'
            assert sent.headers['x-other'] == '1'

    async def test_overwrites_fields_that_nodes_set(self) -> None:
        """A client cannot spoof its caller service or the target."""
        async with world_of(2) as world:
            client = await remote_client(world)
            spoofed = 'X-Caller: root\r\nX-Target: i-9\r\n'
            await client.ask('/read/a', extra=spoofed)
            sent = world.targets[1].received[0]
            assert sent.headers['x-caller'] == 'own'
            assert sent.headers['x-target'] == 'i-1'
            assert 1300 < int(sent.headers['x-left']) <= 1500

    async def test_passes_a_body_on(self) -> None:
        """A body reaches the target unchanged."""
        async with world_of(2) as world:
            client = await remote_client(world)
            body = bytes(range(256)) * 200
            await client.ask('/buy/a', body=body)
            assert world.targets[1].received[0].body == body

    @pytest.mark.parametrize('digits', [400, 5000])
    async def test_takes_a_time_of_many_digits_for_any_time(
        self, digits: int
    ) -> None:
        """Guards against a connection that ends without a response."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a', left_ms='9' * digits)
            assert status_of(got) == 200

    async def test_has_no_route_for_other_paths(self) -> None:
        """A path that matches no route gets a 404."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/other/')) == 404

    async def test_refuses_requests_before_it_has_a_configuration(self) -> None:
        """Without a configuration a node responds 503 with retry-after."""
        async with world_of(1, is_published=False) as world:
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0

    async def test_never_goes_back_to_an_older_configuration(self) -> None:
        """An older version that arrives late is ignored."""
        async with world_of(1) as world:
            node = world.nodes[0]
            node.fleet_state.apply_configuration(configuration('s', version=5))
            node.fleet_state.apply_configuration(
                configuration('gone', version=4)
            )
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/read/a')) == 200


class TestAnswers:
    """Responses that are truncated, refused, or of another request."""

    async def test_retries_a_cut_answer_elsewhere(self) -> None:
        """A repeatable request with a lost response is retried elsewhere."""
        async with world_of(2) as world:
            cut_answers(world.targets[0])
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert got.body == world.hosts[1].encode()

    async def test_never_repeats_what_must_not_be(self) -> None:
        """A lost response to a non-repeatable request: 502, run once."""
        async with world_of(2) as world:
            cut_answers(world.targets[0])
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/buy/a', body=b'x')) == 502
            runs = [len(target.received) for target in world.targets]
            assert sum(runs) == 1

    @pytest.mark.parametrize('status', ['000', '042', '600', '999'])
    async def test_passes_on_no_answer_without_a_status(
        self, status: str
    ) -> None:
        """Guards against MIXED: 502 to the client, and nothing runs twice.

        Of what must not be repeated the outcome is unknown, so that it is
        never told not to have run.
        """
        async with world_of(1) as world:

            async def serve(received: Received) -> bytes:
                line = f'HTTP/1.1 {status} '.encode()
                return answer(received).replace(b'HTTP/1.1 200 ', line)

            world.targets[0].serve = serve
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/read/a')) == 502
            assert status_of(await client.ask('/buy/a', body=b'x')) == 502
            lines = [each.line for each in world.targets[0].received]
            assert sum('/buy/' in line for line in lines) == 1

    async def test_ignores_an_earlier_answer(self) -> None:
        """A response with another attempt id is dropped."""
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
        """Without proof or id, or encoded, a response is not forwarded."""
        async with world_of(1) as world:

            async def doubtful(received: Received) -> bytes:
                return answer(received).replace(change, field)

            world.targets[0].serve = doubtful
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert status_of(got) == 502

    async def test_passes_a_target_s_failure_on(self) -> None:
        """A target's own 500 is forwarded with its proof."""
        async with world_of(1) as world:

            async def failing(received: Received) -> bytes:
                return answer(received, b'bad', status=500)

            world.targets[0].serve = failing
            client = await client_of(world.hosts[0])
            got = await client.ask('/read/a')
            assert (status_of(got), got.body) == (500, b'bad')
            assert got.headers['x-proof'] == 'p'

    async def test_reports_not_run_when_the_target_refused(self) -> None:
        """A target's refusal becomes a 503 with retry-after."""
        async with world_of(1) as world:

            async def full(received: Received) -> bytes:
                return answer(received, status=503, extra='X-Not-Run: 1\r\n')

            world.targets[0].serve = full
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert status_of(got) == 503
            assert float(got.headers['retry-after']) > 0

    @pytest.mark.parametrize('path', ['/read/a', '/buy/a'])
    async def test_retries_refused_requests(self, path: str) -> None:
        """A refused call is retried beyond the target limit, and runs once.

        Refusing targets did not run it, so they may receive it again.
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

    async def test_never_reports_not_run_if_it_may_have_run(self) -> None:
        """A lost response followed by a refusal gets a 502, not a 503."""
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
        """A non-repeatable request that was not sent is retried."""
        async with world_of(2) as world:
            world.targets[0].close()
            client = await client_of(world.hosts[0])
            got = await client.ask('/buy/a', body=b'x')
            assert got.body == world.hosts[1].encode()


class TestClosedConnections:
    """A target closes an idle connection while a request is sent."""

    async def test_sends_again_on_a_fresh_connection(self) -> None:
        """A repeatable request is sent again on a new connection."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            close_in_turn(world.targets[0])
            assert status_of(await client.ask('/read/b')) == 200

    async def test_keeps_to_a_part_of_the_retry_budget(self) -> None:
        """Resending is limited if a target closes every other connection."""
        async with world_of(1) as world:
            client = await client_of(world.hosts[0])
            await client.ask('/read/a')
            close_in_turn(world.targets[0])
            for _ in range(60):
                await client.ask('/read/b')
            # Resends get a tenth of the reserve of 100; 70 % of it is used.
            assert len(world.targets[0].received) <= 61 + 8


def close_in_turn(target: FakeTarget) -> None:
    """Make a target close every other connection without a response."""
    turns = count()

    async def serve(received: Received) -> bytes:
        if next(turns) % 2 == 0:
            raise ConnectionError
        return answer(received)

    target.serve = serve


class TestLeaving:
    """Disconnecting clients, lost links, and nodes that shut down."""

    @pytest.mark.parametrize('is_remote', [False, True])
    async def test_cancels_for_a_client_that_disconnected(
        self, is_remote: bool
    ) -> None:
        """The target's call is cancelled within half a second."""
        async with world_of(2) as world:
            for target in world.targets:
                target.serve = never
            client = await client_of(world.hosts[0])
            if is_remote:
                client = await remote_client(world)
            client.send('/read/a')
            target = world.targets[int(is_remote)]
            await wait_until(lambda: target.received)
            client.writer.close()
            await wait_until(lambda: target.ended_early == 1, 0.5)

    async def test_survives_a_link_that_is_cut(self) -> None:
        """A call on a lost link is answered on the next, and runs once."""
        async with world_of(2) as world:
            target = world.targets[1]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received, b'once')

            target.serve = slow
            client = await remote_client(world)
            client.send('/buy/a', body=b'x')
            await wait_until(lambda: target.received)
            world.nodes[1].close_incoming_links()
            await asyncio.sleep(0.2)
            go_on.set()
            assert (await client.read()).body == b'once'
            assert len(target.received) == 1

    async def test_repeats_no_purchase_when_its_node_dies(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A non-repeatable call whose node is lost fails, and runs once."""
        timeouts = 'lovageshunt.links._dialer._RESUME_SECONDS'
        monkeypatch.setattr(timeouts, {True: 0.3, False: 0.2})
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
        """An answer that was made while the link was lost is delivered."""
        async with world_of(2) as world:
            target = world.targets[1]

            async def cut_first(received: Received) -> bytes:
                world.nodes[1].close_incoming_links()
                return answer(received, b'kept')

            target.serve = cut_first
            client = await remote_client(world)
            got = await client.ask('/buy/a', body=b'x')
            assert got.body == b'kept'
            assert len(target.received) == 1

    async def test_knows_its_calls_when_a_target_is_listed_again(self) -> None:
        """Calls to a target that is listed again get their own answers."""
        async with world_of(2) as world:
            client = await remote_client(world)
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
        """A call that runs at a target removed from the list is answered."""
        async with world_of(2) as world:
            target = world.targets[1]
            go_on = asyncio.Event()

            async def slow(received: Received) -> bytes:
                await go_on.wait()
                return answer(received, b'done')

            target.serve = slow
            client = await remote_client(world)
            client.send('/buy/a', body=b'x')
            await wait_until(lambda: target.received)
            world.nodes[0].fleet_state.apply_targets(world.entries()[:1], 3)
            await asyncio.sleep(0.7)
            go_on.set()
            assert (await client.read()).body == b'done'

    async def test_learns_from_nodes_without_the_platform(self) -> None:
        """A node without the platform gets its state from another node."""
        async with world_of(2, is_published=False) as world:
            first, second = world.nodes
            first.fleet_state.apply_configuration(configuration('s'))
            first.fleet_state.apply_targets(world.entries(), 1)
            await wait_until(lambda: second.is_ready)
            client = await client_of(world.hosts[1])
            assert status_of(await client.ask('/read/a')) == 200

    async def test_reports_readiness(self) -> None:
        """The readiness address responds 503, then 200."""
        async with world_of(1, is_published=False) as world:
            assert await ready_status(world.hosts[0]) == 503
            world.publish()
            assert await ready_status(world.hosts[0]) == 200


class TestSlots:
    """How many calls a target runs at a time."""

    async def test_uses_the_published_slots(self) -> None:
        """A target that reports no load gets the slots of the list."""
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
        """A request that waited its share of the deadline is refused.

        The call before it ends with a load report, or still runs.
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
        """A wait that ends before an earlier timer is refused on time."""
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
    """Calls that reach their deadline."""

    async def test_ends_at_the_route_s_timeout(self) -> None:
        """A target that does not respond gives a 502 or 504 in time."""
        async with world_of(1) as world:
            world.targets[0].serve = never
            client = await client_of(world.hosts[0])
            began = asyncio.get_running_loop().time()
            got = await client.ask('/buy/a', body=b'x')
            seconds = asyncio.get_running_loop().time() - began
            assert status_of(got) in {502, 504}
            assert 1.4 < seconds < 2


def cut_answers(target: FakeTarget) -> None:
    """Make a target close the connection instead of responding."""

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
    """The metrics endpoint of a sidecar."""

    async def test_counts_answers_and_refusals(self) -> None:
        """Requests are counted by status and reason."""
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
