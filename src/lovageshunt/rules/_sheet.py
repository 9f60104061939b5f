"""Parses a planner's sheet into a document, or into all of its faults.

A sheet starts with the rows ``deployment`` and ``generation``, and ``date``
optionally, each with its value in the second cell. The header follows, then
one row for each kind of request at a service.
"""

import csv
from collections.abc import Collection
from datetime import date
from typing import Final

from expression import Error, Ok, Result

from lovageshunt._record import Record
from lovageshunt.rules._document import KindRule, RulesDocument, ServiceRules
from lovageshunt.rules._sheet_checks import NumberedRule, check_rules
from lovageshunt.rules._sheet_columns import find_column
from lovageshunt.rules._sheet_fault import SheetFault, sheet_level_fault
from lovageshunt.rules._sheet_preamble import Preamble, PreambleReader
from lovageshunt.rules._sheet_table import TableReader
from lovageshunt.rules._sheet_text import Row, decode_sheet, split_rows

#: The first row with this many cells that name columns is the header.
_MIN_HEADER_CELLS: Final = 3


class Sheet(Record):
    """A sheet without faults; ``exported_on`` is its optional date row."""

    __slots__ = ('document', 'exported_on')

    def __init__(
        self,
        *,
        document: RulesDocument,
        exported_on: date | None,
    ) -> None:
        self.document = document
        self.exported_on = exported_on


def parse_sheet(
    raw: bytes,
    known_services: Collection[str] | None = None,
    today: date | None = None,
) -> Result[Sheet, list[SheetFault]]:
    """Return the sheet, or all faults in the order of rows and columns.

    With ``known_services`` a rule for any other service is a fault; with
    ``today`` a date row of an earlier day is one.
    """
    try:
        rows = split_rows(decode_sheet(raw))
    except (ValueError, csv.Error) as error:
        return _refuse(str(error), 'a CSV file in UTF-8 or UTF-16')
    index = _header_index(rows)
    if index is None:
        return _refuse('no header row', 'a row with the names of the columns')
    preamble_reader = PreambleReader(today)
    table = TableReader(rows[index], known_services)
    preamble = preamble_reader.read(rows[:index])
    for row in rows[index + 1 :]:
        table.read(row)
    faults = preamble_reader.faults + table.faults + check_rules(table.rules)
    if faults:
        return Error(sorted(faults, key=_position))
    if not table.rules:
        return _refuse('no rules', 'at least one rule below the header')
    return Ok(_sheet_of(preamble, table.rules))


def _refuse(value: str, expected: str) -> Result[Sheet, list[SheetFault]]:
    return Error([sheet_level_fault(value, expected)])


def _header_index(rows: list[Row]) -> int | None:
    for index, row in enumerate(rows):
        column_count = sum(find_column(cell) is not None for cell in row.cells)
        if column_count >= _MIN_HEADER_CELLS:
            return index
    return None


def _sheet_of(preamble: Preamble, rules: list[NumberedRule]) -> Sheet:
    by_service: dict[str, dict[str, KindRule]] = {}
    for numbered in rules:
        rule = numbered.rule
        by_service.setdefault(rule.service, {})[rule.kind] = rule
    document = RulesDocument(
        deployment=preamble.deployment,
        generation=preamble.generation,
        by_service={
            service: ServiceRules(service=service, by_kind=by_kind)
            for service, by_kind in by_service.items()
        },
    )
    return Sheet(document=document, exported_on=preamble.exported_on)


def _position(fault: SheetFault) -> tuple[int, str]:
    return (fault.row, fault.column)
