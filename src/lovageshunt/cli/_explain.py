"""The command that tells from collected logs what became of a request."""

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

Line = dict[str, Any]

#: Fields that are shown apart, or say nothing of the request.
_SHOWN_APART: Final = frozenset(
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
#: Seconds before and after a request's lines in which the lines of its nodes
#: that belong to no request are shown.
_AROUND_SECONDS: Final = 2.0
_HOUR_SECONDS: Final = 3600
_MINUTE_SECONDS: Final = 60
_CLOCK_START: Final = 11
_CLOCK_END: Final = 23


def explain(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Print the lines of one request, and what its nodes saw around them."""
    if len(arguments) < 2:
        write_error('expected a request id and log files; see --help')
        return ExitCode.FAULTS
    request_id, *paths = arguments
    try:
        lines = [line for path in paths for line in read_lines(Path(path))]
    except OSError as error:
        write_error(f'{error}; give files that can be read')
        return ExitCode.FAULTS
    found = timeline(request_id, lines, values.around_seconds)
    if values.json:
        write_json({'request_id': request_id, 'lines': found})
    else:
        _show(request_id, found)
    return ExitCode.FINE if found else ExitCode.FAILED


def read_lines(path: Path) -> Iterable[Line]:
    """Return the JSON lines of a file; what stands before them is cut."""
    for text in path.read_text(encoding='utf-8').splitlines():
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            line = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            # A line that was cut off, or of another program.
            continue
        if isinstance(line, dict) and 'timestamp' in line:
            yield line


def timeline(
    request_id: str,
    lines: Iterable[Line],
    around_seconds: float,
) -> list[Line]:
    """Return the lines of a request and those around it, by their time."""
    ordered = sorted(lines, key=_time_of)
    own = [line for line in ordered if line.get('request_id') == request_id]
    if not own:
        return []
    begin = _seconds_of(own[0]) - around_seconds
    end = _seconds_of(own[-1]) + around_seconds
    nodes = {line.get('node') for line in own}
    return [
        line
        for line in ordered
        if line.get('request_id') == request_id
        or _is_around(line, nodes, begin, end)
    ]


def _is_around(
    line: Line,
    nodes: set[Any],
    begin: float,
    end: float,
) -> bool:
    if line.get('request_id') or line.get('node') not in nodes:
        return False
    return begin <= _seconds_of(line) <= end


def _time_of(line: Line) -> str:
    return str(line['timestamp'])


def _seconds_of(line: Line) -> float:
    """Return the time of day of a line, in seconds."""
    clock = _time_of(line)[_CLOCK_START:]
    parts = clock.partition('+')[0].split(':')
    hours, minutes, seconds = map(float, parts)
    return hours * _HOUR_SECONDS + minutes * _MINUTE_SECONDS + seconds


def _show(request_id: str, lines: list[Line]) -> None:
    if not lines:
        write_line(
            f'no line names {request_id}; it was answered as usual, or its '
            'line was held back by records_per_second',
        )
    for line in lines:
        is_own = line.get('request_id') == request_id
        write_line(f'{"*" if is_own else " "} {_shown(line)}')


def _shown(line: Line) -> str:
    clock = _time_of(line)[_CLOCK_START:_CLOCK_END]
    fields = ' '.join(
        f'{name}={text}'
        for name, text in line.items()
        if name not in _SHOWN_APART
    )
    return f'{clock} {line.get("node")}: {line.get("message")} {fields}'


def _define(values: FlagValues) -> None:
    DEFINE_float(
        'around_seconds',
        _AROUND_SECONDS,
        'How long before and after a request other lines are shown.',
        flag_values=values,
    )


COMMANDS: Final = (
    Command(
        name='',
        arguments='ID FILE...',
        summary='Tell from collected logs what became of a request.',
        example='9c41d07be2a35f68 logs/*.jsonl',
        define=_define,
        run=explain,
    ),
)
