"""The rows above a sheet's header: deployment, generation and date."""

from datetime import date
from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._sheet_fault import SheetFault
from lovageshunt.rules._sheet_text import Row

_MAX_GENERATION: Final = 2**53
_REQUIRED_NAMES: Final = ('deployment', 'generation')
_NAMES: Final = (*_REQUIRED_NAMES, 'date')
#: Some spreadsheets declare the delimiter in a first line with this prefix.
_DELIMITER_PREFIX: Final = 'sep='


class Preamble(Record):
    """The values of the rows above the header.

    A missing or invalid value leaves the default.
    """

    __slots__ = ('deployment', 'generation', 'exported_on')

    def __init__(
        self,
        *,
        deployment: str = '',
        generation: int = 0,
        exported_on: date | None = None,
    ) -> None:
        self.deployment = deployment
        self.generation = generation
        self.exported_on = exported_on


class PreambleReader:
    """Reads the rows above the header and collects their ``faults``.

    With ``today`` a date row of an earlier day is a fault.
    """

    __slots__ = ('faults', '_today', '_row_by_name')

    def __init__(self, today: date | None) -> None:
        self.faults: list[SheetFault] = []
        self._today = today
        self._row_by_name: dict[str, int] = {}

    def read(self, rows: list[Row]) -> Preamble:
        """Return the values; complete only if there are no faults."""
        preamble = Preamble()
        for row in rows:
            if not row.cells[0].startswith(_DELIMITER_PREFIX):
                self._read_row(preamble, row)
        for name in _REQUIRED_NAMES:
            if name not in self._row_by_name:
                self._add_fault(0, name, '', f'a row {name!r} above the header')
        return preamble

    def _read_row(self, preamble: Preamble, row: Row) -> None:
        name = row.cells[0].casefold()
        cell = ' '.join(filter(None, row.cells[1:]))
        if name not in _NAMES:
            self._add_fault(
                row.number, name, cell, f'one of {", ".join(_NAMES)}'
            )
            return
        first = self._row_by_name.setdefault(name, row.number)
        if first != row.number:
            self._add_fault(
                row.number,
                name,
                cell,
                f'only one such row; the first is row {first}',
            )
        match name:
            case 'deployment':
                preamble.deployment = self._read_deployment(row.number, cell)
            case 'generation':
                preamble.generation = self._read_generation(row.number, cell)
            case 'date':
                preamble.exported_on = self._read_date(row.number, cell)

    def _read_deployment(self, row: int, cell: str) -> str:
        if not cell:
            self._add_fault(
                row, 'deployment', cell, 'the name of the deployment'
            )
        return cell

    def _read_generation(self, row: int, cell: str) -> int:
        if cell.isdecimal() and 0 < int(cell) <= _MAX_GENERATION:
            return int(cell)
        self._add_fault(
            row,
            'generation',
            cell,
            f'a whole number from 1 to {_MAX_GENERATION}',
        )
        return 0

    def _read_date(self, row: int, cell: str) -> date | None:
        try:
            exported_on = date.fromisoformat(cell)
        except ValueError:
            self._add_fault(row, 'date', cell, 'a date such as 2026-01-31')
            return None
        if self._today is not None and exported_on < self._today:
            self._add_fault(row, 'date', cell, f'{self._today} or later')
        return exported_on

    def _add_fault(self, row: int, name: str, cell: str, expected: str) -> None:
        fault = SheetFault(
            row=row,
            column=name,
            value=cell,
            expected=expected,
            remedy='write the row "NAME;VALUE" once, above the header',
        )
        self.faults.append(fault)
