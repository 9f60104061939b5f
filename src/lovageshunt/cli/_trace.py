"""The command that prints the tree of a trace."""

import re
from collections.abc import Sequence
from typing import Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt.cli._ask import ask_nodes, define_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
)
from lovageshunt.cli._nodes import NodeAnswer
from lovageshunt.errors import (
    LovageshuntError,
    MalformedSpanError,
    NodeAnswerError,
)
from lovageshunt.observability import SpanRecord, decode_span, format_trace_tree

_ID: Final = re.compile('[A-Za-z0-9_.:-]+')


def trace(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print the spans of one request, joined across the nodes."""
    if len(arguments) != 1 or not _ID.fullmatch(arguments[0]):
        write_error('expected one trace id or request id; see --help')
        return ExitCode.FAULTS
    match ask_nodes(f'/v1/traces/{arguments[0]}', values):
        case Result(tag='ok', ok=answers):
            spans, errors = _spans_of(answers)
        case Result(error=fault):
            write_error(fault)
            return ExitCode.FAULTS
    if values.json:
        write_json({'spans': [span.as_dict() for span in spans]})
    else:
        _show(spans, arguments[0])
    for error in errors:
        write_error(str(error))
    return ExitCode.FINE if spans and not errors else ExitCode.FAILED


def _spans_of(
    answers: list[NodeAnswer],
) -> tuple[list[SpanRecord], list[LovageshuntError]]:
    spans: list[SpanRecord] = []
    errors: list[LovageshuntError] = []
    for answer in answers:
        if answer.error:
            errors.append(answer.error)
            continue
        try:
            spans.extend(map(decode_span, answer.body.get('spans', ())))
        except (MalformedSpanError, TypeError) as error:
            errors.append(NodeAnswerError(answer.address, str(error)))
    return spans, errors


def _show(spans: list[SpanRecord], some_id: str) -> None:
    for line in format_trace_tree(spans):
        write_line(line)
    if not spans:
        write_line(
            f'no node keeps a span of {some_id}; it was not sampled, or it is '
            'too old',
        )


COMMANDS: Final = (
    Command(
        name='',
        arguments='ID',
        summary='Show the spans of one request, by its id or its trace id.',
        example='0af7651916cd43dd8448eb211c80319c --nodes=127.0.0.1:8102',
        define=define_nodes,
        run=trace,
    ),
)
