"""Execution of the actions that the gate returns."""

import asyncio
from types import SimpleNamespace

from lovageshunt.calls import CallContext, Outcome, RefusalReason
from lovageshunt.client import InboundRequest
from lovageshunt.clock import now
from lovageshunt.node.gate._messages import (
    CallAbandoned,
    CallEnded,
    CancelForward,
    Forward,
    TargetDown,
)
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._http_boundary import ParsedCall
from lovageshunt.node.serving._target import TargetReply
from lovageshunt.rules import default_rule


class ForwardingGate:
    """A gate that forwards every call and cancels abandoned ones."""

    def __init__(self):
        self.events = []

    def handle(self, event, now):
        """Record the event and return the resulting actions."""
        self.events.append(event)
        if isinstance(event, CallAbandoned):
            return [CancelForward(event.ticket)]
        if isinstance(event, SimpleNamespace):
            return [Forward(event.ticket)]
        return []


class CrashedTarget:
    """A target that drops each connection; its health check is slow.

    The check sets ``asked`` and then waits for ``answered``.
    """

    def __init__(self):
        self.asked = asyncio.Event()
        self.answered = asyncio.Event()

    async def dispatch(self, *args, **fields):
        """Report that the connection closed without a response."""
        return TargetReply(
            outcome=Outcome.FAILED,
            reason=RefusalReason.CONNECTION_LOST,
            was_disconnected=True,
        )

    async def is_healthy(self):
        """Fail the health check once ``answered`` is set."""
        self.asked.set()
        await self.answered.wait()
        return False


def track(calls, number):
    """Track a lookup and have the gate forward it."""
    context = CallContext(
        request_id=f'r{number}',
        call_id=f'r{number}',
        importance=1,
        rank=1,
        timeout_ms=1000,
    )
    rule = default_rule('records', 'GET', '/')
    rule.is_repeatable = True
    call = calls.track(
        InboundRequest(
            method='GET', path='/', target='/', headers={}, body=b''
        ),
        ParsedCall(context=context, rule=rule, is_external=False),
        SimpleNamespace(trace_parent=''),
        arrived_at=now(),
        deadline=now() + 1,
    )
    calls.handle(SimpleNamespace(ticket=call.ticket))
    return call


class TestCrashOfTheTarget:
    """Several calls in flight when the target crashes."""

    async def test_reported_although_one_is_abandoned(self):
        """Abandoning one call does not cancel the shared crash check.

        The crash is reported once, and the other call ends as disconnected.
        """
        gate, target = ForwardingGate(), CrashedTarget()
        calls = Calls(
            identity=None,
            gate=gate,
            target=target,
            inquiries=None,
            meter=None,
            key=None,
        )
        first, second = track(calls, 1), track(calls, 2)
        await target.asked.wait()
        calls.abandon(first, RefusalReason.CANCELLED)
        await asyncio.sleep(0)
        target.answered.set()
        await asyncio.wait((first.forward_task, second.forward_task))
        assert [type(event) for event in gate.events].count(TargetDown) == 1
        ended = {
            event.ticket: event.ending.reason
            for event in gate.events
            if isinstance(event, CallEnded)
        }
        assert ended[second.ticket] is RefusalReason.CONNECTION_LOST


class TestCancelBeforeTheTaskStarts:
    """A call that is abandoned before its forwarding task starts."""

    async def test_its_slot_is_released(self):
        """The end of the call is reported, and the target is not called.

        A task that is cancelled before it starts runs none of its code, so
        the slot of the call would never be released.
        """
        gate, target = ForwardingGate(), CrashedTarget()
        calls = Calls(
            identity=None,
            gate=gate,
            target=target,
            inquiries=None,
            meter=None,
            key=None,
        )
        call = track(calls, 1)
        calls.abandon(call, RefusalReason.CANCELLED)
        await asyncio.wait((call.forward_task,))
        ended = [event for event in gate.events if isinstance(event, CallEnded)]

        assert [event.ticket for event in ended] == [call.ticket]
        assert not target.asked.is_set()
