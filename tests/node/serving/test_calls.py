"""How the daemon carries out what the gate asks for."""

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
from lovageshunt.node.serving._border import Admissible
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._target import TargetReply
from lovageshunt.rules import default_rule


class ForwardingGate:
    """A gate that forwards all and cancels what is abandoned."""

    def __init__(self):
        """Begin with no events."""
        self.events = []

    def handle(self, event, now):
        """Keep the event and return what follows."""
        self.events.append(event)
        if isinstance(event, CallAbandoned):
            return [CancelForward(event.ticket)]
        if isinstance(event, SimpleNamespace):
            return [Forward(event.ticket)]
        return []


class CrashedTarget:
    """A target that cuts each call, and whose health is slow to tell."""

    def __init__(self):
        """Begin with one question of health not asked."""
        self.asked = asyncio.Event()
        self.answered = asyncio.Event()

    async def dispatch(self, *args, **fields):
        """Cut the call."""
        return TargetReply(
            outcome=Outcome.FAILED,
            reason=RefusalReason.CONNECTION_LOST,
            was_cut=True,
        )

    async def is_healthy(self):
        """Tell when the test lets it."""
        self.asked.set()
        await self.answered.wait()
        return False


def begin(calls, number):
    """Take a lookup in and have it forwarded."""
    context = CallContext(
        request_id=f'r{number}',
        call_id=f'r{number}',
        importance=1,
        rank=1,
        timeout_ms=1000,
    )
    rule = default_rule('records', 'GET', '/')
    rule.is_repeatable = True
    call = calls.begin(
        InboundRequest(
            method='GET', path='/', target='/', headers={}, body=b''
        ),
        Admissible(context=context, rule=rule, is_external=False),
        SimpleNamespace(trace_parent=''),
        arrived_at=now(),
        deadline=now() + 1,
    )
    calls.handle(SimpleNamespace(ticket=call.ticket))
    return call


class TestCrashOfTheTarget:
    """Calls that are cut together."""

    async def test_told_although_one_is_abandoned(self):
        """The crash is told, and the others are not taken for cancelled."""
        gate, target = ForwardingGate(), CrashedTarget()
        calls = Calls(
            identity=None,
            gate=gate,
            target=target,
            inquiries=None,
            meter=None,
            key=None,
        )
        first, second = begin(calls, 1), begin(calls, 2)
        await target.asked.wait()
        calls.abandon(first, RefusalReason.CANCELLED)
        await asyncio.sleep(0)
        target.answered.set()
        await asyncio.wait((first.forwarding, second.forwarding))
        assert [type(event) for event in gate.events].count(TargetDown) == 1
        ended = {
            event.ticket: event.ending.reason
            for event in gate.events
            if isinstance(event, CallEnded)
        }
        assert ended[second.ticket] is RefusalReason.CONNECTION_LOST


class TestCancelBeforeTheFirstTurn:
    """A call whose caller leaves in the same turn in which it is forwarded."""

    async def test_its_slot_comes_back(self):
        """The gate is told that the call ended, and the target never called.

        A task that is cancelled before its first turn runs none of its code.
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
        call = begin(calls, 1)
        calls.abandon(call, RefusalReason.CANCELLED)
        await asyncio.wait((call.forwarding,))
        ended = [event for event in gate.events if isinstance(event, CallEnded)]

        assert [event.ticket for event in ended] == [call.ticket]
        assert not target.asked.is_set()
