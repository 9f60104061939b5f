"""Asks nodes over HTTP which rules they serve under."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from ssl import create_default_context
from typing import Any, Final

import orjson
from absl.flags import FlagValues
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from lovageshunt._record import Record
from lovageshunt.cli._command import (
    ExitCode,
    write_error,
    write_json,
    write_table,
)
from lovageshunt.rules import Version

_PATH: Final = '/v1/rules'
#: An answer larger than this is not read to its end.
_MAX_ANSWER_BYTES: Final = 65536
_NONE: Final = '-'


class NodeRules(Record):
    """What one node answered; ``problem`` says why it is no answer."""

    __slots__ = (
        'address',
        'node',
        'version',
        'in_force_for_seconds',
        'conflicts',
        'problem',
    )

    def __init__(
        self,
        *,
        address: str,
        node: str = _NONE,
        version: Version | None = None,
        in_force_for_seconds: float = 0,
        conflicts: int = 0,
        problem: str = '',
    ) -> None:
        """Take every field by name."""
        self.address = address
        self.node = node
        self.version = version
        self.in_force_for_seconds = in_force_for_seconds
        self.conflicts = conflicts
        self.problem = problem


def show_status(values: FlagValues) -> ExitCode:
    """Ask the nodes and show their rules; fail when any lags."""
    try:
        answers = asyncio.run(_ask_all(values))
    except OSError as error:
        write_error(f'{error}; name files that can be read')
        return ExitCode.FAULTS
    mark_laggards(answers)
    if values.json:
        write_json([_content_of(answer) for answer in answers])
    else:
        write_table(
            (
                'address',
                'node',
                'generation',
                'revision',
                'digest',
                'seconds',
                'conflicts',
                'problem',
            ),
            [_row_of(answer) for answer in answers],
        )
    if any(answer.problem for answer in answers):
        return ExitCode.FAILED
    return ExitCode.FINE


def mark_laggards(answers: Sequence[NodeRules]) -> None:
    """Note at each node that serves under less than the greatest version."""
    versions = [answer.version for answer in answers if answer.version]
    greatest = max(versions, default=None)
    for answer in answers:
        if answer.problem or answer.version == greatest:
            continue
        answer.problem = 'lags'


async def _ask_all(values: FlagValues) -> list[NodeRules]:
    timeout = ClientTimeout(total=values['timeout-seconds'].value)
    authority = values['authority-file'].value
    addresses = values['nodes'].value or ()
    scheme = 'http' if authority is None else 'https'
    async with ClientSession(
        connector=_connector(authority),
        headers=_headers(values['token-file'].value),
        timeout=timeout,
    ) as session:
        asked = [_ask(session, scheme, address) for address in addresses]
        return await asyncio.gather(*asked)


def _connector(authority: str | None) -> TCPConnector:
    if authority is None:
        return TCPConnector()
    return TCPConnector(ssl=create_default_context(cafile=authority))


def _headers(token_file: str | None) -> dict[str, str]:
    if token_file is None:
        return {}
    token = Path(token_file).read_text(encoding='utf-8').strip()
    return {'Authorization': f'Bearer {token}'}


async def _ask(session: ClientSession, scheme: str, address: str) -> NodeRules:
    try:
        async with session.get(f'{scheme}://{address}{_PATH}') as response:
            response.raise_for_status()
            raw = await response.content.read(_MAX_ANSWER_BYTES)
    except (ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        return NodeRules(address=address, problem=f'no answer: {reason}')
    return decode_status(address, raw)


def decode_status(address: str, raw: bytes) -> NodeRules:
    """Return what a node answered, or the problem with it."""
    try:
        return _answer_of(address, orjson.loads(raw))
    except (KeyError, TypeError, ValueError) as error:
        return NodeRules(address=address, problem=f'unreadable: {error}')


def _answer_of(address: str, content: dict[str, Any]) -> NodeRules:
    version = None
    if content['version'] is not None:
        version = Version(
            generation=int(content['version']['generation']),
            revision=int(content['version']['revision']),
            digest=str(content['version']['digest']),
        )
    return NodeRules(
        address=address,
        node=str(content['node']),
        version=version,
        in_force_for_seconds=float(content['in_force_for_seconds'] or 0),
        conflicts=len(content['conflicts']),
    )


def _content_of(answer: NodeRules) -> dict[str, Any]:
    content = answer.as_dict()
    if answer.version is not None:
        content['version'] = answer.version.as_dict()
    return content


def _row_of(answer: NodeRules) -> tuple[str, ...]:
    version = (_NONE, _NONE, _NONE)
    if answer.version is not None:
        version = (
            str(answer.version.generation),
            str(answer.version.revision),
            answer.version.digest,
        )
    figures = (f'{answer.in_force_for_seconds:.0f}', str(answer.conflicts))
    return (answer.address, answer.node, *version, *figures, answer.problem)
