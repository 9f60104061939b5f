"""Tables for people."""

from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import Any, Final

_GAP: Final = '  '


def format_table(
    headers: Sequence[str],
    rows: Iterable[Sequence[Any]],
) -> list[str]:
    """Return a line for the headers and one for each row, in columns.

    Numbers stand to the right, all else to the left.
    """
    cells = [[_shown(entry) for entry in row] for row in rows]
    columns = zip_longest(headers, *cells, fillvalue='')
    widths = [max(map(len, column)) for column in columns]
    return [
        _GAP.join(map(_aligned, line, widths)).rstrip()
        for line in (headers, *cells)
    ]


def _shown(entry: Any) -> str:
    if isinstance(entry, float):
        return f'{entry:.1f}'
    return str(entry)


def _aligned(text: str, width: int) -> str:
    is_number = text.replace('.', '', 1).removeprefix('-').isdigit()
    return text.rjust(width) if is_number else text.ljust(width)
