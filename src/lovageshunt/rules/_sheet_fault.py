"""Faults of a sheet and their remedies."""

from collections.abc import Collection
from difflib import get_close_matches

from lovageshunt._record import Record


class SheetFault(Record):
    """One fault: its position, the value found and how to correct it.

    ``row`` counts from 1 as a spreadsheet does; 0 means the entire sheet.
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
        self.row = row
        self.column = column
        self.value = value
        self.expected = expected
        self.remedy = remedy

    def __str__(self) -> str:
        """Return all fields in one line."""
        return (
            f'row {self.row}, {self.column}: {self.value!r}, expected '
            f'{self.expected}; {self.remedy}'
        )


def sheet_level_fault(value: str, expected: str) -> SheetFault:
    """Return a fault of the entire sheet rather than of a row."""
    return SheetFault(
        row=0,
        column='sheet',
        value=value,
        expected=expected,
        remedy='export the sheet again as "CSV UTF-8"; see examples/',
    )


def nearest_remedy(name: str, known: Collection[str]) -> str:
    """Return a remedy for an unknown name, with the closest known one."""
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f'did you mean {matches[0]!r}?'
    return f'remove it; known names are {", ".join(sorted(known))}'
