"""Reads the header of a sheet and the rules in the rows below it."""

from collections.abc import Collection
from itertools import zip_longest
from typing import Any, Final

from lovageshunt.rules._document import KindRule
from lovageshunt.rules._sheet_checks import NumberedRule
from lovageshunt.rules._sheet_columns import COLUMNS, Column, find_column
from lovageshunt.rules._sheet_fault import SheetFault, nearest_remedy
from lovageshunt.rules._sheet_text import Row

#: The field of the column with comments, which no rule uses.
_NOTE_FIELD: Final = 'note'


class TableReader:
    """Reads rows into ``rules`` and collects ``faults``, also of the header.

    ``known_services`` of ``None`` permits any service.
    """

    __slots__ = ('faults', 'rules', '_header', '_known_services')

    def __init__(
        self,
        header: Row,
        known_services: Collection[str] | None,
    ) -> None:
        self.faults: list[SheetFault] = []
        self.rules: list[NumberedRule] = []
        self._header = [find_column(cell) for cell in header.cells]
        self._known_services = known_services
        self._check_header(header)

    def read(self, row: Row) -> None:
        """Read one row and append a rule or at least one fault."""
        count = len(self.faults)
        by_field = self._read_cells(row)
        by_field.pop(_NOTE_FIELD, None)
        self._check_service(row.number, by_field.get('service'))
        if count == len(self.faults) and self._has_complete_header():
            rule = KindRule(**by_field)
            self.rules.append(NumberedRule(row=row.number, rule=rule))

    def _has_complete_header(self) -> bool:
        return all(
            column in self._header for column in COLUMNS if column.is_required
        )

    def _check_header(self, row: Row) -> None:
        seen: set[str] = set()
        for cell, column in zip(row.cells, self._header, strict=True):
            if column is None:
                self._check_unknown_column(row.number, cell)
                continue
            if column.name in seen:
                self._add_column_fault(
                    row.number, column, cell, 'this column only once'
                )
            seen.add(column.name)
        for missing in COLUMNS:
            if missing.is_required and missing.name not in seen:
                self._add_column_fault(
                    row.number, missing, '', 'a column with this name'
                )

    def _check_unknown_column(self, row: int, cell: str) -> None:
        if not cell:
            return
        known = [name for column in COLUMNS for name in column.names]
        fault = SheetFault(
            row=row,
            column=cell,
            value=cell,
            expected='a known column',
            remedy=nearest_remedy(cell.casefold(), known),
        )
        self.faults.append(fault)

    def _add_column_fault(
        self,
        row: int,
        column: Column,
        cell: str,
        expected: str,
    ) -> None:
        fault = SheetFault(
            row=row,
            column=column.name,
            value=cell,
            expected=expected,
            remedy=f'name it once in the header: {" or ".join(column.names)}',
        )
        self.faults.append(fault)

    def _read_cells(self, row: Row) -> dict[str, Any]:
        by_field: dict[str, Any] = {}
        pairs = zip_longest(self._header, row.cells)
        for position, (column, cell) in enumerate(pairs, start=1):
            if column is not None:
                by_field[column.field] = self._read_cell(row, column, cell)
                continue
            if cell:
                self._add_surplus_fault(row.number, position, cell)
        return by_field

    def _read_cell(self, row: Row, column: Column, cell: str | None) -> Any:
        text = cell or ''
        try:
            return column.read(text)
        except ValueError:
            fault = SheetFault(
                row=row.number,
                column=column.name,
                value=text,
                expected=column.expected,
                remedy='correct the cell' if text else 'fill in the cell',
            )
            self.faults.append(fault)
            return None

    def _add_surplus_fault(self, row: int, position: int, cell: str) -> None:
        fault = SheetFault(
            row=row,
            column=f'cell {position}',
            value=cell,
            expected='an empty cell, as the header has no column here',
            remedy='clear the cell, or quote cells that contain the delimiter',
        )
        self.faults.append(fault)

    def _check_service(self, row: int, service: str | None) -> None:
        known = self._known_services
        if service is None or known is None or service in known:
            return
        fault = SheetFault(
            row=row,
            column='service',
            value=service,
            expected='a service of the deployment',
            remedy=nearest_remedy(service, known),
        )
        self.faults.append(fault)
