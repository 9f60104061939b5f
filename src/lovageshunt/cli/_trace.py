"""The command that prints the tree of a trace."""

import re
import sys
from asyncio import run
from typing import Final

import orjson
from absl import flags

from lovageshunt.cli._admin_flags import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_USAGE,
    access_of,
    admin_flags,
    parse_admin_flags,
)
from lovageshunt.cli._nodes import NodeAnswer, fetch_all
from lovageshunt.errors import (
    LovageshuntError,
    MalformedSpanError,
    NodeAnswerError,
)
from lovageshunt.observability import SpanRecord, decode_span, trace_tree

TRACE_USAGE: Final = """\
Print the tree of a request from the nodes' recent memory, by its trace id or
its request id.

  lovageshunt trace 0af7651916cd43dd8448eb211c80319c --nodes=10.0.0.1:7402

Exit code 0: spans were found and all nodes answered; 1: no span, or a node
gave no answer; 2: the flags are wrong."""

_ID: Final = re.compile('[A-Za-z0-9_-]+')


def run_trace(argv: list[str]) -> int:
    """Run ``lovageshunt trace`` and return its exit code."""
    values = admin_flags()
    try:
        words = parse_admin_flags(values, 'trace', argv, expected=1)
        some_id = _checked_id(words[0])
        access = access_of(values)
    except flags.Error as error:
        sys.stderr.write(f'lovageshunt trace: {error}\n')
        return EXIT_USAGE
    answers = run(fetch_all(values.nodes, f'/v1/traces/{some_id}', access))
    spans, errors = _spans_of(answers)
    _show(spans, some_id, is_json=values.json)
    for fault in errors:
        sys.stderr.write(f'lovageshunt trace: {fault}\n')
    return EXIT_OK if spans and not errors else EXIT_FAULT


def _checked_id(some_id: str) -> str:
    if _ID.fullmatch(some_id):
        return some_id
    raise flags.Error(
        f'{some_id!r} is no id; ids hold letters, digits, - and _',
    )


def _spans_of(
    answers: list[NodeAnswer],
) -> tuple[list[SpanRecord], list[LovageshuntError]]:
    spans: list[SpanRecord] = []
    errors: list[LovageshuntError] = []
    for answer in answers:
        if answer.error:
            errors.append(answer.error)
            continue
        body = answer.body or {}
        try:
            spans.extend(map(decode_span, body.get('spans', ())))
        except MalformedSpanError as error:
            errors.append(NodeAnswerError(answer.address, str(error)))
    return spans, errors


def _show(spans: list[SpanRecord], some_id: str, *, is_json: bool) -> None:
    if is_json:
        shown = orjson.dumps({'spans': spans}, default=SpanRecord.as_dict)
        sys.stdout.write(f'{shown.decode()}\n')
        return
    lines = trace_tree(spans) or [
        f'No node keeps a span of {some_id}; it may be unsampled, or too old.',
    ]
    for line in lines:
        sys.stdout.write(f'{line}\n')
