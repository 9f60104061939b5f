"""Shows which version of the rules is in force at each node."""

from collections.abc import Sequence
from typing import Any, Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt._record import Record
from lovageshunt.cli._ask import query_nodes
from lovageshunt.cli._command import (
    ExitCode,
    write_error,
    write_json,
    write_table,
)
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.rules import Version

_RULES_PATH: Final = '/v1/rules'
_NONE: Final = '-'


class NodeRules(Record):
    """The rules in force at one node.

    ``version`` is ``None`` when no rules are in force; ``conflicts`` counts
    conflicting documents; ``problem`` is empty, the reason why the answer is
    missing or unreadable, or ``lags`` for an outdated version.
    """

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
        self.address = address
        self.node = node
        self.version = version
        self.in_force_for_seconds = in_force_for_seconds
        self.conflicts = conflicts
        self.problem = problem


def show_status(values: FlagValues) -> ExitCode:
    """Print the rules of all nodes; fail if any has a problem."""
    match query_nodes(_RULES_PATH, values):
        case Result(tag='ok', ok=answers):
            return _show([read_answer(answer) for answer in answers], values)
        case Result(error=problem):
            write_error(problem)
    return ExitCode.INVALID_INPUT


def _show(answers: list[NodeRules], values: FlagValues) -> ExitCode:
    mark_outdated(answers)
    if values.json:
        write_json([_json_fields(answer) for answer in answers])
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
            [_table_row(answer) for answer in answers],
        )
    if any(answer.problem for answer in answers):
        return ExitCode.FAILED
    return ExitCode.SUCCESS


def mark_outdated(answers: Sequence[NodeRules]) -> None:
    """Set ``problem`` on nodes without the newest version seen."""
    versions = [answer.version for answer in answers if answer.version]
    newest = max(versions, default=None)
    for answer in answers:
        if answer.problem or answer.version == newest:
            continue
        answer.problem = 'lags'


def read_answer(answer: NodeAnswer) -> NodeRules:
    """Parse a node's answer; ``problem`` is set if that fails."""
    if answer.error is not None:
        return NodeRules(address=answer.address, problem=str(answer.error))
    try:
        return _parse_body(answer.address, answer.body)
    except (KeyError, TypeError, ValueError) as error:
        problem = f'unreadable: {error!r}'
        return NodeRules(address=answer.address, problem=problem)


def _parse_body(address: str, content: dict[str, Any]) -> NodeRules:
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


def _json_fields(answer: NodeRules) -> dict[str, Any]:
    content = answer.as_dict()
    if answer.version is not None:
        content['version'] = answer.version.as_dict()
    return content


def _table_row(answer: NodeRules) -> tuple[str, ...]:
    version = (_NONE, _NONE, _NONE)
    if answer.version is not None:
        version = (
            str(answer.version.generation),
            str(answer.version.revision),
            answer.version.digest,
        )
    figures = (f'{answer.in_force_for_seconds:.0f}', str(answer.conflicts))
    return (answer.address, answer.node, *version, *figures, answer.problem)
