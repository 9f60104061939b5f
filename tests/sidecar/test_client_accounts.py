"""Client accounts on the whole path, from a client to a target."""

import asyncio

from lovageshunt.client_accounts import digest_of
from lovageshunt.routes import ClientAccount
from tests.sidecar.world import (
    Client,
    World,
    client_of,
    configuration,
    status_of,
    wait_until,
    world_of,
)

KEY = 'first-key'


def account(
    *keys: str, name: str = 'shop', per_second: float | None = None
) -> ClientAccount:
    return ClientAccount(
        name=name,
        key_digests=tuple(digest_of(key.encode()) for key in keys or (KEY,)),
        per_second=per_second,
        burst=1,
    )


def key_field(key: str) -> str:
    return f'X-Key: {key}\r\n'


async def status_at(world: World, path: str, extra: str = '') -> int:
    client = await client_of(world.hosts[0])
    return status_of(await client.ask(path, extra=extra))


async def ask_always(clients: list[Client], statuses: list[int]) -> None:
    """Send requests one by one through all nodes until cancelled."""
    while True:
        for client in clients:
            answer = await client.ask('/read/a', extra=key_field('k1'))
            statuses.append(status_of(answer))
        await asyncio.sleep(0.02)


class TestKeys:
    """Who may send, and what the target learns."""

    async def test_names_the_account_and_keeps_the_key(self) -> None:
        """The target gets the account, whatever the client sent, no key."""
        async with world_of(2, is_published=False) as world:
            world.publish(accounts=(account(),))
            fields = f'{key_field(KEY)}X-Account: other\r\n'
            for number in range(8):
                assert await status_at(world, f'/buy/{number}', fields) == 200
            received = [*world.targets[0].received, *world.targets[1].received]
            assert len(received) == 8
            assert {each.headers['x-account'] for each in received} == {'shop'}
            assert not any('x-key' in each.headers for each in received)

    async def test_refuses_an_unknown_key(self) -> None:
        """401, and nothing runs; no key at all is no better."""
        async with world_of(1, is_published=False) as world:
            world.publish(accounts=(account(),))
            for extra in ('', key_field('other'), key_field('')):
                assert await status_at(world, '/read/a', extra) == 401
            assert not world.targets[0].received

    async def test_asks_for_no_key_on_a_public_route(self) -> None:
        """An unknown key does no harm there, and is not forwarded."""
        async with world_of(1, is_published=False) as world:
            world.publish(accounts=(account(),))
            assert await status_at(world, '/open/a') == 200
            assert await status_at(world, '/open/b', key_field('x')) == 200
            for received in world.targets[0].received:
                assert 'x-key' not in received.headers
                assert 'x-account' not in received.headers

    async def test_applies_a_revoked_key_on_a_kept_connection(self) -> None:
        """The next request on the same connection meets the new keys."""
        async with world_of(1, is_published=False) as world:
            world.publish(accounts=(account(),))
            client = await client_of(world.hosts[0])
            kept = await client.ask('/read/a', extra=key_field(KEY))
            world.nodes[0].fleet_state.apply_configuration(
                configuration('s', version=2, accounts=(account('k2'),))
            )
            refused = await client.ask('/read/b', extra=key_field(KEY))
            served = await client.ask('/read/c', extra=key_field('k2'))
            assert [status_of(each) for each in (kept, refused, served)] == [
                200,
                401,
                200,
            ]

    async def test_says_of_no_key_that_it_is_unknown_at_its_start(self) -> None:
        """A node that knows no account yet must not say that a key is wrong."""
        async with world_of(1, is_published=False) as world:
            assert await status_at(world, '/read/a', key_field(KEY)) == 503

    async def test_serves_an_account_of_the_least_importance(self) -> None:
        """An order has room for 255; a greater number counts as that."""
        least = account()
        least.importance = 1_000_000
        async with world_of(2, is_published=False) as world:
            world.publish(accounts=(least,))
            # The only target is beside the other node.
            world.nodes[0].fleet_state.apply_targets(world.entries()[1:], 2)
            assert await status_at(world, '/read/a', key_field(KEY)) == 200

    async def test_changes_nothing_without_accounts(self) -> None:
        """A header field of that name is an ordinary one then."""
        async with world_of(1) as world:
            assert await status_at(world, '/read/a', key_field('x')) == 200
            assert world.targets[0].received[0].headers['x-key'] == 'x'


class TestLimits:
    """An account that asks for more than its limit."""

    async def test_refuses_beyond_the_limit(self) -> None:
        """429 with a time, nothing runs; another account is not touched."""
        accounts = (
            account('k1', per_second=5),
            account('k2', name='other'),
        )
        async with world_of(1, is_published=False) as world:
            world.publish(accounts=accounts)
            client = await client_of(world.hosts[0])
            answers = [
                await client.ask(f'/buy/{number}', extra=key_field('k1'))
                for number in range(40)
            ]
            refused = [each for each in answers if status_of(each) == 429]
            assert len(refused) > 20
            assert all(
                float(each.headers['retry-after']) > 0 for each in refused
            )
            assert len(world.targets[0].received) == 40 - len(refused)
            other = await client.ask('/buy/x', extra=key_field('k2'))
            assert status_of(other) == 200

    async def test_learns_what_other_nodes_admit(self) -> None:
        """All nodes refuse together once the sums tell of too much."""
        accounts = (account('k1', per_second=10),)
        async with world_of(3, is_published=False) as world:
            world.publish(accounts=accounts)
            clients = [await client_of(host) for host in world.hosts]
            statuses: list[int] = []
            asking = asyncio.ensure_future(ask_always(clients, statuses))
            known = [node.accounts for node in world.nodes]
            await wait_until(
                lambda: all(each.over_limit == {'shop'} for each in known), 8
            )
            before = len(statuses)
            await wait_until(lambda: len(statuses) > before + 60, 8)
            asking.cancel()
            later = statuses[before:]
            assert later.count(429) > len(later) / 2
