"""Following the store through changes, errors and outages."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import orjson
import pytest
from adapter.follow import Follower
from adapter.store import StoreClient

from lovageshunt.routes import Configuration
from lovageshunt.sidecar import TargetEntry
from standins.store import StoreStandIn
from tests.platform.entry import ENTRY
from tests.platform.odd_entries import odd_entries
from tests.platform.test_configuration import published

#: The largest odd entry of these tests.
_SMALL_BYTES = 20_000


class FakeFleetState:
    """Records the updates of a follower."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.ids: set[str] = set()
        self.leaving_ids: set[str] = set()
        self.revision = 0
        self.is_platform_unreachable = True
        self.entries: list[TargetEntry] = []

    def apply_configuration(self, configuration: Configuration) -> None:
        self.versions.append(configuration.version)

    def apply_targets(
        self,
        entries: list[TargetEntry],
        revision: int,
    ) -> None:
        self.ids = {entry.target_id for entry in entries}
        self.leaving_ids = {
            entry.target_id for entry in entries if entry.is_leaving
        }
        self.revision = revision
        self.entries = entries


class FakeNews:
    """The news of a node that reads as long as ``is_reader`` is true."""

    def __init__(self) -> None:
        self.is_reader = True
        self.answers = 0
        self.failures = 0

    def should_read(self) -> bool:
        return self.is_reader

    def note_answer(self) -> None:
        self.answers += 1

    def note_failure(self) -> None:
        self.failures += 1


def entry(**changes: object) -> bytes:
    return orjson.dumps(ENTRY | changes)


def configuration(version: int) -> bytes:
    return orjson.dumps(published() | {'version': f'{version:08x}'})


@asynccontextmanager
async def following(
    page_size: int = 500,
) -> AsyncIterator[tuple[StoreStandIn, FakeFleetState]]:
    """Follow a store with one configuration and two targets."""
    store = StoreStandIn(page_size=page_size)
    await store.open()
    store.put('op/config', configuration(3))
    store.put('servers/i-1', entry())
    store.put('servers/i-2', entry())
    fleet_state = FakeFleetState()
    client = StoreClient(store.host, store.port)
    news = FakeNews()
    follower = Follower(client, fleet_state, news)  # type: ignore[arg-type]
    tasks = [
        asyncio.ensure_future(follower.run()),
        asyncio.ensure_future(follower.expire()),
    ]
    try:
        await until(lambda: fleet_state.ids == {'i-1', 'i-2'})
        yield store, fleet_state
    finally:
        for task in tasks:
            task.cancel()
        store.close()


async def lose_next_watch(store: StoreStandIn) -> None:
    """Leave the next request to the store unanswered, and only that one."""
    before = store.request_count
    store.is_silent = True
    await until(lambda: store.request_count > before)
    store.is_silent = False


