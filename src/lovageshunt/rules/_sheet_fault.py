"""What is wrong with a sheet, one record for each fault."""

from collections.abc import Collection
from difflib import get_close_matches

from lovageshunt._record import Record


class SheetFault(Record):
    """One fault: where it is, what stands there and how to mend it.

    ``row`` counts from 1 as a spreadsheet does; 0 means the whole sheet.
    """

    __slots__ = ('row', 'column', 'value', 'expected', 'remedy')

    def __init__(
        self,
        *,
        row: int,
        column: str,
        value: str,
        expected: str,
        remedy: str,
    ) -> None:
        """Take every field by name."""
        self.row = row
        self.column = column
        self.value = value
        self.expected = expected
        self.remedy = remedy

    def __str__(self) -> str:
        """Say all of it in one line."""
        return (
            f'row {self.row}, {self.column}: {self.value!r}, expected '
            f'{self.expected}; {self.remedy}'
        )


def whole_sheet_fault(value: str, expected: str) -> SheetFault:
    """Return a fault that stands in no row."""
    return SheetFault(
        row=0,
        column='sheet',
        value=value,
        expected=expected,
        remedy='export the sheet again as "CSV UTF-8"; see examples/',
    )


def nearest_remedy(name: str, known: Collection[str]) -> str:
    """Return the remedy for a name that is not known."""
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f'did you mean {matches[0]!r}?'
    return f'remove it; known are {", ".join(sorted(known))}'
