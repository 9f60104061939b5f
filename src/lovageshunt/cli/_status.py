"""The command that shows the status of all nodes."""

from collections import defaultdict
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any, Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt.admission import OPEN_THRESHOLD
from lovageshunt.calls import RANK_COUNT
from lovageshunt.cli._ask import define_node_flags, query_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)
from lovageshunt.cli._nodes import NodeAnswer

#: The JSON object of a node's status.
_Body = dict[str, Any]

_STATUS_PATH: Final = '/v1/status'
#: Fields of the status by column header, in column order.
_FIELD_BY_HEADER: Final = MappingProxyType(
    {
        'node': 'node',
        'service': 'service',
        'state': 'state',
        'running': 'running',
        'waiting': 'waiting',
        'limit': 'limit',
        'slots': 'slots',
        'threshold': 'threshold',
        'arrived': 'arrived',
        'answered': 'answered',
        'refused': 'refused',
        'rules': 'rules_generation',
        'leaving': 'is_leaving',
    },
)
_NONE: Final = '-'
#: Shown as the threshold when no importance is refused.
_OPEN: Final = 'open'


def status(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print one row per node; fail if any node does not answer."""
    if arguments:
        write_error('expected flags only, got other arguments; see --help')
        return ExitCode.INVALID_INPUT
    match query_nodes(_STATUS_PATH, values):
        case Result(tag='ok', ok=answers):
            _show(answers, values)
        case Result(error=problem):
            write_error(problem)
            return ExitCode.INVALID_INPUT
    if any(answer.error for answer in answers):
        return ExitCode.FAILED
    return ExitCode.SUCCESS


def _show(answers: list[NodeAnswer], values: FlagValues) -> None:
    if values.json:
        write_json([_json_fields(answer) for answer in answers])
        return
    bodies = [answer.body for answer in answers if not answer.error]
    write_table(tuple(_FIELD_BY_HEADER), map(_table_row, bodies))
    for name, reporters in _leaving_members(bodies).items():
        write_line(f'leaving: {name}, reported by {", ".join(reporters)}')
    for answer in answers:
        if answer.error:
            write_line(str(answer.error))


def _table_row(body: _Body) -> list[str]:
    threshold = _format_threshold(body.get('threshold'))
    cells = {**body, 'threshold': threshold}
    fields = _FIELD_BY_HEADER.values()
    return [str(cells.get(field, _NONE)) for field in fields]


def _format_threshold(threshold: Any) -> str:
    """Format the lowest refused importance with two decimals."""
    if not isinstance(threshold, int):
        return _NONE
    if threshold >= OPEN_THRESHOLD:
        return _OPEN
    return f'{threshold / RANK_COUNT:.2f}'


def _leaving_members(bodies: list[_Body]) -> dict[str, list[str]]:
    """Return the nodes that report a member as leaving, by member name."""
    reporters_by_name: defaultdict[str, list[str]] = defaultdict(list)
    for body in bodies:
        reporter = str(body.get('node', _NONE))
        for name in _leaving_names(body):
            reporters_by_name[name].append(reporter)
    return reporters_by_name


def _leaving_names(body: _Body) -> list[str]:
    members_by_service = body.get('members')
    if not isinstance(members_by_service, dict):
        return []
    return [
        str(member.get('name'))
        for members in members_by_service.values()
        for member in members
        if member.get('is_leaving')
    ]


def _json_fields(answer: NodeAnswer) -> _Body:
    if answer.error:
        return {'address': answer.address, 'error': str(answer.error)}
    return {'address': answer.address, **answer.body}


COMMANDS: Final = (
    Command(
        name='',
        summary='Show targets, limits, refusals, thresholds and rules.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202',
        define=define_node_flags,
        run=status,
    ),
)
