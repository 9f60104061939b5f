"""The calls of one request, against fake nodes over loopback."""

import pytest

from lovageshunt.calls import CallContext, Outcome, RefusalReason
from lovageshunt.client import Call
from lovageshunt.errors import CallFailedError
from tests.client.fakes import FakeNodes, client_of


def inner(client, **fields):
    """Return the scope of a call that a target received."""
    context = {
        'request_id': 'r1',
        'call_id': 'r1.2',
        'importance': 2,
        'rank': 77,
        'timeout_ms': 4000,
        'retries_left': 5,
        **fields,
    }
    return client.inner_scope(CallContext(**context))


def calls(count):
    """Return calls with distinct paths."""
    return [Call(service='payments', path=f'/{at}') for at in range(count)]


class TestInheritance:
    """What calls inherit from their request."""

    async def test_level_and_id(self):
        """A call inherits request id, importance and rank, not its call id."""
        nodes = FakeNodes(lambda received: received.answer())
        async with client_of(nodes, importance=6) as client:
            scope = inner(client)
            await scope.call('payments', 'GET', '/')
            await scope.call('payments', 'GET', '/')
        contexts = [received.context for received in nodes.received_calls]
        assert [one.call_id for one in contexts] == ['r1.2.1', 'r1.2.2']
        assert {one.request_id for one in contexts} == {'r1'}
        assert {(one.importance, one.rank) for one in contexts} == {(2, 77)}

    async def test_time(self):
        """A call has no longer timeout than its request."""
        nodes = FakeNodes(lambda received: received.answer())
        async with client_of(nodes) as client:
            await inner(client, timeout_ms=900).call('payments', 'GET', '/')
        assert 0 < nodes.received_calls[0].context.timeout_ms <= 900


class TestCallAll:
    """Concurrent calls."""

    @pytest.mark.parametrize('count', [1, 2, 3, 7])
    async def test_shares_within_allowance(self, count):
        """The shares of concurrent calls add up to the allowance."""
        nodes = FakeNodes(lambda received: received.answer())
        async with client_of(nodes) as client:
            replies = await inner(client).call_all(calls(count))
        assert all(reply.is_ok() for reply in replies)
        shares = [
            received.context.retries_left for received in nodes.received_calls
        ]
        assert sum(shares) == 5

    async def test_unspent_comes_back(self):
        """Retries that answers report as unused are returned."""

        async def serve(received):
            await received.answer(unspent=received.context.retries_left)

        async with client_of(FakeNodes(serve)) as client:
            scope = inner(client)
            await scope.call_all(calls(3))
            assert scope.unspent == 5

    async def test_lost_share_is_spent(self):
        """The share of a call without a valid answer is spent."""

        async def serve(received):
            await received.answer(call_id='another', unspent=9)

        nodes = FakeNodes(serve)
        async with client_of(nodes, is_repeatable=False) as client:
            scope = inner(client)
            await scope.call_all(calls(3))
            assert scope.unspent == 0

    async def test_each_gets_its_own(self):
        """The replies are in the order of the calls."""

        async def serve(received):
            await received.answer(received.context.call_id.encode())

        async with client_of(FakeNodes(serve)) as client:
            replies = await inner(client).call_all(calls(20))
        assert [reply.ok.body.decode() for reply in replies] == [
            f'r1.2.{number}' for number in range(1, 21)
        ]

    async def test_none(self):
        """No calls give no replies."""
        async with client_of(FakeNodes(), count=0) as client:
            assert await inner(client).call_all([]) == []

    async def test_retries_within_allowance(self):
        """Concurrent calls that all fail stay within the allowance."""

        async def serve(received):
            await received.refuse(
                Outcome.FAILED,
                RefusalReason.TARGET_FAILED,
                retry_after_ms=1,
            )

        nodes = FakeNodes(serve)
        async with client_of(nodes) as client:
            await inner(client).call_all(calls(4))
        assert 4 <= len(nodes.received_calls) <= 4 + 5


class TestAttemptsBeyondTheBound:
    """Requests that are repeated more often than the rules allow."""

    async def test_lookup_is_not_claimed_as_not_run(self):
        """It is *failed*, since an earlier attempt may have run."""
        async with client_of(FakeNodes(), retry_bound=3) as client:
            scope = client.request(request_id='r', attempt=9)
            reply = await scope.call('payments', 'GET', '/')

        assert isinstance(reply.error, CallFailedError)
        assert reply.error.reason is RefusalReason.RETRY_BOUND

    async def test_purchase_may_still_learn_its_outcome(self):
        """It is sent without retries; the run-once table never reruns it."""

        async def serve(received):
            await received.answer()

        nodes = FakeNodes(serve)
        async with client_of(
            nodes,
            retry_bound=3,
            is_repeatable=False,
        ) as client:
            scope = client.request(request_id='r', attempt=9)
            reply = await scope.call('payments', 'POST', '/')

        assert reply.is_ok()
        assert nodes.received_calls[0].context.retries_left == 0
