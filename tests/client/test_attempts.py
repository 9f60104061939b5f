"""The attempts of one call, against fake nodes over loopback."""

import asyncio

import pytest

from lovageshunt.calls import HomeNode, Outcome, RefusalReason
from lovageshunt.errors import (
    CallFailedError,
    CallNotRunError,
    CallUnknownError,
)
from lovageshunt.idempotency import next_attempt_number
from tests.client.fakes import FakeNodes, client_of

_NOT_RUN = Outcome.NOT_RUN
_LEAVING = RefusalReason.LEAVING


async def call(client, attempt=1, **request):
    """Make the one call of a root request."""
    scope = client.request(request_id='r1', attempt=attempt, **request)
    return await scope.call('payments', 'POST', '/tokens', body=b'{}')


def first_other(first, others):
    """Return what treats the first arrival in one way, the rest in another."""
    count = 0

    async def serve(arrival):
        nonlocal count
        count += 1
        await (first if count == 1 else others)(arrival)

    return serve


async def answer(arrival):
    """Answer as a node should."""
    await arrival.answer()


async def refuse_leaving(arrival):
    """Refuse as a leaving node does."""
    await arrival.refuse(_NOT_RUN, _LEAVING)


async def doubt(arrival):
    """Say that the purchase may have run."""
    await arrival.refuse(
        Outcome.UNKNOWN,
        RefusalReason.CONNECTION_LOST,
        retry_after_ms=1,
    )


class TestWholeAnswer:
    """What makes an answer the call's own and whole."""

    async def test_is_returned(self):
        """A whole answer of this call is returned with its body."""
        async with client_of(FakeNodes(answer)) as client:
            assert (await call(client)).ok.body == b'whole'

    @pytest.mark.parametrize(
        'wrong',
        [
            {'call_id': 'another call'},
            {'body_length': 6},
            {'body_length': 4},
        ],
    )
    async def test_wrong_control_part(self, wrong):
        """An answer of another call or length is unknown, not an answer."""

        async def serve(arrival):
            await arrival.answer(**wrong)

        nodes = FakeNodes(serve)
        async with client_of(nodes, is_repeatable=False) as client:
            error = (await call(client)).error
        assert isinstance(error, CallUnknownError)
        assert error.reason == RefusalReason.MALFORMED


class TestLookup:
    """Calls that may be repeated."""

    async def test_leaving_moves_on(self):
        """A call that a leaving node refused goes to another member."""
        nodes = FakeNodes(first_other(refuse_leaving, answer))
        async with client_of(nodes) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.arrivals
        assert first.node != second.node

    async def test_overload_is_not_retried(self):
        """A refusal for overload travels up with when to come back."""

        async def serve(arrival):
            await arrival.refuse(_NOT_RUN, RefusalReason.OVERLOAD)

        nodes = FakeNodes(serve)
        async with client_of(nodes) as client:
            error = (await call(client)).error
        assert isinstance(error, CallNotRunError)
        assert error.retry_after_ms == 700
        assert len(nodes.arrivals) == 1

    async def test_threshold_refuses_unsent(self):
        """A level that answers said to be refused is refused unsent."""

        async def serve(arrival):
            await arrival.answer(threshold_by_service={'payments': 0})

        nodes = FakeNodes(serve)
        async with client_of(nodes, importance=7) as client:
            replies = [await call(client) for _ in range(50)]
        refused = [reply.error for reply in replies if reply.is_error()]
        assert {error.reason for error in refused} == {RefusalReason.OVERLOAD}
        assert {type(error) for error in refused} == {CallNotRunError}
        assert len(nodes.arrivals) == len(replies) - len(refused)

    async def test_retry_bound(self):
        """No more arrive than one and the retries of the bound."""

        async def serve(arrival):
            await arrival.refuse(
                Outcome.FAILED,
                RefusalReason.TARGET_FAILED,
                retry_after_ms=1,
            )

        nodes = FakeNodes(serve)
        async with client_of(nodes, retry_bound=2) as client:
            error = (await call(client)).error
        assert isinstance(error, CallFailedError)
        assert len(nodes.arrivals) <= 3

    async def test_one_ran_is_not_not_run(self):
        """A later *not run* does not hide that an earlier attempt ran."""

        async def fail(arrival):
            await arrival.refuse(
                Outcome.FAILED,
                RefusalReason.TARGET_FAILED,
                retry_after_ms=1,
            )

        async def refuse(arrival):
            await arrival.refuse(_NOT_RUN, RefusalReason.OVERLOAD)

        nodes = FakeNodes(first_other(fail, refuse))
        async with client_of(nodes) as client:
            error = (await call(client)).error
        assert len(nodes.arrivals) == 2
        assert isinstance(error, CallFailedError)


