"""Fixtures and step definitions of the scenarios."""

import asyncio

import pytest
from pytest_bdd import given, parsers, then, when

from tests.scenarios.world import World

_NODES = ('payments-1', 'payments-2', 'payments-3')


@pytest.fixture(scope='session')
def shared_world(tmp_path_factory):
    """Start one deployment for all scenarios."""
    world = World(tmp_path_factory.mktemp('scenarios'))
    world.run(world.start())
    yield world
    world.run(world.stop())
    world.loop.close()


@pytest.fixture
def world(shared_world):
    """Restore the deployment to its initial state for each scenario."""
    shared_world.run(shared_world.restore())
    shared_world.crashes = 0
    return shared_world


@given('a running deployment')
def serving(world):
    """Request the deployment, which ``world`` has restored."""


@given(parsers.parse('the targets of {service} take {service_ms:d} ms'))
def slow_targets(world, service, service_ms):
    """Set the service time of all targets of a service."""
    for vm in world.fleet.vms:
        if vm.plan.name == service:
            world.run(
                world.fleet.control_target(vm.name, service_ms=service_ms),
            )


@when('a screen is requested and its caller disconnects')
def screen_disconnects(world):
    """Disconnect while the lookup made for the screen runs."""

    async def leave():
        asking = asyncio.create_task(
            world.send('screens-1', 'abandoned', method='GET', path='/screen'),
        )
        while not world.count_events('records', 'ran', 'abandoned'):
            await asyncio.sleep(0.02)
        asking.cancel()

    world.run(leave())


@then(parsers.parse('no call runs at {node} after {seconds:d} s'))
def nothing_runs(world, node, seconds):
    """Check the status reported by the admin API of the node."""
    world.run(asyncio.sleep(seconds))
    status = world.run(world.fleet.admin(node, '/v1/status'))
    assert status['running'] == 0


@then('no lookup of the screen ran to completion')
def lookup_not_finished(world):
    """Wait for the time that the lookup would have taken."""
    world.run(asyncio.sleep(3))
    assert world.count_events('records', 'ran', 'abandoned') == 1
    assert world.count_events('records', 'finished', 'abandoned') == 0


@given(parsers.parse('{node} is suspended'))
def suspended(world, node):
    """Suspend the process of a node."""
    world.fleet.suspend_node(node)


@given('the platform is unavailable')
def platform_unavailable(world):
    """Make the platform unavailable."""
    world.run(world.fleet.control_platform({'outage': True}))


@then('the platform is available again')
def platform_available(world):
    """Make the platform available again."""
    world.run(world.fleet.control_platform({'outage': False}))


@when(parsers.parse('{node} resumes'))
def resumed(world, node):
    """Resume the process of a node."""
    world.fleet.resume_node(node)


@when(
    parsers.parse('purchase "{name}" is sent to {node} as attempt {attempt:d}'),
)
def sent(world, name, node, attempt):
    """Send one attempt and wait for the response."""
    world.run(world.send(node, name, attempt=attempt))


@then(
    parsers.parse(
        'purchase "{name}" sent to {node} as attempt 1 is answered',
    ),
)
def sent_and_answered(world, name, node):
    """Send a first attempt, which must be answered."""
    result = world.run(world.send(node, name))
    assert result.outcome == 'answered'


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt 1 and '
        'the caller times out',
    ),
)
def sent_and_timed_out(world, name, node):
    """Send one attempt and time out before it is answered."""
    assert world.run(world.send(node, name, timeout_seconds=0.5)) is None


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt {attempt:d} '
        'until it is answered',
    ),
)
def sent_until_answered(world, name, node, attempt):
    """Send up to five attempts, until one is answered."""

    async def send_until_done():
        for number in range(attempt, attempt + 5):
            result = await world.send(node, name, attempt=number)
            if result is not None and result.outcome == 'answered':
                return
            await asyncio.sleep(1)

    world.run(send_until_done())


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} without an attempt number'
    ),
)
def sent_unnumbered(world, name, node):
    """Send an attempt without its number and age."""
    world.run(world.send(node, name, attempt=None))


