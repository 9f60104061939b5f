"""The command that collects, merges and balances call accounts."""

import csv
import time
from collections.abc import Iterable, Sequence
from importlib import import_module
from pathlib import Path
from typing import Final

import orjson
from absl.flags import (
    DEFINE_float,
    DEFINE_list,
    DEFINE_string,
    FlagValues,
)
from expression import Error, Ok, Result

from lovageshunt.account import (
    AccountLine,
    Role,
    causes_of,
    snapshot_from_dict,
)
from lovageshunt.cli._account_report import AccountReport, Collection
from lovageshunt.cli._ask import define_node_flags, query_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)
from lovageshunt.errors import LovageshuntError

_ACCOUNT_PATH: Final = '/v1/account'
_KEY_HEADERS: Final = ('service', 'kind', 'importance')
_COUNT_HEADERS: Final = (
    'arrived',
    'retries',
    'answered',
    'refused',
    'failed',
    'unknown',
    'running',
    'wasted',
)
_CAUSE_HEADERS: Final = (*_KEY_HEADERS, 'end', 'why', 'calls')


def account(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Show the merged account; fail if it is incomplete or inconsistent."""
    if arguments:
        write_error('expected flags only, got other arguments; see --help')
        return ExitCode.INVALID_INPUT
    match _collect(values):
        case Result(tag='ok', ok=report):
            return _output(report, values)
        case Result(error=problem):
            write_error(problem)
    return ExitCode.INVALID_INPUT


def _collect(values: FlagValues) -> Result[AccountReport, str]:
    return _collect_snapshots(values).bind(
        lambda earlier: _collect_second(earlier, values),
    )


def _collect_second(
    earlier: Collection,
    values: FlagValues,
) -> Result[AccountReport, str]:
    if not earlier.has_callers:
        return Ok(AccountReport(earlier, earlier=earlier))
    time.sleep(values.get_flag_value('wait-seconds', None))
    return _collect_snapshots(values).map(
        lambda collection: AccountReport(collection, earlier=earlier),
    )


def _collect_snapshots(values: FlagValues) -> Result[Collection, str]:
    return query_nodes(_ACCOUNT_PATH, values).bind(
        lambda answers: _add_caller_snapshots(
            Collection(answers, time.time()),
            values.callers or (),
        ),
    )


def _add_caller_snapshots(
    collection: Collection,
    paths: Sequence[str],
) -> Result[Collection, str]:
    for path in paths:
        try:
            fields = orjson.loads(Path(path).read_bytes())
            collection.account.add(snapshot_from_dict(fields))
        except (LovageshuntError, OSError, ValueError) as error:
            return Error(
                f'cannot read a caller snapshot from {path!r} ({error}); give '
                '--callers files with snapshots that callers wrote',
            )
    return Ok(collection)


def _output(report: AccountReport, values: FlagValues) -> ExitCode:
    if not _write_files(report, values):
        return ExitCode.FAILED
    if values.json:
        write_json(report.as_dict())
    else:
        _show(report)
    return ExitCode.SUCCESS if report.is_complete else ExitCode.FAILED


def _write_files(report: AccountReport, values: FlagValues) -> bool:
    lines = report.lines()
    try:
        if values.csv is not None:
            write_csv(lines, Path(values.csv))
        if values.plot is not None:
            # matplotlib is an optional dependency and slow to import.
            plot = import_module('lovageshunt.cli._account_plot')
            plot.write_plot(lines, values.plot)
    except (ImportError, OSError, ValueError) as error:
        write_error(
            f'cannot write the output file ({error}); choose another path; '
            "--plot needs 'lovageshunt[plot]' and a name in .png or .svg",
        )
        return False
    return True


def write_csv(lines: Iterable[AccountLine], path: Path) -> None:
    """Write the account as CSV, one row per account line and cause.

    Raises ``OSError`` when the file cannot be written.
    """
    with path.open('w', encoding='utf-8', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(_CAUSE_HEADERS)
        for line in lines:
            writer.writerows(_total_rows(line))
            writer.writerows(_cause_rows(line))


def _total_rows(line: AccountLine) -> list[tuple[str, ...]]:
    key = _key_cells(line)
    return [
        (*key, 'arrived', '', str(line.arrived)),
        (*key, 'answered', '', str(line.answered)),
        (*key, 'running', '', str(line.running)),
    ]


def _cause_rows(line: AccountLine) -> list[tuple[str, ...]]:
    key = _key_cells(line)
    return [
        (*key, cause.end, cause.reason, str(cause.calls))
        for cause in causes_of(line)
    ]


def _key_cells(line: AccountLine) -> tuple[str, ...]:
    return (line.service, line.kind, str(line.importance))


def _show(report: AccountReport) -> None:
    _show_section('counted by nodes', report.lines())
    callers = report.lines(Role.CALLER)
    if callers:
        _show_section('counted by callers', callers)
    for problem_line in report.problem_lines():
        write_line(problem_line)
    verdict = 'complete' if report.is_complete else 'NOT complete'
    write_line(f'the account is {verdict}')


def _show_section(title: str, lines: list[AccountLine]) -> None:
    write_line(f'{title}:')
    write_table(
        (*_KEY_HEADERS, *_COUNT_HEADERS),
        [(*_key_cells(line), *_count_cells(line)) for line in lines],
    )
    causes = [row for line in lines for row in _cause_rows(line)]
    if causes:
        write_line('\ncauses:')
        write_table(_CAUSE_HEADERS, causes)
    write_line('')


def _count_cells(line: AccountLine) -> list[str]:
    return [str(getattr(line, name)) for name in _COUNT_HEADERS]


def _define(values: FlagValues) -> None:
    define_node_flags(values)
    DEFINE_list(
        'callers',
        None,
        'Snapshot files written by callers, compared with the nodes.',
        flag_values=values,
    )
    DEFINE_float(
        'wait-seconds',
        0,
        'Seconds between two collections when callers are compared.',
        lower_bound=0,
        flag_values=values,
    )
    DEFINE_string(
        'csv',
        None,
        'Also write the counts to this CSV file, one row per cause.',
        flag_values=values,
    )
    DEFINE_string(
        'plot',
        None,
        'Also plot the outcomes of calls to this .png or .svg file.',
        flag_values=values,
    )


COMMANDS: Final = (
    Command(
        name='',
        summary='Collect and balance the call accounts; list missing data.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202 --csv=account.csv',
        define=_define,
        run=account,
    ),
)
