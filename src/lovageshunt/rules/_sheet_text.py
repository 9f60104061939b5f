"""Turns the bytes of an exported sheet into rows of clean cells."""

import csv
import unicodedata
from functools import partial
from io import StringIO
from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._sheet_columns import column_named

_MAX_SHEET_BYTES: Final = 1_000_000
_WIDE_MARKS: Final = (b'\xff\xfe', b'\xfe\xff')
_DELIMITERS: Final = (';', '\t', ',')
#: Joiners that Urdu words need; other format characters are dropped.
_JOINERS: Final = '\u200c\u200d'


class Row(Record):
    """One row; ``number`` counts from 1 as a spreadsheet does."""

    __slots__ = ('number', 'cells')

    def __init__(self, *, number: int, cells: list[str]) -> None:
        """Take the number and the clean cells."""
        self.number = number
        self.cells = cells


def decode_sheet(raw: bytes) -> str:
    """Return the text of a sheet in UTF-8 or UTF-16.

    Raises ``ValueError`` when it is neither, or too large.
    """
    if len(raw) > _MAX_SHEET_BYTES:
        raise ValueError(f'over {_MAX_SHEET_BYTES} bytes')
    text = raw.decode(_encoding_of(raw))
    if '\0' in text:
        raise ValueError('a NUL character')
    return text


def rows_of(text: str) -> list[Row]:
    """Return the rows that hold anything, by the delimiter that fits best.

    Raises ``csv.Error`` when a quoted cell never ends.
    """
    delimiter = max(_DELIMITERS, key=partial(_known_columns, text))
    return _split(text, delimiter, is_strict=True)


def clean(cell: str) -> str:
    """Return a cell without stray blanks and invisible marks."""
    composed = unicodedata.normalize('NFC', cell)
    visible = ''.join(
        character
        for character in composed
        if unicodedata.category(character) != 'Cf' or character in _JOINERS
    )
    return ' '.join(visible.split())


def _encoding_of(raw: bytes) -> str:
    if raw.startswith(_WIDE_MARKS):
        return 'utf-16'
    # Without a mark, ASCII text in UTF-16 has a zero in every other byte.
    if raw[1:2] == b'\0':
        return 'utf-16-le'
    if raw[:1] == b'\0':
        return 'utf-16-be'
    return 'utf-8-sig'


def _split(text: str, delimiter: str, *, is_strict: bool) -> list[Row]:
    lines = StringIO(text, newline='')
    reader = csv.reader(lines, delimiter=delimiter, strict=is_strict)
    rows = [
        Row(number=number, cells=[clean(cell) for cell in cells])
        for number, cells in enumerate(reader, start=1)
    ]
    return [row for row in rows if any(row.cells)]


def _known_columns(text: str, delimiter: str) -> int:
    counts = (
        sum(column_named(cell) is not None for cell in row.cells)
        for row in _split(text, delimiter, is_strict=False)
    )
    return max(counts, default=0)
