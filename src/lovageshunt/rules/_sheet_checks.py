"""Checks across the rows of a sheet."""

from collections.abc import Iterator
from itertools import chain

from lovageshunt._record import Record
from lovageshunt.calls import HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE
from lovageshunt.rules._document import ANY_METHOD, KindRule
from lovageshunt.rules._sheet_fault import SheetFault


class NumberedRule(Record):
    """A rule and the row that it stands in."""

    __slots__ = ('row', 'rule')

    def __init__(self, *, row: int, rule: KindRule) -> None:
        """Take both."""
        self.row = row
        self.rule = rule


def check_rules(rules: list[NumberedRule]) -> list[SheetFault]:
    """Return what is wrong with rules that are each well formed."""
    checks = (
        _repeated_kinds(rules),
        _repeated_requests(rules),
        _unlike_repeatables(rules),
        _catch_alls(rules),
        _uniform_importance(rules),
    )
    return list(chain.from_iterable(checks))


def _repeated_kinds(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    row_by_kind: dict[tuple[str, str], int] = {}
    for numbered in rules:
        rule = numbered.rule
        key = (rule.service, rule.kind)
        first = row_by_kind.setdefault(key, numbered.row)
        if first != numbered.row:
            yield SheetFault(
                row=numbered.row,
                column='kind',
                value=rule.kind,
                expected=f'each kind once at {rule.service}',
                remedy=f'remove this row or row {first}, or rename the kind',
            )


def _repeated_requests(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    first_by_request: dict[tuple[str, str, str], NumberedRule] = {}
    for numbered in rules:
        rule = numbered.rule
        key = (rule.service, rule.method, rule.path.rstrip('/'))
        first = first_by_request.setdefault(key, numbered)
        if first.rule.kind != rule.kind:
            yield SheetFault(
                row=numbered.row,
                column='path',
                value=f'{rule.method} {rule.path}',
                expected=f'each request in one kind at {rule.service}',
                remedy=f'remove this row or row {first.row}',
            )


def _unlike_repeatables(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    first_by_kind: dict[str, NumberedRule] = {}
    for numbered in rules:
        rule = numbered.rule
        first = first_by_kind.setdefault(rule.kind, numbered)
        if first.rule.is_repeatable != rule.is_repeatable:
            yield SheetFault(
                row=numbered.row,
                column='repeatable',
                value='yes' if rule.is_repeatable else 'no',
                expected=f'the same for {rule.kind} as in row {first.row}',
                remedy='make both alike, or give them two kinds',
            )


def _catch_alls(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    extremes = {HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE}
    for numbered in rules:
        rule = numbered.rule
        is_catch_all = rule.method == ANY_METHOD and rule.path == '/'
        if is_catch_all and rule.importance in extremes:
            yield SheetFault(
                row=numbered.row,
                column='importance',
                value=str(rule.importance),
                expected='a middle importance where a rule takes every request',
                remedy='name the requests meant, or choose from 1 to 6',
            )


def _uniform_importance(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    importances = {numbered.rule.importance for numbered in rules}
    if len(rules) < 2 or len(importances) > 1:
        return
    if importances <= {HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE}:
        yield SheetFault(
            row=0,
            column='importance',
            value=str(importances.pop()),
            expected='some requests that are refused before others',
            remedy='give lookups a larger number than purchases',
        )
