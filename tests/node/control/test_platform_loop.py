"""Reading the platform in turns."""

import asyncio
import logging

import orjson
import pytest
from expression import Error, Ok

from lovageshunt.errors import PlatformUnavailableError
from lovageshunt.node.control._platform_loop import PlatformLoop
from lovageshunt.published import PublishedValue
from lovageshunt.rules import encode_document, parse_sheet
from tests.node.parts import SHEET


class Reader:
    """A platform that fails when told to."""

    def __init__(self):
        """Begin with an outage."""
        self.is_out = True
        self.published = PublishedValue(
            revision=1, document=None, is_changed=False
        )

    async def read(self, name):
        """Give nothing new, or the failure."""
        if self.is_out:
            return Error(PlatformUnavailableError(name, '127.0.0.1:1', 'gone'))
        return Ok(self.published)


async def turn(loop):
    """Let one reading pass."""
    loop.start(is_watch=False)
    await asyncio.sleep(0)
    await loop._runner


async def read_rules(loop):
    """Let the one reading of the rules pass."""
    loop.read_rules()
    await loop._first_read


@pytest.mark.asyncio
class TestPlatformLoop:
    """``PlatformLoop``."""

    async def test_log_per_change(self, caplog):
        """An outage is logged when it begins and when it ends."""
        reader = Reader()
        loop = PlatformLoop(reader, lambda event: None)
        with caplog.at_level(logging.INFO):
            for is_out in (True, True, True, False, False, True):
                reader.is_out = is_out
                await turn(loop)
        by_level = [record.levelname for record in caplog.records]

        # Two values are read: the list of VMs, and the rules.
        assert by_level == [
            'WARNING',
            'WARNING',
            'INFO',
            'INFO',
            'WARNING',
            'WARNING',
        ]

    async def test_rules_alone(self):
        """The rules can be read alone; a failure of that is no event."""
        reader = Reader()
        told = []
        loop = PlatformLoop(reader, told.append)
        await read_rules(loop)
        assert not told
        reader.is_out = False
        document = encode_document(parse_sheet(SHEET).ok.document)
        reader.published = PublishedValue(
            revision=1,
            document=orjson.loads(document),
        )
        await read_rules(loop)

        assert [event.version.generation for event in told] == [1]
