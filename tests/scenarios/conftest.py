"""The world of the scenarios and their steps."""

import asyncio

import pytest
from pytest_bdd import given, parsers, then, when

from tests.scenarios.world import World

_NODES = ('payments-1', 'payments-2', 'payments-3')


@pytest.fixture(scope='session')
def shared_world(tmp_path_factory):
    """Bring up one deployment for all scenarios."""
    world = World(tmp_path_factory.mktemp('scenarios'))
    world.run(world.start())
    yield world
    world.run(world.stop())
    world.loop.close()


@pytest.fixture
def world(shared_world):
    """Give each scenario the deployment as it was at first."""
    shared_world.run(shared_world.restore())
    shared_world.crashes = 0
    return shared_world


@given('a deployment that serves')
def serving(world):
    """Take the deployment."""


@given(parsers.parse('the targets of {service} take {service_ms:d} ms'))
def slow_targets(world, service, service_ms):
    """Make all targets of a service slow."""
    for vm in world.fleet.vms:
        if vm.plan.name == service:
            world.run(
                world.fleet.control_target(vm.name, service_ms=service_ms),
            )


@when('a screen is asked for and its caller goes away')
def abandoned_screen(world):
    """Leave while the lookup below the screen runs."""

    async def leave():
        asking = asyncio.create_task(
            world.send('screens-1', 'abandoned', method='GET', path='/screen'),
        )
        while not world.lines('records', 'ran', 'abandoned'):
            await asyncio.sleep(0.02)
        asking.cancel()

    world.run(leave())


@then(parsers.parse('no call runs at {node} after {seconds:d} s'))
def nothing_runs(world, node, seconds):
    """Ask the node's admin side."""
    world.run(asyncio.sleep(seconds))
    status = world.run(world.fleet.admin(node, '/v1/status'))
    assert status['running'] == 0


@then('no lookup of the screen was finished')
def nothing_finished(world):
    """Wait as long as the lookup would have taken."""
    world.run(asyncio.sleep(3))
    assert world.lines('records', 'ran', 'abandoned') == 1
    assert world.lines('records', 'finished', 'abandoned') == 0


@given(parsers.parse('{node} is frozen'))
def frozen(world, node):
    """Suspend a node."""
    world.fleet.suspend_node(node)


@given('the platform is out')
def platform_out(world):
    """Let the platform fail."""
    world.run(world.fleet.control_platform({'outage': True}))


@then('the platform is back')
def platform_back(world):
    """Let the platform answer again."""
    world.run(world.fleet.control_platform({'outage': False}))


@when(parsers.parse('{node} goes on'))
def thawed(world, node):
    """Let a suspended node go on."""
    world.fleet.resume_node(node)


@when(
    parsers.parse('purchase "{name}" is sent to {node} as attempt {attempt:d}'),
)
def sent(world, name, node, attempt):
    """Send one attempt and wait for what it is told."""
    world.run(world.send(node, name, attempt=attempt))


@then(
    parsers.parse(
        'purchase "{name}" sent to {node} as attempt 1 is answered',
    ),
)
def sent_and_answered(world, name, node):
    """Send a first attempt, which must be answered."""
    told = world.run(world.send(node, name))
    assert told.outcome == 'answered'


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt 1 and given up on',
    ),
)
def sent_and_given_up(world, name, node):
    """Send one attempt and leave before it is answered."""
    assert world.run(world.send(node, name, patience=0.5)) is None


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} as attempt {attempt:d} '
        'until it is answered',
    ),
)
def sent_until_answered(world, name, node, attempt):
    """Send attempts until one is answered or refused for good."""

    async def insist():
        for number in range(attempt, attempt + 5):
            told = await world.send(node, name, attempt=number)
            if told is not None and told.outcome == 'answered':
                return
            await asyncio.sleep(1)

    world.run(insist())


@when(
    parsers.parse(
        'purchase "{name}" is sent to {node} without an attempt number'
    ),
)
def sent_unnumbered(world, name, node):
    """Send an attempt that does not say which one it is."""
    world.run(world.send(node, name, attempt=None))


@when(
    parsers.parse(
        'purchase "{name}" is sent to payments-1, payments-2 and payments-3 '
        'at once',
    ),
)
def sent_at_once(world, name):
    """Send three attempts that overtake each other."""

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
    """Stop a node in order while its target runs the purchase."""

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
        'is signalled twice',
    ),
)
def sent_and_signalled_twice(world, name, node, stopped):
    """Stop a node at once while its target runs the purchase."""

    async def stop():
        sending = asyncio.create_task(world.send(node, name))
        while not world.runs(name):
            await asyncio.sleep(0.02)
        stopping = asyncio.create_task(world.fleet.stop_node(stopped))
        await asyncio.sleep(0.3)
        world.fleet.signal_node(stopped)
        world.exit_code = await stopping
        told = await sending
        # It ran, so nothing else may be said of it.
        assert told is None or told.outcome == 'unknown'

    world.run(stop())