@when(
    parsers.parse(
        'purchase "{name}" is sent to payments-1, payments-2 and payments-3 '
        'at once',
    ),
)
def sent_at_once(world, name):
    """Send three attempts concurrently, one to each node."""

    async def together():
        await asyncio.gather(
            *(
                world.send(node, name, attempt=number)
                for number, node in enumerate(_NODES, start=1)
            ),
        )

    world.run(together())


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt 1 and the VM is killed',
    ),
)
def sent_and_killed(world, name, node):
    """Kill the VM while its target runs the purchase."""

    async def kill():
        sending = asyncio.create_task(world.send(node, name))
        while not world.runs(name):
            await asyncio.sleep(0.02)
        await world.fleet.kill_vm(node)
        await sending

    world.run(kill())


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt 1 and {stopped} '
        'is stopped',
    ),
)
def sent_and_stopped(world, name, node, stopped):
    """Shut a node down gracefully while its target runs the purchase."""

    async def stop():
        sending = asyncio.create_task(world.send(node, name))
        while not world.runs(name):
            await asyncio.sleep(0.02)
        stopping = asyncio.create_task(world.fleet.stop_node(stopped))
        await sending
        world.lookup = await world.client.call('payments', 'GET', '/tokens')
        world.exit_code = await stopping

    world.run(stop())


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt 1 and {stopped} '
        'receives two stop signals',
    ),
)
def sent_and_signalled_twice(world, name, node, stopped):
    """Send two stop signals while the target runs the purchase."""

    async def stop():
        sending = asyncio.create_task(world.send(node, name))
        while not world.runs(name):
            await asyncio.sleep(0.02)
        stopping = asyncio.create_task(world.fleet.stop_node(stopped))
        await asyncio.sleep(0.3)
        world.fleet.signal_node(stopped)
        world.exit_code = await stopping
        result = await sending
        # It started to run, so no other outcome may be reported.
        assert result is None or result.outcome == 'unknown'

    world.run(stop())


@then(parsers.parse('the log of {node} names "{name}" as aborted'))
def named_in_log(world, node, name):
    """Check the log of the node process."""
    log = world.fleet.folder / f'{node}.node.log'
    lines = log.read_text(encoding='utf-8').splitlines()
    assert any('aborts' in line and name in line for line in lines)


@when(parsers.parse('{node} is stopped and has exited'))
def stopped_and_gone(world, node):
    """Shut a node down gracefully and wait until it has exited."""
    world.exit_code = world.run(world.fleet.stop_node(node))


@when(parsers.parse('{node} is replaced'))
def replaced(world, node):
    """Restart a VM, which has lost all its state."""

    async def replace():
        await world.fleet.start_vm(node)
        await world.fleet.wait_for(node)

    world.run(replace())


@then(parsers.parse('both answers to "{name}" are the same'))
def same_answers(world, name):
    """Compare the responses to the two attempts."""
    first, second = world.results_by_id[name]
    assert first.outcome == 'answered'
    assert (second.outcome, second.body) == (first.outcome, first.body)


@then(parsers.parse('purchase "{name}" ran once'))
def ran_once(world, name):
    """Check how many times targets ran the purchase."""
    assert world.runs(name) == 1


@then(parsers.parse('purchase "{name}" ran at most once'))
def ran_at_most_once(world, name):
    """Check how many times targets ran the purchase."""
    assert world.runs(name) <= 1


@then(parsers.parse('"{name}" ended as unknown with Retry-After'))
def ended_unknown(world, name):
    """Check the response to the last attempt."""
    result = world.results_by_id[name][-1]
    assert result.outcome == 'unknown'
    assert result.retry_after > 0


@then(parsers.parse('"{name}" was answered'))
def was_answered(world, name):
    """Check the response to the last attempt."""
    assert world.results_by_id[name][-1].outcome == 'answered'


@then('a lookup through the library is answered while payments-1 drains')
def answered_meanwhile(world):
    """Check the lookup that was made during the shutdown."""
    assert world.lookup.is_ok()


@then('a lookup through the library is answered')
def lookup_answered(world):
    """Send a lookup through the library."""
    assert world.run(world.client.call('payments', 'GET', '/tokens')).is_ok()


@then(parsers.parse('the node of {node} ended with exit code {code:d}'))
def exit_code(world, node, code):
    """Check the exit code of the node process."""
    assert world.exit_code == code


@when(parsers.parse('the platform lists {node} as leaving'))
def listed_as_leaving(world, node):
    """Publish a VM list that marks one VM as leaving."""
    world.fleet.vm_by_name[node].state = 'leaving'
    world.run(world.fleet.publish_vms())


