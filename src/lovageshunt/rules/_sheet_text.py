"""Decodes an exported sheet into rows of normalized cells."""

import csv
import unicodedata
from functools import partial
from io import StringIO
from typing import Final

from lovageshunt._record import Record
from lovageshunt.rules._sheet_columns import find_column

_MAX_SHEET_BYTES: Final = 1_000_000
_UTF16_BOMS: Final = (b'\xff\xfe', b'\xfe\xff')
_DELIMITERS: Final = (';', '\t', ',')
#: Urdu words need these joiners; other format characters are removed.
_JOINERS: Final = '\u200c\u200d'


class Row(Record):
    """A row with normalized cells; ``number`` counts from 1."""

    __slots__ = ('number', 'cells')

    def __init__(self, *, number: int, cells: list[str]) -> None:
        self.number = number
        self.cells = cells


def decode_sheet(raw: bytes) -> str:
    """Return the text of a sheet in UTF-8 or UTF-16.

    Raises ``ValueError`` if it is neither, too large or has a NUL character.
    """
    if len(raw) > _MAX_SHEET_BYTES:
        raise ValueError(f'larger than {_MAX_SHEET_BYTES} bytes')
    text = raw.decode(_encoding_of(raw))
    if '\0' in text:
        raise ValueError('contains a NUL character')
    return text


def split_rows(text: str) -> list[Row]:
    """Return the rows that are not empty.

    The delimiter is the one that gives the most known columns in one row.
    Raises ``csv.Error`` if a quoted cell is not closed.
    """
    delimiter = max(_DELIMITERS, key=partial(_count_known_columns, text))
    return _parse_rows(text, delimiter, is_strict=True)


def clean_cell(cell: str) -> str:
    """Return a cell in NFC with single blanks and no invisible characters."""
    composed = unicodedata.normalize('NFC', cell)
    visible = ''.join(
        character
        for character in composed
        if unicodedata.category(character) != 'Cf' or character in _JOINERS
    )
    return ' '.join(visible.split())


def _encoding_of(raw: bytes) -> str:
    if raw.startswith(_UTF16_BOMS):
        return 'utf-16'
    # Without a byte order mark, ASCII text in UTF-16 has a zero in every
    # other byte.
    if raw[1:2] == b'\0':
        return 'utf-16-le'
    if raw[:1] == b'\0':
        return 'utf-16-be'
    return 'utf-8-sig'


def _parse_rows(text: str, delimiter: str, *, is_strict: bool) -> list[Row]:
    lines = StringIO(text, newline='')
    reader = csv.reader(lines, delimiter=delimiter, strict=is_strict)
    rows = [
        Row(number=number, cells=[clean_cell(cell) for cell in cells])
        for number, cells in enumerate(reader, start=1)
    ]
    return [row for row in rows if any(row.cells)]


def _count_known_columns(text: str, delimiter: str) -> int:
    counts = (
        sum(find_column(cell) is not None for cell in row.cells)
        for row in _parse_rows(text, delimiter, is_strict=False)
    )
    return max(counts, default=0)
