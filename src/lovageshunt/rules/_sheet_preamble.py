"""The rows above a sheet's header: deployment, generation and date."""

from datetime import date
from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._sheet_fault import SheetFault
from lovageshunt.rules._sheet_text import Row

_MAX_GENERATION: Final = 2**53
_REQUIRED: Final = ('deployment', 'generation')
_NAMES: Final = (*_REQUIRED, 'date')
#: Spreadsheets may write this first, to name the delimiter.
_DELIMITER_LINE: Final = 'sep='


class Lead(Record):
    """What the rows above the header say."""

    __slots__ = ('deployment', 'generation', 'exported_on')

    def __init__(
        self,
        *,
        deployment: str = '',
        generation: int = 0,
        exported_on: date | None = None,
    ) -> None:
        """Take the values, or what stands for their absence."""
        self.deployment = deployment
        self.generation = generation
        self.exported_on = exported_on


class LeadReader:
    """Reads the rows above the header; ``faults`` is what is wrong."""

    __slots__ = ('faults', '_today', '_number_by_name')

    def __init__(self, today: date | None) -> None:
        """Take the day before which a date row is too old."""
        self.faults: list[SheetFault] = []
        self._today = today
        self._number_by_name: dict[str, int] = {}

    def read(self, rows: list[Row]) -> Lead:
        """Return what the rows say; whole only when there are no faults."""
        lead = Lead()
        for row in rows:
            if not row.cells[0].startswith(_DELIMITER_LINE):
                self._read_row(lead, row)
        for name in _REQUIRED:
            if name not in self._number_by_name:
                self._add(0, name, '', 'such a row above the header')
        return lead

    def _read_row(self, lead: Lead, row: Row) -> None:
        name = row.cells[0].casefold()
        cell = ' '.join(filter(None, row.cells[1:]))
        if name not in _NAMES:
            self._add(row.number, name, cell, f'one of {", ".join(_NAMES)}')
            return
        first = self._number_by_name.setdefault(name, row.number)
        if first != row.number:
            self._add(row.number, name, cell, f'it in row {first} only')
        match name:
            case 'deployment':
                lead.deployment = self._read_deployment(row.number, cell)
            case 'generation':
                lead.generation = self._read_generation(row.number, cell)
            case 'date':
                lead.exported_on = self._read_date(row.number, cell)

    def _read_deployment(self, row: int, cell: str) -> str:
        if not cell:
            self._add(row, 'deployment', cell, 'its name')
        return cell

    def _read_generation(self, row: int, cell: str) -> int:
        if cell.isdecimal() and 0 < int(cell) <= _MAX_GENERATION:
            return int(cell)
        self._add(row, 'generation', cell, 'a whole number from 1')
        return 0

    def _read_date(self, row: int, cell: str) -> date | None:
        try:
            exported_on = date.fromisoformat(cell)
        except ValueError:
            self._add(row, 'date', cell, 'a date such as 2026-01-31')
            return None
        if self._today is not None and exported_on < self._today:
            self._add(row, 'date', cell, f'a sheet of {self._today}')
        return exported_on

    def _add(self, row: int, name: str, cell: str, expected: str) -> None:
        fault = SheetFault(
            row=row,
            column=name,
            value=cell,
            expected=expected,
            remedy='write the row "NAME;VALUE" once, above the header',
        )
        self.faults.append(fault)
