"""Asks nodes over HTTP which rules they serve under."""

from collections.abc import Sequence
from typing import Any, Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt._record import Record
from lovageshunt.cli._ask import ask_nodes
from lovageshunt.cli._command import (
    ExitCode,
    write_error,
    write_json,
    write_table,
)
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.rules import Version

_PATH: Final = '/v1/rules'
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
    match ask_nodes(_PATH, values):
        case Result(tag='ok', ok=answers):
            return _show([read_answer(answer) for answer in answers], values)
        case Result(error=complaint):
            write_error(complaint)
    return ExitCode.FAULTS


def _show(answers: list[NodeRules], values: FlagValues) -> ExitCode:
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


def read_answer(answer: NodeAnswer) -> NodeRules:
    """Return the rules that a node answered, or the problem with it."""
    if answer.error is not None:
        return NodeRules(address=answer.address, problem=str(answer.error))
    try:
        return _answer_of(answer.address, answer.body)
    except (KeyError, TypeError, ValueError) as error:
        problem = f'unreadable: {error!r}'
        return NodeRules(address=answer.address, problem=problem)


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