class TestPurchase:
    """Calls that must not repeat."""

    async def test_stamp_stays_in_doubt(self):
        """In doubt the next attempt goes to the same home, with its stamp."""
        nodes = FakeNodes(first_other(doubt, answer))
        async with client_of(nodes, is_repeatable=False, count=3) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.arrivals
        stamp = HomeNode(
            node=first.node,
            incarnation=f'life-of-{first.node}',
        )
        assert first.context.home == stamp
        assert second.context.home == stamp
        assert second.node == first.node

    async def test_cut_answer_stays_at_home(self):
        """A cut answer proves nothing, so no other member is asked."""

        async def cut(arrival):
            await arrival.answer(b'short', call_id='cut')

        nodes = FakeNodes(first_other(cut, answer))
        async with client_of(nodes, is_repeatable=False, count=3) as client:
            await call(client)
        assert len({arrival.node for arrival in nodes.arrivals}) == 1

    async def test_home_of_the_answer_is_kept(self):
        """The home that an answer names gets the next attempt."""

        async def doubt_of_other(arrival):
            names = {member.node for member in nodes.members}
            home = (names - {arrival.node}).pop()
            await arrival.refuse(
                Outcome.UNKNOWN,
                RefusalReason.CONNECTION_LOST,
                retry_after_ms=1,
                home=HomeNode(node=home, incarnation='named'),
            )

        nodes = FakeNodes(first_other(doubt_of_other, answer))
        async with client_of(
            nodes,
            is_repeatable=False,
            retry_bound=9,
        ) as client:
            await call(client, attempt=2)
        first, second = nodes.arrivals
        assert second.node != first.node
        assert second.context.home.incarnation == 'named'

    @pytest.mark.parametrize('attempt', [1, 2])
    @pytest.mark.parametrize('first', [doubt, refuse_leaving])
    async def test_numbering(self, attempt, first):
        """Attempts are numbered as the run-once table expects."""
        nodes = FakeNodes(first_other(first, answer))
        async with client_of(
            nodes,
            is_repeatable=False,
            retry_bound=9,
        ) as client:
            await call(client, attempt=attempt)
        is_proved = first is refuse_leaving
        assert [one.context.attempt for one in nodes.arrivals] == [
            next_attempt_number(attempt, is_proved_not_run=True),
            next_attempt_number(attempt, is_proved_not_run=is_proved),
        ]

    async def test_proved_not_run_moves_on(self):
        """A purchase that its home proves not run may be stamped anew."""
        nodes = FakeNodes(first_other(refuse_leaving, answer))
        async with client_of(nodes, is_repeatable=False) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.arrivals
        assert second.node != first.node
        assert second.context.home.node == second.node

    async def test_resend_is_not_stamped(self):
        """A resend carries no stamp, because it may have a home already."""
        nodes = FakeNodes(answer)
        async with client_of(nodes, is_repeatable=False) as client:
            await call(client, attempt=2, age_ms=50)
        assert nodes.arrivals[0].context.home is None
        assert nodes.arrivals[0].context.age_ms >= 50


class TestTime:
    """Deadlines and callers that go away."""

    async def test_late_is_unknown(self):
        """A purchase without an answer in time is unknown, and cancelled."""
        nodes = FakeNodes()
        async with client_of(
            nodes,
            is_repeatable=False,
            timeout_ms=1,
        ) as client:
            error = (await call(client)).error
            await asyncio.wait_for(nodes.gone.wait(), 5)
        assert isinstance(error, CallUnknownError)

    async def test_no_time_is_not_sent(self):
        """A request whose time is over sends nothing."""
        nodes = FakeNodes(answer)
        async with client_of(nodes) as client:
            error = (await call(client, timeout_ms=0)).error
        assert isinstance(error, CallNotRunError)
        assert not nodes.arrivals

    async def test_cancelled_below(self):
        """The node notices when the caller of a call gives it up."""
        nodes = FakeNodes()
        async with client_of(nodes) as client:
            calling = asyncio.create_task(call(client))
            while not nodes.arrivals:
                await asyncio.sleep(0.01)
            calling.cancel()
            await asyncio.wait_for(nodes.gone.wait(), 5)
