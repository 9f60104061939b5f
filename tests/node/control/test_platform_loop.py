"""Reads of the platform, and what is logged and reported about them."""

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
    """A platform reader that fails while ``is_out`` is true."""

    def __init__(self):
        """Start during an outage."""
        self.is_out = True
        self.published = PublishedValue(
            revision=1, document=None, is_changed=False
        )

    async def read(self, name):
        """Return the published value, or the failure."""
        if self.is_out:
            return Error(PlatformUnavailableError(name, '127.0.0.1:1', 'gone'))
        return Ok(self.published)


async def read_once(loop):
    """Run one read to its end."""
    loop.start(is_watch=False)
    await asyncio.sleep(0)
    await loop._runner


async def read_rules(loop):
    """Run one read of only the rules to its end."""
    loop.read_rules()
    await loop._first_read


@pytest.mark.asyncio
class TestPlatformLoop:
    """Logging of outages, and the read of only the rules."""

    async def test_log_per_change(self, caplog):
        """An outage is logged at its start and its end, not at each try."""
        reader = Reader()
        loop = PlatformLoop(reader, lambda event: None)
        with caplog.at_level(logging.INFO):
            for is_out in (True, True, True, False, False, True):
                reader.is_out = is_out
                await read_once(loop)
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
        """A read of only the rules reports them; its failure is no event."""
        reader = Reader()
        events = []
        loop = PlatformLoop(reader, events.append)
        await read_rules(loop)
        assert not events
        reader.is_out = False
        document = encode_document(parse_sheet(SHEET).ok.document)
        reader.published = PublishedValue(
            revision=1,
            document=orjson.loads(document),
        )
        await read_rules(loop)

        assert [event.version.generation for event in events] == [1]
