"""The command that collects, merges and balances the account."""

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
from lovageshunt.cli._ask import ask_nodes, define_nodes
from lovageshunt.cli._command import (
    Command,
    ExitCode,
    write_error,
    write_json,
    write_line,
    write_table,
)
from lovageshunt.errors import LovageshuntError

_PATH: Final = '/v1/account'
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
    """Collect the account, show it, and fail unless it is whole."""
    if arguments:
        write_error('expected flags only; see --help')
        return ExitCode.FAULTS
    match _collect(values):
        case Result(tag='ok', ok=report):
            return _publish(report, values)
        case Result(error=fault):
            write_error(fault)
    return ExitCode.FAULTS


def _collect(values: FlagValues) -> Result[AccountReport, str]:
    return _collect_once(values).bind(
        lambda earlier: _collect_again(earlier, values),
    )


def _collect_again(
    earlier: Collection,
    values: FlagValues,
) -> Result[AccountReport, str]:
    if not earlier.has_callers:
        return Ok(AccountReport(earlier, earlier=earlier))
    time.sleep(values.get_flag_value('wait-seconds', None))
    return _collect_once(values).map(
        lambda collection: AccountReport(collection, earlier=earlier),
    )


def _collect_once(values: FlagValues) -> Result[Collection, str]:
    return ask_nodes(_PATH, values).bind(
        lambda answers: _with_callers(
            Collection(answers, time.time()),
            values.callers or (),
        ),
    )


def _with_callers(
    collection: Collection,
    paths: Sequence[str],
) -> Result[Collection, str]:
    for path in paths:
        try:
            fields = orjson.loads(Path(path).read_bytes())
            collection.account.add(snapshot_from_dict(fields))
        except (LovageshuntError, OSError, ValueError) as error:
            return Error(f'--callers has {path!r} ({error}); name snapshots')
    return Ok(collection)


def _publish(report: AccountReport, values: FlagValues) -> ExitCode:
    if not _write_files(report, values):
        return ExitCode.FAILED
    if values.json:
        write_json(report.as_dict())
    else:
        _show(report)
    return ExitCode.FINE if report.is_whole else ExitCode.FAILED


def _write_files(report: AccountReport, values: FlagValues) -> bool:
    lines = report.lines()
    try:
        if values.csv is not None:
            write_csv(lines, Path(values.csv))
        if values.plot is not None:
            # Loaded only here, because it takes long and is an extra.
            plot = import_module('lovageshunt.cli._account_plot')
            plot.write_plot(lines, values.plot)
    except (ImportError, OSError, ValueError) as error:
        write_error(
            f'the file cannot be written ({error}); choose another path, and '
            "for --plot install 'lovageshunt[plot]' and end it in .png or .svg",
        )
        return False
    return True


def write_csv(lines: Iterable[AccountLine], path: Path) -> None:
    """Write one row for each line and cause, for a spreadsheet."""
    with path.open('w', encoding='utf-8', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(_CAUSE_HEADERS)
        for line in lines:
            writer.writerows(_count_rows(line))
            writer.writerows(_cause_rows(line))


def _count_rows(line: AccountLine) -> list[tuple[str, ...]]:
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
    _show_lines('at nodes', report.lines())
    callers = report.lines(Role.CALLER)
    if callers:
        _show_lines('as callers saw it', callers)
    for fault in report.faults():
        write_line(fault)
    verdict = 'is whole' if report.is_whole else 'is NOT whole'
    write_line(f'the account {verdict}')


def _show_lines(title: str, lines: list[AccountLine]) -> None:
    write_line(f'{title}:')
    write_table(
        (*_KEY_HEADERS, *_COUNT_HEADERS),
        [(*_key_cells(line), *_count_cells(line)) for line in lines],
    )
    causes = [row for line in lines for row in _cause_rows(line)]
    if causes:
        write_line('\nwhy:')
        write_table(_CAUSE_HEADERS, causes)
    write_line('')


def _count_cells(line: AccountLine) -> list[str]:
    return [str(getattr(line, name)) for name in _COUNT_HEADERS]


def _define(values: FlagValues) -> None:
    define_nodes(values)
    DEFINE_list(
        'callers',
        None,
        'Files with snapshots that callers wrote, to be compared.',
        flag_values=values,
    )
    DEFINE_float(
        'wait-seconds',
        0,
        'Time for callers to report between two readings.',
        lower_bound=0,
        flag_values=values,
    )
    DEFINE_string(
        'csv',
        None,
        'Also write the counts here, a row for each cause.',
        flag_values=values,
    )
    DEFINE_string(
        'plot',
        None,
        'Also draw what became of calls here, as .png or .svg.',
        flag_values=values,
    )


COMMANDS: Final = (
    Command(
        name='',
        summary='Collect the account, balance it and name what is missing.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202 --csv=account.csv',
        define=_define,
        run=account,
    ),
)
