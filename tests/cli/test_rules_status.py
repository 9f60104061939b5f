"""Tests of ``rules status`` and of the parsing of its answers."""

import asyncio
from threading import Thread

import orjson
import pytest
from aiohttp import web

from lovageshunt.cli import main
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.cli._rules_status import mark_outdated, read_answer

ANSWER = {
    'node': 'payments-1',
    'version': {'generation': 2, 'revision': 5, 'digest': 'd'},
    'in_force_for_seconds': 61,
    'conflicts': [],
}


def read(body):
    return read_answer(NodeAnswer(address='127.0.0.1:1', body=body))


def answer_of(generation):
    """Return the parsed answer of a node with this generation in force."""
    version = {'generation': generation, 'revision': 1, 'digest': 'd'}
    return read({**ANSWER, 'version': version})


class TestAnswers:
    """Parsing of answers and detection of outdated nodes."""

    def test_is_read(self):
        """The version and how long it has been in force are parsed."""
        answer = read(ANSWER)

        assert answer.node == 'payments-1'
        assert answer.version.generation == 2
        assert answer.in_force_for_seconds == 61

    @pytest.mark.parametrize(
        'body',
        [
            {},
            {'node': 1, 'version': 2},
            {**ANSWER, 'version': {'generation': 1}},
            {**ANSWER, 'version': []},
            {**ANSWER, 'conflicts': 3},
            {**ANSWER, 'in_force_for_seconds': 'long'},
        ],
    )
    def test_malformed_answer_is_a_problem(self, body):
        """A malformed answer sets ``problem`` and raises nothing."""
        assert read(body).problem

    def test_outdated_nodes_are_marked(self):
        """A node with an older version, or with none, lags."""
        answers = [answer_of(2), answer_of(1), answer_of(2)]
        answers[2].version = None
        mark_outdated(answers)

        assert [answer.problem for answer in answers] == ['', 'lags', 'lags']


@pytest.fixture
def node_address():
    """Serve one answer from an event loop in a thread."""
    loop = asyncio.new_event_loop()
    app = web.Application()

    async def answer(request):
        return web.json_response(ANSWER)

    app.router.add_get('/v1/rules', answer)
    runner = web.AppRunner(app)
    loop.run_until_complete(runner.setup())
    site = web.TCPSite(runner, '127.0.0.1', 0)
    loop.run_until_complete(site.start())
    thread = Thread(target=loop.run_forever)
    thread.start()
    yield '{}:{}'.format(*runner.addresses[0])
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.run_until_complete(runner.cleanup())
    loop.close()


class TestStatus:
    """``rules status``."""

    def test_all_in_force(self, node_address, capsys):
        """Nodes with the same version give exit code 0."""
        assert main(['rules', 'status', f'--nodes={node_address}']) == 0
        assert 'payments-1' in capsys.readouterr().out

    def test_silent_node(self, node_address, capsys):
        """A node that does not answer is reported; the exit code is 1."""
        argv = ['rules', 'status', f'--nodes={node_address},127.0.0.1:1']

        assert main([*argv, '--json']) == 1
        shown = orjson.loads(capsys.readouterr().out)
        assert [bool(node['problem']) for node in shown] == [False, True]

    def test_unreadable_token(self, capsys):
        """An unreadable token file gives exit code 2."""
        argv = ['rules', 'status', '--nodes=127.0.0.1:1']

        assert main([*argv, '--token-file=no-such-file']) == 2
        assert 'no-such-file' in capsys.readouterr().err
