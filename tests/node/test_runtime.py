"""The main loop of a node."""

import asyncio
from types import SimpleNamespace

from lovageshunt.node._runtime import Runtime
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.gate._messages import GateTicked

_MIN_TICKS = 3
_TIMEOUT_SECONDS = 3


class CountingCalls:
    """Counts the ticks of the main loop."""

    def __init__(self):
        self.ticks = 0
        self.has_ticked = asyncio.Event()

    def handle(self, event):
        """Count a tick; set the event once there were enough."""
        self.ticks += isinstance(event, GateTicked)
        if self.ticks >= _MIN_TICKS:
            self.has_ticked.set()


async def hang(*args):
    """Never return."""
    await asyncio.Event().wait()


def make_runtime(calls):
    """Return a runtime whose target and peers never respond."""
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


class TestMainLoop:
    """The main loop must not wait for the target or for peers."""

    async def test_ticks_while_target_and_peers_are_silent(self):
        """The loop keeps ticking while the target and the peers hang.

        Otherwise deadlines are missed, and the late tick counts as a pause.
        """
        calls = CountingCalls()
        running = asyncio.create_task(make_runtime(calls).run())
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await calls.has_ticked.wait()
        running.cancel()

        assert calls.ticks >= _MIN_TICKS