@then(parsers.parse('the log of {node} names "{name}" as cut off'))
def named_in_log(world, node, name):
    """Look into the log of the node's process."""
    log = world.fleet.folder / f'{node}.node.log'
    lines = log.read_text(encoding='utf-8').splitlines()
    assert any('cuts off' in line and name in line for line in lines)


@when(parsers.parse('{node} is stopped and gone'))
def stopped_and_gone(world, node):
    """Stop a node in order and wait until it has ended."""
    world.exit_code = world.run(world.fleet.stop_node(node))


@when(parsers.parse('{node} is replaced'))
def replaced(world, node):
    """Start a new life of a VM, which remembers nothing."""

    async def replace():
        await world.fleet.start_vm(node)
        await world.fleet.wait_for(node)

    world.run(replace())


@then(parsers.parse('both answers to "{name}" are the same'))
def same_answers(world, name):
    """Compare what the two attempts were told."""
    first, second = world.told_by_id[name]
    assert first.outcome == 'answered'
    assert (second.outcome, second.body) == (first.outcome, first.body)


@then(parsers.parse('purchase "{name}" ran once'))
def ran_once(world, name):
    """Count what the targets ran."""
    assert world.runs(name) == 1


@then(parsers.parse('purchase "{name}" ran at most once'))
def ran_at_most_once(world, name):
    """Count what the targets ran."""
    assert world.runs(name) <= 1


@then(parsers.parse('"{name}" was told unknown with when to come back'))
def told_unknown(world, name):
    """Look at what the last attempt was told."""
    told = world.told_by_id[name][-1]
    assert told.outcome == 'unknown'
    assert told.retry_after > 0


@then(parsers.parse('"{name}" was answered'))
def was_answered(world, name):
    """Look at what the last attempt was told."""
    assert world.told_by_id[name][-1].outcome == 'answered'


@then('a lookup through the library is answered while payments-1 leaves')
def answered_meanwhile(world):
    """Look at the lookup that was made during the stop."""
    assert world.lookup.is_ok()


@then('a lookup through the library is answered')
def lookup_answered(world):
    """Make a lookup."""
    assert world.run(world.client.call('payments', 'GET', '/tokens')).is_ok()


@then(parsers.parse('the node of {node} ended with exit code {code:d}'))
def exit_code(world, node, code):
    """Look at how the node's process ended."""
    assert world.exit_code == code


@when(parsers.parse('the platform lists {node} as leaving'))
def listed_leaving(world, node):
    """Publish the list with one VM leaving."""
    world.fleet.vm_by_name[node].state = 'leaving'
    world.run(world.fleet.publish_vms())


@then(
    parsers.parse('{node} refuses new calls as not run within {seconds:d} s'),
)
def refuses_soon(world, node, seconds):
    """Wait as long as is allowed, then send a call."""

    async def ask():
        await asyncio.sleep(seconds)
        return await world.send(node, 'leaving', method='GET')

    told = world.run(ask())
    assert told is None or told.outcome == 'not_run'


@when('the next generation of the rules is published')
def next_generation(world):
    """Publish rules of a higher generation."""
    world.generation += 1
    document = world.document(world.generation)
    world.run(world.fleet.publish('rules', document))


@when('the platform goes back to an older generation and restarts')
def goes_back(world):
    """Publish yesterday's rules and count revisions from the start."""
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
    """Ask all nodes until they agree or the time is over."""

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
    """Wait, then ask all nodes."""
    world.run(asyncio.sleep(seconds))
    assert _generations(world.run(_rules_of(world))) == {world.generation}


@then(
    parsers.parse(
        'every node has the same one of the two in force within {seconds:d} s',
    ),
)
def one_winner(world, seconds):
    """Ask all nodes until they agree on one document."""

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
    """Send the same request again and again through all nodes."""
    method = 'POST' if what == 'purchase' else 'GET'

    async def insist():
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

    world.run(insist())


@then(parsers.parse('at most {most:d} targets went down'))
def few_crashes(world, most):
    """Count the targets that were restarted."""
    assert 1 <= world.crashes <= most


@when('a lookup is in flight while another crashes its target')
def innocent_in_flight(world):
    """Crash a target under an innocent lookup."""

    async def together():
        innocent = asyncio.create_task(
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
        await innocent
        await asyncio.sleep(0.3)
        await world.restart_crashed()

    world.run(together())


@then('the innocent lookup is answered when it is sent again')
def innocent_answered(world):
    """Send the innocent lookup again, a few times if asked to come back."""

    async def insist():
        for number in range(2, 6):
            told = await world.send(
                'payments-1',
                'innocent',
                attempt=number,
                method='GET',
                path='/tokens/innocent',
            )
            if told is not None and told.outcome == 'answered':
                return True
            await asyncio.sleep(0.3)
        return False

    assert world.run(insist())
