"""The command that shows a deployment at a glance."""

from collections import defaultdict
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any, Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt.admission import OPEN_THRESHOLD
from lovageshunt.calls import RANK_COUNT
from lovageshunt.cli._ask import ask_nodes, define_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)
from lovageshunt.cli._nodes import NodeAnswer

#: What a node's admin side answered.
_Body = dict[str, Any]

_PATH: Final = '/v1/status'
#: Column headers and the fields of the status that they show.
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
#: Shown for the threshold of a target that refuses nothing for its load.
_OPEN: Final = 'open'


def status(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Show each node once; fail when one gives no answer."""
    if arguments:
        write_error('expected flags only; see --help')
        return ExitCode.FAULTS
    match ask_nodes(_PATH, values):
        case Result(tag='ok', ok=answers):
            _show(answers, values)
        case Result(error=fault):
            write_error(fault)
            return ExitCode.FAULTS
    if any(answer.error for answer in answers):
        return ExitCode.FAILED
    return ExitCode.FINE


def _show(answers: list[NodeAnswer], values: FlagValues) -> None:
    if values.json:
        write_json([_content_of(answer) for answer in answers])
        return
    bodies = [answer.body for answer in answers if not answer.error]
    write_table(tuple(_FIELD_BY_HEADER), map(_row_of, bodies))
    for name, witnesses in _leaving_members(bodies).items():
        write_line(f'leaving: {name}, as {", ".join(witnesses)} has it')
    for answer in answers:
        if answer.error:
            write_line(str(answer.error))


def _row_of(body: _Body) -> list[str]:
    threshold = _shown_threshold(body.get('threshold'))
    shown = {**body, 'threshold': threshold}
    fields = _FIELD_BY_HEADER.values()
    return [str(shown.get(field, _NONE)) for field in fields]


def _shown_threshold(threshold: Any) -> str:
    """Return the importance from which calls are refused, in hundredths."""
    if not isinstance(threshold, int):
        return _NONE
    if threshold >= OPEN_THRESHOLD:
        return _OPEN
    return f'{threshold / RANK_COUNT:.2f}'


def _leaving_members(bodies: list[_Body]) -> dict[str, list[str]]:
    """Return who has each leaving member as leaving, by the member's name."""
    witnesses_by_name: defaultdict[str, list[str]] = defaultdict(list)
    for body in bodies:
        witness = str(body.get('node', _NONE))
        for name in _leaving_at(body):
            witnesses_by_name[name].append(witness)
    return witnesses_by_name


def _leaving_at(body: _Body) -> list[str]:
    members_by_service = body.get('members')
    if not isinstance(members_by_service, dict):
        return []
    return [
        str(member.get('name'))
        for members in members_by_service.values()
        for member in members
        if member.get('is_leaving')
    ]


def _content_of(answer: NodeAnswer) -> _Body:
    if answer.error:
        return {'address': answer.address, 'error': str(answer.error)}
    return {'address': answer.address, **answer.body}


COMMANDS: Final = (
    Command(
        name='',
        summary='Show targets, limits, refusals, thresholds and rules.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202',
        define=define_nodes,
        run=status,
    ),
)
