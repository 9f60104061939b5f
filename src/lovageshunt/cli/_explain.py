"""The command that shows the log lines about one request."""

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Final

import orjson
from absl.flags import DEFINE_float, FlagValues

from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
)

LogRecord = dict[str, Any]

#: Fields left out of the field list: they are printed in front of it, or do
#: not describe the request.
_EXCLUDED_FIELDS: Final = frozenset(
    (
        'timestamp',
        'levelname',
        'name',
        'message',
        'request_id',
        'trace_id',
        'node',
    ),
)
#: Default of --around_seconds: lines without a request id from the request's
#: nodes are shown if they are this close to the request's lines.
_AROUND_SECONDS: Final = 2.0
_HOUR_SECONDS: Final = 3600
_MINUTE_SECONDS: Final = 60
# Slice of an ISO 8601 timestamp with the time of day, to the millisecond.
_CLOCK_START: Final = 11
_CLOCK_END: Final = 23


def explain(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print the log lines of a request and nearby lines of its nodes."""
    if len(arguments) < 2:
        write_error(
            'expected a request id and one or more log files; see --help'
        )
        return ExitCode.INVALID_INPUT
    request_id, *paths = arguments
    try:
        lines = [line for path in paths for line in read_lines(Path(path))]
    except OSError as error:
        write_error(f'cannot read a log file: {error}; give readable files')
        return ExitCode.INVALID_INPUT
    found = timeline(request_id, lines, values.around_seconds)
    if values.json:
        write_json({'request_id': request_id, 'lines': found})
    else:
        _show(request_id, found)
    return ExitCode.SUCCESS if found else ExitCode.FAILED


def read_lines(path: Path) -> Iterable[LogRecord]:
    """Yield the JSON log records of a file, without prefixes before ``{``.

    Raises ``OSError`` when the file cannot be read.
    """
    for text in path.read_text(encoding='utf-8').splitlines():
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            line = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            # A truncated line, or one written by another program.
            continue
        if isinstance(line, dict) and 'timestamp' in line:
            yield line


def timeline(
    request_id: str,
    lines: Iterable[LogRecord],
    around_seconds: float,
) -> list[LogRecord]:
    """Return the lines of a request and those near it, by timestamp."""
    ordered = sorted(lines, key=_timestamp_of)
    own = [line for line in ordered if line.get('request_id') == request_id]
    if not own:
        return []
    start = _seconds_of(own[0]) - around_seconds
    end = _seconds_of(own[-1]) + around_seconds
    nodes = {line.get('node') for line in own}
    return [
        line
        for line in ordered
        if line.get('request_id') == request_id
        or _is_nearby(line, nodes, start, end)
    ]


def _is_nearby(
    line: LogRecord,
    nodes: set[Any],
    start: float,
    end: float,
) -> bool:
    if line.get('request_id') or line.get('node') not in nodes:
        return False
    return start <= _seconds_of(line) <= end


def _timestamp_of(line: LogRecord) -> str:
    return str(line['timestamp'])


def _seconds_of(line: LogRecord) -> float:
    """Return the time of day of a log line, in seconds."""
    clock = _timestamp_of(line)[_CLOCK_START:]
    parts = clock.partition('+')[0].split(':')
    hours, minutes, seconds = map(float, parts)
    return hours * _HOUR_SECONDS + minutes * _MINUTE_SECONDS + seconds


def _show(request_id: str, lines: list[LogRecord]) -> None:
    if not lines:
        write_line(
            f'no log line mentions {request_id}; it was answered without an '
            'event worth logging, or records_per_second suppressed its lines',
        )
    for line in lines:
        is_own = line.get('request_id') == request_id
        write_line(f'{"*" if is_own else " "} {_format_line(line)}')


def _format_line(line: LogRecord) -> str:
    clock = _timestamp_of(line)[_CLOCK_START:_CLOCK_END]
    fields = ' '.join(
        f'{name}={text}'
        for name, text in line.items()
        if name not in _EXCLUDED_FIELDS
    )
    return f'{clock} {line.get("node")}: {line.get("message")} {fields}'


def _define(values: FlagValues) -> None:
    DEFINE_float(
        'around_seconds',
        _AROUND_SECONDS,
        'Seconds before and after the request to include other lines.',
        flag_values=values,
    )


COMMANDS: Final = (
    Command(
        name='',
        arguments='ID FILE...',
        summary='Show the log lines that explain the outcome of a request.',
        example='9c41d07be2a35f68 logs/*.jsonl',
        define=_define,
        run=explain,
    ),
)