async def until(condition: Callable[[], bool], seconds: float = 4) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class TestFollower:
    """Changes are applied; errors of the store remove no target."""

    async def test_reads_all_pages(self) -> None:
        """A list in several pages is read to its end."""
        async with following(page_size=1) as (_, fleet_state):
            assert fleet_state.versions == [3]
            assert fleet_state.revision > 0

    async def test_applies_changes_at_once(self) -> None:
        """A new configuration and a removed target apply within 1 s."""
        async with following() as (store, fleet_state):
            store.put('op/config', configuration(4))
            store.remove('servers/i-1')
            await until(lambda: fleet_state.ids == {'i-2'}, 1)
            await until(lambda: fleet_state.versions[-1] == 4, 1)

    async def test_batches_changes(self) -> None:
        """Changes in quick succession cost few calls to the store."""
        async with following() as (store, fleet_state):
            before = store.request_count
            for version in range(4, 24):
                store.put('op/config', configuration(version))
                await asyncio.sleep(0.02)
            await until(lambda: fleet_state.versions[-1] == 23)
            assert store.request_count - before < 10

    async def test_rereads_everything_when_history_is_lost(self) -> None:
        """After status 410 the complete list replaces the targets."""
        async with following() as (store, fleet_state):
            store.compacted_revision = store.revision + 10
            store.remove('servers/i-2')
            store.put('servers/i-3', entry())
            await until(lambda: fleet_state.ids == {'i-1', 'i-3'})

    @pytest.mark.parametrize('status', [503, 429])
    async def test_keeps_targets_when_the_store_fails(
        self,
        status: int,
    ) -> None:
        """Status 503 or 429 removes no target."""
        async with following() as (store, fleet_state):
            store.status = status
            store.put('op/config', configuration(3))
            await until(lambda: fleet_state.is_platform_unreachable)
            assert fleet_state.ids == {'i-1', 'i-2'}
            store.status = None
            await until(lambda: not fleet_state.is_platform_unreachable)

    async def test_detects_a_silent_connection(self) -> None:
        """A watch without a response times out and removes no target."""
        async with following() as (store, fleet_state):
            store.is_silent = True
            await until(lambda: fleet_state.is_platform_unreachable, 8)
            assert fleet_state.ids == {'i-1', 'i-2'}

    async def test_keeps_a_target_that_expired_in_an_outage(self) -> None:
        """A target missing after an outage is kept for a grace period."""
        async with following() as (store, fleet_state):
            store.status = 503
            store.remove('servers/i-1')
            await until(lambda: fleet_state.is_platform_unreachable)
            await asyncio.sleep(0.5)
            store.status = None
            await until(lambda: not fleet_state.is_platform_unreachable)
            await asyncio.sleep(1)
            assert 'i-1' in fleet_state.ids
            await until(lambda: fleet_state.ids == {'i-2'})

    async def test_odd_entries_do_not_end_it(self) -> None:
        """Guards against nodes that follow no more: changes apply after them.

        A node that starts reads them all at once, others as they come.
        """
        async with following(page_size=100) as (store, fleet_state):
            small = [raw for raw in odd_entries() if len(raw) < _SMALL_BYTES]
            for number, raw in enumerate(small):
                store.put(f'servers/odd-{number}', raw)
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            store.compacted_revision = store.revision
            store.put('servers/i-4', entry())
            await until(lambda: 'i-4' in fleet_state.ids)

    @pytest.mark.parametrize('value', [None, 7, 'x', ['x'], 'é'])
    async def test_a_value_that_is_no_text_hides_no_other(
        self, value: object
    ) -> None:
        """Guards against a page that is read again and again."""
        async with following() as (store, fleet_state):
            store.put_encoded('servers/odd', value)
            store.put('servers/i-3', entry())
            await until(lambda: fleet_state.ids == {'i-1', 'i-2', 'i-3'})

    async def test_ignores_malformed_entries(self) -> None:
        """A malformed entry does not affect the other targets."""
        async with following() as (store, fleet_state):
            store.put('servers/i-9', b'\x00nonsense')
            store.put('servers/i-8', entry(slots='many'))
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            assert fleet_state.ids == {'i-1', 'i-2', 'i-3'}

    async def test_keeps_the_last_valid_configuration(self) -> None:
        """A malformed or removed configuration changes nothing."""
        async with following() as (store, fleet_state):
            store.put('op/config', b'{}')
            store.remove('op/config')
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            assert set(fleet_state.versions) == {3}


