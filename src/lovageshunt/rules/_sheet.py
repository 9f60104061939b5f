"""Turns a planner's sheet into a document, or into all of its faults.

A sheet starts with the rows ``deployment`` and ``generation``, and ``date``
if wanted, each with its value in the second cell. Then comes the header and
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
from lovageshunt.rules._sheet_columns import column_named
from lovageshunt.rules._sheet_fault import SheetFault, whole_sheet_fault
from lovageshunt.rules._sheet_preamble import Lead, LeadReader
from lovageshunt.rules._sheet_table import TableReader
from lovageshunt.rules._sheet_text import Row, decode_sheet, rows_of

#: A row with this many cells that name columns is the header.
_MIN_HEADER_CELLS: Final = 3


class Sheet(Record):
    """An accepted sheet; ``exported_on`` is its date row, if it has one."""

    __slots__ = ('document', 'exported_on')

    def __init__(
        self,
        *,
        document: RulesDocument,
        exported_on: date | None,
    ) -> None:
        """Take the document and the date."""
        self.document = document
        self.exported_on = exported_on


def parse_sheet(
    raw: bytes,
    known_services: Collection[str] | None = None,
    today: date | None = None,
) -> Result[Sheet, list[SheetFault]]:
    """Return the checked sheet, or every fault in it.

    With ``known_services`` a rule for any other service is a fault; with
    ``today`` a date row of an earlier day is one.
    """
    try:
        rows = rows_of(decode_sheet(raw))
    except (ValueError, csv.Error) as error:
        return _refuse(str(error), 'CSV in UTF-8 or UTF-16')
    position = _header_position(rows)
    if position is None:
        return _refuse('no header row', 'a row that names the columns')
    lead = LeadReader(today)
    table = TableReader(rows[position], known_services)
    heading = lead.read(rows[:position])
    for row in rows[position + 1 :]:
        table.read(row)
    faults = lead.faults + table.faults + check_rules(table.rules)
    if faults:
        return Error(sorted(faults, key=_place))
    if not table.rules:
        return _refuse('no rules', 'a row for each kind of request')
    return Ok(_sheet_of(heading, table.rules))


def _refuse(value: str, expected: str) -> Result[Sheet, list[SheetFault]]:
    return Error([whole_sheet_fault(value, expected)])


def _header_position(rows: list[Row]) -> int | None:
    for position, row in enumerate(rows):
        named = sum(column_named(cell) is not None for cell in row.cells)
        if named >= _MIN_HEADER_CELLS:
            return position
    return None


def _sheet_of(lead: Lead, rules: list[NumberedRule]) -> Sheet:
    by_service: dict[str, dict[str, KindRule]] = {}
    for numbered in rules:
        rule = numbered.rule
        by_service.setdefault(rule.service, {})[rule.kind] = rule
    document = RulesDocument(
        deployment=lead.deployment,
        generation=lead.generation,
        by_service={
            service: ServiceRules(service=service, by_kind=by_kind)
            for service, by_kind in by_service.items()
        },
    )
    return Sheet(document=document, exported_on=lead.exported_on)


def _place(fault: SheetFault) -> tuple[int, str]:
    return (fault.row, fault.column)
