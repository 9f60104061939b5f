"""The command that collects, merges and balances the account."""

import csv
import sys
import time
from asyncio import run
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import orjson
from absl import flags

from lovageshunt.account import AccountLine, causes_of
from lovageshunt.cli._account_report import AccountReport
from lovageshunt.cli._admin_flags import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_USAGE,
    access_of,
    admin_flags,
    parse_admin_flags,
)
from lovageshunt.cli._nodes import fetch_all
from lovageshunt.cli._tables import format_table

ACCOUNT_USAGE: Final = """\
Collect the account from the nodes, merge it, check that it balances and name
the holes that lost VMs leave.

  lovageshunt account --nodes=10.0.0.1:7402,10.0.0.2:7402
  lovageshunt account --nodes=10.0.0.1:7402 --csv=account.csv

Exit code 0: it balances; 1: a node gave no answer, there is a hole, or it
does not balance; 2: the flags are wrong."""

_PATH: Final = '/v1/account'
_CAUSE_HEADERS: Final = (
    'service',
    'kind',
    'importance',
    'end',
    'why',
    'calls',
)
_HEADERS: Final = (
    'service',
    'kind',
    'importance',
    'arrived',
    'retries',
    'answered',
    'refused',
    'failed',
    'unknown',
    'running',
    'wasted',
)


def run_account(argv: list[str]) -> int:
    """Run ``lovageshunt account`` and return its exit code."""
    values = admin_flags()
    flags.DEFINE_string('csv', '', 'Also write a CSV.', flag_values=values)
    flags.DEFINE_string('plot', '', 'Also write a plot.', flag_values=values)
    try:
        parse_admin_flags(values, 'account', argv)
        access = access_of(values)
    except flags.Error as error:
        sys.stderr.write(f'lovageshunt account: {error}\n')
        return EXIT_USAGE
    answers = run(fetch_all(values.nodes, _PATH, access))
    report = AccountReport(answers, time.time())
    if values.csv:
        write_csv(report.account.lines(), Path(values.csv))
    _show(report, is_json=values.json)
    return EXIT_OK if report.is_whole else EXIT_FAULT


def write_csv(lines: Iterable[AccountLine], path: Path) -> None:
    """Write one row for each line and cause, for a spreadsheet."""
    with path.open('w', encoding='utf-8', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(_CAUSE_HEADERS)
        for line in lines:
            writer.writerows(_cause_rows(line))


def _cause_rows(line: AccountLine) -> list[tuple[object, ...]]:
    counts = [
        ('arrived', '', line.arrived),
        ('answered', '', line.answered),
        ('running', '', line.running),
    ]
    counts.extend(
        (cause.end, cause.reason, cause.calls) for cause in causes_of(line)
    )
    return [(*line.key, *count) for count in counts]


def _show(report: AccountReport, *, is_json: bool) -> None:
    if is_json:
        sys.stdout.write(orjson.dumps(report.as_dict()).decode('utf-8'))
        sys.stdout.write('\n')
        return
    for text in _report_lines(report):
        sys.stdout.write(f'{text}\n')


def _report_lines(report: AccountReport) -> list[str]:
    lines = report.account.lines()
    shown = format_table(
        _HEADERS,
        [[getattr(line, name) for name in _HEADERS] for line in lines],
    )
    shown.extend(('', 'Why:'))
    shown.extend(
        format_table(
            _CAUSE_HEADERS,
            [row for line in lines for row in _cause_rows(line) if row[4]],
        ),
    )
    shown.extend(_faults(report))
    verdict = 'balances' if report.is_whole else 'DOES NOT BALANCE OR IS CUT'
    return [*shown, '', f'The account {verdict}.']


def _faults(report: AccountReport) -> list[str]:
    shown = [str(error) for error in report.errors]
    shown.extend(
        f'hole: {hole.node} {hole.incarnation} from {_shown_time(hole.from_at)}'
        f' to {_shown_time(hole.to_at)}'
        for hole in report.holes
    )
    shown.extend(
        f'imbalance: {fault.node} {fault.service} {fault.kind} '
        f'{fault.importance}: {fault.law} is off by {fault.excess}'
        for fault in report.imbalances
    )
    shown.extend(
        f'difference: {fault.service} {fault.kind} {fault.importance}: '
        f'{fault.claim} is off by {fault.excess}'
        for fault in report.differences
    )
    return ['', *shown] if shown else []


def _shown_time(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))