@then(
    parsers.parse('{node} refuses new calls as not run within {seconds:d} s'),
)
def refuses_soon(world, node, seconds):
    """Wait for the time allowed, then send a call."""

    async def ask():
        await asyncio.sleep(seconds)
        return await world.send(node, 'leaving', method='GET')

    result = world.run(ask())
    assert result is None or result.outcome == 'not_run'


@when('the next generation of the rules is published')
def next_generation(world):
    """Publish rules of a higher generation."""
    world.generation += 1
    document = world.document(world.generation)
    world.run(world.fleet.publish('rules', document))


@when('the platform reverts to an older generation and restarts')
def platform_reverts(world):
    """Publish the first generation again and reset the revision count."""
    world.run(world.fleet.publish('rules', world.document(1)))
    world.run(world.fleet.control_platform({'restart': True}))


@when(
    'two documents of the next generation are published one after the other',
)
def two_operators(world):
    """Publish two documents that claim the same generation."""
    world.generation += 1
    for timeout in (4, 3):
        document = world.document(world.generation, timeout)
        world.run(world.fleet.publish('rules', document))


async def _rules_of(world):
    return [await world.fleet.admin(node, '/v1/rules') for node in _NODES]


def _generations(reports):
    return {report['version']['generation'] for report in reports}


@then(
    parsers.parse(
        'every node has that generation in force within {seconds:d} s'
    ),
)
def in_force(world, seconds):
    """Poll all nodes until they agree or the time is up."""

    async def ask():
        for _ in range(seconds * 5):
            reports = await _rules_of(world)
            if _generations(reports) == {world.generation}:
                return True
            await asyncio.sleep(0.2)
        return False

    assert world.run(ask())


@then(
    parsers.parse(
        'every node still has that generation in force after {seconds:d} s',
    ),
)
def still_in_force(world, seconds):
    """Wait, then check all nodes."""
    world.run(asyncio.sleep(seconds))
    assert _generations(world.run(_rules_of(world))) == {world.generation}


@then(
    parsers.parse(
        'every node has the same one of the two documents in force '
        'within {seconds:d} s',
    ),
)
def one_winner(world, seconds):
    """Poll all nodes until they agree on one document."""

    async def ask():
        for _ in range(seconds * 5):
            reports = await _rules_of(world)
            digests = {report['version']['digest'] for report in reports}
            if len(digests) == 1 and _generations(reports) == {
                world.generation,
            }:
                return True
            await asyncio.sleep(0.2)
        return False

    assert world.run(ask())


@when(
    parsers.parse(
        'a {what} that crashes its target is sent {times:d} times '
        'and targets restart',
    ),
)
def crashes(world, what, times):
    """Send attempts of one request through all nodes in turn."""
    method = 'POST' if what == 'purchase' else 'GET'

    async def send_until_done():
        for number in range(times):
            await world.send(
                _NODES[number % len(_NODES)],
                f'poison-{what}',
                attempt=number + 1,
                method=method,
                path='/tokens/poison',
                poison=True,
            )
            await asyncio.sleep(0.3)
            await world.restart_crashed()

    world.run(send_until_done())


@then(parsers.parse('at most {maximum:d} targets crashed'))
def few_crashes(world, maximum):
    """Count the targets that were restarted."""
    assert 1 <= world.crashes <= maximum


@when('a lookup is in flight while another crashes its target')
def unrelated_in_flight(world):
    """Crash a target while an unrelated lookup is in flight on it."""

    async def together():
        unrelated = asyncio.create_task(
            world.send(
                'payments-1',
                'innocent',
                method='GET',
                path='/tokens/innocent',
            ),
        )
        await asyncio.sleep(0.1)
        await world.send(
            'payments-1',
            'guilty',
            method='GET',
            path='/tokens/guilty',
            poison=True,
        )
        await unrelated
        await asyncio.sleep(0.3)
        await world.restart_crashed()

    world.run(together())


@then('the unrelated lookup is answered when it is retried')
def unrelated_answered(world):
    """Retry the unrelated lookup up to four times."""

    async def send_until_done():
        for number in range(2, 6):
            result = await world.send(
                'payments-1',
                'innocent',
                attempt=number,
                method='GET',
                path='/tokens/innocent',
            )
            if result is not None and result.outcome == 'answered':
                return True
            await asyncio.sleep(0.3)
        return False

    assert world.run(send_until_done())
