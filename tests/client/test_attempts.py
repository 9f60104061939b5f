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


def first_then(first, others):
    """Return a handler that handles the first call unlike later ones."""
    count = 0

    async def serve(received):
        nonlocal count
        count += 1
        await (first if count == 1 else others)(received)

    return serve


async def answer(received):
    """Answer with a valid control part."""
    await received.answer()


async def refuse_leaving(received):
    """Refuse as *not run*, as a leaving node does."""
    await received.refuse(_NOT_RUN, _LEAVING)


async def answer_unknown(received):
    """Answer that the purchase may have run."""
    await received.refuse(
        Outcome.UNKNOWN,
        RefusalReason.CONNECTION_LOST,
        retry_after_ms=1,
    )


class TestWholeAnswer:
    """Which answers are accepted for a call."""

    async def test_is_returned(self):
        """A complete answer to this call is returned with its body."""
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
        """An answer with another call id or length gives *unknown*."""

        async def serve(received):
            await received.answer(**wrong)

        nodes = FakeNodes(serve)
        async with client_of(nodes, is_repeatable=False) as client:
            error = (await call(client)).error
        assert isinstance(error, CallUnknownError)
        assert error.reason == RefusalReason.MALFORMED


class TestLookup:
    """Calls that may be repeated."""

    async def test_leaving_moves_on(self):
        """A call that a leaving node refused is sent to another member."""
        nodes = FakeNodes(first_then(refuse_leaving, answer))
        async with client_of(nodes) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.received_calls
        assert first.node != second.node

    async def test_overload_is_not_retried(self):
        """A refusal for overload is returned with its retry-after."""

        async def serve(received):
            await received.refuse(_NOT_RUN, RefusalReason.OVERLOAD)

        nodes = FakeNodes(serve)
        async with client_of(nodes) as client:
            error = (await call(client)).error
        assert isinstance(error, CallNotRunError)
        assert error.retry_after_ms == 700
        assert len(nodes.received_calls) == 1

    async def test_threshold_refuses_unsent(self):
        """A call is refused locally if its level is above the threshold."""

        async def serve(received):
            await received.answer(threshold_by_service={'payments': 0})

        nodes = FakeNodes(serve)
        async with client_of(nodes, importance=7) as client:
            replies = [await call(client) for _ in range(50)]
        refused = [reply.error for reply in replies if reply.is_error()]
        assert {error.reason for error in refused} == {RefusalReason.OVERLOAD}
        assert {type(error) for error in refused} == {CallNotRunError}
        assert len(nodes.received_calls) == len(replies) - len(refused)

    async def test_retry_bound(self):
        """At most one attempt and the allowed retries are sent."""

        async def serve(received):
            await received.refuse(
                Outcome.FAILED,
                RefusalReason.TARGET_FAILED,
                retry_after_ms=1,
            )

        nodes = FakeNodes(serve)
        async with client_of(nodes, retry_bound=2) as client:
            error = (await call(client)).error
        assert isinstance(error, CallFailedError)
        assert len(nodes.received_calls) <= 3

    async def test_one_ran_is_not_not_run(self):
        """A later *not run* does not mask an earlier attempt that ran."""

        async def fail(received):
            await received.refuse(
                Outcome.FAILED,
                RefusalReason.TARGET_FAILED,
                retry_after_ms=1,
            )

        async def refuse(received):
            await received.refuse(_NOT_RUN, RefusalReason.OVERLOAD)

        nodes = FakeNodes(first_then(fail, refuse))
        async with client_of(nodes) as client:
            error = (await call(client)).error
        assert len(nodes.received_calls) == 2
        assert isinstance(error, CallFailedError)


