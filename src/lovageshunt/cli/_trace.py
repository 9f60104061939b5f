"""The command that prints the spans of a request as a tree."""

import re
from collections.abc import Sequence
from typing import Final

from absl.flags import FlagValues
from expression import Result

from lovageshunt.cli._ask import define_node_flags, query_nodes
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

_ID_PATTERN: Final = re.compile('[A-Za-z0-9_.:-]+')


def trace(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print the spans of one request, merged from all nodes."""
    if len(arguments) != 1 or not _ID_PATTERN.fullmatch(arguments[0]):
        write_error('expected exactly one trace id or request id; see --help')
        return ExitCode.INVALID_INPUT
    match query_nodes(f'/v1/traces/{arguments[0]}', values):
        case Result(tag='ok', ok=answers):
            spans, errors = _decode_spans(answers)
        case Result(error=problem):
            write_error(problem)
            return ExitCode.INVALID_INPUT
    if values.json:
        write_json({'spans': [span.as_dict() for span in spans]})
    else:
        _show(spans, arguments[0])
    for error in errors:
        write_error(str(error))
    return ExitCode.SUCCESS if spans and not errors else ExitCode.FAILED


def _decode_spans(
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


def _show(spans: list[SpanRecord], queried_id: str) -> None:
    for line in format_trace_tree(spans):
        write_line(line)
    if not spans:
        write_line(
            f'no node has a span of {queried_id}; it was not sampled, or its '
            'spans have expired',
        )


COMMANDS: Final = (
    Command(
        name='',
        arguments='ID',
        summary='Show the spans of one request, by request id or trace id.',
        example='0af7651916cd43dd8448eb211c80319c --nodes=127.0.0.1:8102',
        define=define_node_flags,
        run=trace,
    ),
)
