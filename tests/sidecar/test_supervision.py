"""Parts of a node that fail, and those beside them."""

import asyncio

import pytest

from lovageshunt.sidecar import keep_running
from lovageshunt.sidecar._supervision import run_each
from tests.only import only
from tests.sidecar.world import (
    client_of,
    status_of,
    world_of,
)


class DeeplyNestedError(Exception):
    """An error whose report fails as well."""

    def __str__(self) -> str:
        raise RecursionError('too deep')


def fail() -> None:
    raise DeeplyNestedError


class TestRunEach:
    """The periodic steps of a node."""

    def test_runs_the_steps_after_one_that_fails(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The failure is logged, though its text cannot be had."""
        done: list[int] = []
        run_each((fail, lambda: done.append(1)))
        assert done == [1]
        assert only(caplog.records).levelname == 'ERROR'


class TestKeepRunning:
    """The endless parts of a node."""

    async def test_starts_a_part_again_that_failed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A part that fails twice runs for the third time."""
        pause = 'lovageshunt.sidecar._supervision._RESTART_SECONDS'
        monkeypatch.setattr(pause, 0)
        starts: list[int] = []

        async def run() -> None:
            starts.append(1)
            if len(starts) < 3:
                fail()
            await asyncio.sleep(60)

        task = asyncio.ensure_future(keep_running('part', run))
        async with asyncio.timeout(2):
            while len(starts) < 3:
                await asyncio.sleep(0.01)
        task.cancel()


class TestSidecar:
    """A node of which a periodic step fails."""

    async def test_goes_on_serving(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against processes that end by themselves."""
        async with world_of(1) as world:
            monkeypatch.setattr(
                'lovageshunt.sidecar._outage.Outage.advance', lambda _: fail()
            )
            await asyncio.sleep(0.3)
            client = await client_of(world.hosts[0])
            assert status_of(await client.ask('/read/a')) == 200
            assert not world.tasks[0].done()
