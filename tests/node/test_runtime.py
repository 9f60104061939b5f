"""The node's timer."""

import asyncio
from types import SimpleNamespace

from lovageshunt.node._runtime import Runtime
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.gate._messages import GateTicked

_TURNS = 3
_ENOUGH_SECONDS = 3


class CountingCalls:
    """Counts the turns of the timer."""

    def __init__(self):
        """Begin with none."""
        self.turns = 0
        self.has_turned = asyncio.Event()

    def handle(self, event):
        """Count a turn; tell when there were enough."""
        self.turns += isinstance(event, GateTicked)
        if self.turns >= _TURNS:
            self.has_turned.set()


async def hang(*args):
    """Give no answer."""
    await asyncio.Event().wait()


def make_runtime(calls):
    """Return a runtime whose target and peers give no answer."""
    fleet = SimpleNamespace(peers=SimpleNamespace(peers=()), leave=None)
    control = SimpleNamespace(
        fleet=fleet,
        tick=lambda: None,
        account_peers=list,
        send_snapshots=lambda sends: None,
    )
    return Runtime(
        identity=None,
        control=control,
        gate=None,
        calls=calls,
        inquiries=None,
        target=SimpleNamespace(load=hang),
        keeping=SimpleNamespace(handle=lambda event: []),
        pauses=SimpleNamespace(value=0),
        settler=SimpleNamespace(advance=hang, restart=lambda: None),
        life=NodeLife(),
        leave_seconds=0,
        drain_seconds=0,
    )


class TestTimer:
    """What must not wait for others."""

    async def test_turns_while_target_and_peers_are_silent(self):
        """Deadlines are kept, and no pause is seen where there was none."""
        calls = CountingCalls()
        running = asyncio.create_task(make_runtime(calls).run())
        async with asyncio.timeout(_ENOUGH_SECONDS):
            await calls.has_turned.wait()
        running.cancel()

        assert calls.turns >= _TURNS