class TestLeavingTargets:
    """How late a node may learn that a target leaves.

    A platform that is stable for a second has its news applied within 2 s.
    """

    async def test_a_lost_watch_hides_no_leaving_target(self) -> None:
        """News that follows a lost watch by 1 s applies within 2 s."""
        async with following() as (store, fleet_state):
            await lose_next_watch(store)
            await asyncio.sleep(1)
            store.put('servers/i-1', entry(state='draining'))
            await until(lambda: fleet_state.leaving_ids == {'i-1'}, 2)

    async def test_a_short_outage_keeps_no_removed_target(self) -> None:
        """A target that is removed after a short outage goes within 2 s."""
        async with following() as (store, fleet_state):
            store.status = 503
            await until(lambda: fleet_state.is_platform_unreachable)
            store.status = None
            await asyncio.sleep(1)
            store.remove('servers/i-1')
            await until(lambda: fleet_state.ids == {'i-2'}, 2)

    async def test_a_silent_platform_is_found_back_within_a_second(
        self,
    ) -> None:
        """After a silent outage the next read succeeds within 1 s."""
        async with following() as (store, fleet_state):
            store.is_silent = True
            await until(lambda: fleet_state.is_platform_unreachable, 8)
            await asyncio.sleep(1.5)
            store.is_silent = False
            await until(lambda: not fleet_state.is_platform_unreachable, 1)


class TestOlderCopy:
    """The store returns from a copy some seconds old, in a new era."""

    async def test_its_changes_are_read_though_revisions_are_reused(
        self,
    ) -> None:
        """Targets of the new era are listed, those of the old one are not."""
        async with following() as (store, fleet_state):
            copy = store.copy()
            for number in range(3, 8):
                store.put(f'servers/i-{number}', entry())
            await until(lambda: 'i-7' in fleet_state.ids)
            store.restore(copy)
            for number in range(13, 19):
                store.put(f'servers/i-{number}', entry())
            wanted = {f'i-{number}' for number in (1, 2, *range(13, 19))}
            await until(lambda: wanted <= fleet_state.ids, 2)
            await until(lambda: fleet_state.ids == wanted, 4)

    async def test_a_target_that_is_not_in_it_stays_until_it_writes(
        self,
    ) -> None:
        """A target that registers again 1 s later is listed all the while."""
        async with following() as (store, fleet_state):
            copy = store.copy()
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            store.restore(copy)
            missing = [
                await missing_for(fleet_state, 'i-3', 1),
            ]
            store.put('servers/i-3', entry())
            missing.append(await missing_for(fleet_state, 'i-3', 2.5))
            assert missing == [False, False]

    async def test_answers_of_an_older_era_are_dropped(self) -> None:
        """An answer with a smaller era changes nothing."""
        async with following() as (store, fleet_state):
            store.era = 5
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            store.era = 4
            store.remove('servers/i-3')
            assert not await missing_for(fleet_state, 'i-3', 1)
            store.era = 5
            await until(lambda: 'i-3' not in fleet_state.ids)

    async def test_an_answer_without_an_era_is_of_the_known_one(self) -> None:
        """Changes apply as before, without reading everything again."""
        async with following() as (store, fleet_state):
            store.era = None
            store.remove('servers/i-1')
            await until(lambda: fleet_state.ids == {'i-2'}, 1)

    @pytest.mark.parametrize('era', ['x', '-1', '9' * 5000])
    async def test_malformed_era_is_logged_once_and_counts_as_the_known_one(
        self, era: str, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Changes apply as before."""
        async with following() as (store, fleet_state):
            store.era = era
            store.remove('servers/i-1')
            await until(lambda: fleet_state.ids == {'i-2'}, 1)
            store.remove('servers/i-2')
            await until(lambda: not fleet_state.ids, 1)
        logged = [text for text in caplog.messages if 'era' in text]
        assert len(logged) == 1

    async def test_positions_of_a_new_era_are_greater(self) -> None:
        """Nodes that compare one number prefer the state of the new era."""
        async with following() as (store, fleet_state):
            copy = store.copy()
            store.put('servers/i-3', entry())
            await until(lambda: 'i-3' in fleet_state.ids)
            before = fleet_state.revision
            store.restore(copy)
            await until(lambda: fleet_state.revision > before)


async def missing_for(
    fleet_state: FakeFleetState, target_id: str, seconds: float
) -> bool:
    """Return whether a target was missing at any time from now on."""
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        if target_id not in fleet_state.ids:
            return True
        await asyncio.sleep(0.01)
    return False