class TestPurchase:
    """Calls that must not be repeated."""

    async def test_unknown_keeps_the_home(self):
        """After *unknown* the next attempt goes to the same home."""
        nodes = FakeNodes(first_then(answer_unknown, answer))
        async with client_of(nodes, is_repeatable=False, count=3) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.received_calls
        home = HomeNode(
            node=first.node,
            incarnation=f'life-of-{first.node}',
        )
        assert first.context.home == home
        assert second.context.home == home
        assert second.node == first.node

    async def test_cut_answer_stays_at_home(self):
        """After an invalid answer no other member is called.

        Such an answer does not prove that the call did not run.
        """

        async def cut(received):
            await received.answer(b'short', call_id='cut')

        nodes = FakeNodes(first_then(cut, answer))
        async with client_of(nodes, is_repeatable=False, count=3) as client:
            await call(client)
        assert len({received.node for received in nodes.received_calls}) == 1

    async def test_home_of_the_answer_is_kept(self):
        """The next attempt goes to the home that an answer names."""

        async def name_other_home(received):
            names = {member.node for member in nodes.members}
            home = (names - {received.node}).pop()
            await received.refuse(
                Outcome.UNKNOWN,
                RefusalReason.CONNECTION_LOST,
                retry_after_ms=1,
                home=HomeNode(node=home, incarnation='named'),
            )

        nodes = FakeNodes(first_then(name_other_home, answer))
        async with client_of(
            nodes,
            is_repeatable=False,
            retry_bound=9,
        ) as client:
            await call(client, attempt=2)
        first, second = nodes.received_calls
        assert second.node != first.node
        assert second.context.home.incarnation == 'named'

    @pytest.mark.parametrize('attempt', [1, 2])
    @pytest.mark.parametrize('first', [answer_unknown, refuse_leaving])
    async def test_numbering(self, attempt, first):
        """Attempt numbers are those that the run-once table expects."""
        nodes = FakeNodes(first_then(first, answer))
        async with client_of(
            nodes,
            is_repeatable=False,
            retry_bound=9,
        ) as client:
            await call(client, attempt=attempt)
        is_proved = first is refuse_leaving
        assert [
            received.context.attempt for received in nodes.received_calls
        ] == [
            next_attempt_number(attempt, is_proved_not_run=True),
            next_attempt_number(attempt, is_proved_not_run=is_proved),
        ]

    async def test_proved_not_run_moves_on(self):
        """A purchase proved *not run* by its home may get a new home."""
        nodes = FakeNodes(first_then(refuse_leaving, answer))
        async with client_of(nodes, is_repeatable=False) as client:
            assert (await call(client)).is_ok()
        first, second = nodes.received_calls
        assert second.node != first.node
        assert second.context.home.node == second.node

    async def test_repeated_request_names_no_home(self):
        """A repeated request names no home, since it may have one already."""
        nodes = FakeNodes(answer)
        async with client_of(nodes, is_repeatable=False) as client:
            await call(client, attempt=2, age_ms=50)
        assert nodes.received_calls[0].context.home is None
        assert nodes.received_calls[0].context.age_ms >= 50


class TestTime:
    """Deadlines and cancellation."""

    async def test_late_is_unknown(self):
        """A purchase not answered in time is *unknown* and cancelled."""
        nodes = FakeNodes()
        async with client_of(
            nodes,
            is_repeatable=False,
            timeout_ms=1,
        ) as client:
            error = (await call(client)).error
            await asyncio.wait_for(nodes.disconnected.wait(), 5)
        assert isinstance(error, CallUnknownError)

    async def test_no_time_is_not_sent(self):
        """A request whose deadline has passed sends nothing."""
        nodes = FakeNodes(answer)
        async with client_of(nodes) as client:
            error = (await call(client, timeout_ms=0)).error
        assert isinstance(error, CallNotRunError)
        assert not nodes.received_calls

    async def test_cancelled_below(self):
        """The node sees a disconnect when the caller cancels a call."""
        nodes = FakeNodes()
        async with client_of(nodes) as client:
            calling = asyncio.create_task(call(client))
            while not nodes.received_calls:
                await asyncio.sleep(0.01)
            calling.cancel()
            await asyncio.wait_for(nodes.disconnected.wait(), 5)
