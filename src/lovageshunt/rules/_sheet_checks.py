"""Checks of the rules of a sheet against each other."""

from collections.abc import Iterator
from itertools import chain

from lovageshunt._record import Record
from lovageshunt.calls import HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE
from lovageshunt.rules._document import ANY_METHOD, KindRule
from lovageshunt.rules._sheet_fault import SheetFault


class NumberedRule(Record):
    """A rule and its row in the sheet, counted from 1."""

    __slots__ = ('row', 'rule')

    def __init__(self, *, row: int, rule: KindRule) -> None:
        self.row = row
        self.rule = rule


def check_rules(rules: list[NumberedRule]) -> list[SheetFault]:
    """Return the faults of rules that are each valid on their own."""
    checks = (
        _duplicate_kinds(rules),
        _duplicate_requests(rules),
        _inconsistent_repeatables(rules),
        _extreme_catch_alls(rules),
        _uniform_importance(rules),
    )
    return list(chain.from_iterable(checks))


def _duplicate_kinds(rules: list[NumberedRule]) -> Iterator[SheetFault]:
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
                expected=f'each kind of {rule.service} in one row only',
                remedy=f'remove this row or row {first}, or rename the kind',
            )


def _duplicate_requests(rules: list[NumberedRule]) -> Iterator[SheetFault]:
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
                expected=f'each request of {rule.service} in one kind only',
                remedy=f'remove this row or row {first.row}',
            )


def _inconsistent_repeatables(
    rules: list[NumberedRule],
) -> Iterator[SheetFault]:
    first_by_kind: dict[str, NumberedRule] = {}
    for numbered in rules:
        rule = numbered.rule
        first = first_by_kind.setdefault(rule.kind, numbered)
        if first.rule.is_repeatable != rule.is_repeatable:
            yield SheetFault(
                row=numbered.row,
                column='repeatable',
                value='yes' if rule.is_repeatable else 'no',
                expected=f'the value of {rule.kind} in row {first.row}',
                remedy='use the same value in both rows, or two kinds',
            )


def _extreme_catch_alls(rules: list[NumberedRule]) -> Iterator[SheetFault]:
    extreme_importances = {HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE}
    for numbered in rules:
        rule = numbered.rule
        is_catch_all = rule.method == ANY_METHOD and rule.path == '/'
        if is_catch_all and rule.importance in extreme_importances:
            yield SheetFault(
                row=numbered.row,
                column='importance',
                value=str(rule.importance),
                expected='from 1 to 6 for a rule that matches every request',
                remedy='narrow method or path, or choose from 1 to 6',
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
            expected='at least two different values in the sheet',
            remedy=(
                'give less important requests a larger number, for example '
                'lookups a larger one than purchases'
            ),
        )
