"""The columns of a sheet: their names and the parsers of their cells."""

from collections.abc import Callable
from functools import partial
from typing import Any, Final

from lovageshunt._record import Record
from lovageshunt.calls import HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE
from lovageshunt.rules._document import ANY_METHOD

#: The largest retry bound of a call chain that a sheet may set.
MAX_RETRY_BOUND: Final = 10
_MIN_TIMEOUT_SECONDS: Final = 0.01
_MAX_TIMEOUT_SECONDS: Final = 120
_MS_PER_SECOND: Final = 1000
_MAX_NAME_LENGTH: Final = 64
_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', ANY_METHOD),
)
_TRUE_WORDS: Final = frozenset(
    ('yes', 'true', 'sí', 'si', 'verdadero', 'ہاں', '1')
)
_FALSE_WORDS: Final = frozenset(('no', 'false', 'falso', 'نہیں', '0'))
#: Maps the decimal separators of Spanish and of Urdu to a point.
_DECIMAL_SEPARATORS: Final = str.maketrans(',٫', '..')
_NAME_PUNCTUATION: Final = frozenset('-_.')


class Column(Record):
    """One column of a sheet.

    ``field`` is the field of ``KindRule`` that it fills, ``names`` its
    accepted headers with the default one first, and ``expected`` describes
    valid cells in faults. ``read`` parses a cell and raises ``ValueError`` if
    it is invalid.
    """

    __slots__ = ('field', 'names', 'expected', 'is_required', 'read')

    def __init__(
        self,
        *,
        field: str,
        names: tuple[str, ...],
        expected: str,
        read: Callable[[str], Any],
        is_required: bool = True,
    ) -> None:
        self.field = field
        self.names = names
        self.expected = expected
        self.is_required = is_required
        self.read = read

    @property
    def name(self) -> str:
        """Return the default name."""
        return self.names[0]


def find_column(cell: str) -> Column | None:
    """Return the column with this header in any supported language."""
    name = cell.casefold().replace(' ', '_')
    for column in COLUMNS:
        if name in column.names:
            return column
    return None


def _read_service(cell: str) -> str:
    if not cell.isascii():
        raise ValueError('not ASCII')
    return _read_name(cell)


def _read_name(cell: str) -> str:
    has_valid_characters = all(
        character.isalnum() or character in _NAME_PUNCTUATION
        for character in cell
    )
    if not cell or len(cell) > _MAX_NAME_LENGTH or not has_valid_characters:
        raise ValueError('invalid name')
    return cell


def _read_method(cell: str) -> str:
    method = cell.upper()
    if method not in _METHODS:
        raise ValueError('unknown method')
    return method


def _read_path(cell: str) -> str:
    is_plain = cell.isprintable() and not set(cell) & set(' ?#')
    if not cell.startswith('/') or not is_plain:
        raise ValueError('invalid path')
    return cell


def _read_number(cell: str) -> float:
    number = cell.translate(_DECIMAL_SEPARATORS)
    if not number.replace('.', '', 1).isdecimal():
        raise ValueError('not a number')
    return float(number)


def _read_integer(cell: str, *, low: int, high: int) -> int:
    number = _read_number(cell)
    if not number.is_integer() or not low <= number <= high:
        raise ValueError('out of range')
    return int(number)


def _read_boolean(cell: str) -> bool:
    word = cell.casefold()
    if word not in _TRUE_WORDS | _FALSE_WORDS:
        raise ValueError('neither yes nor no')
    return word in _TRUE_WORDS


def _read_timeout_ms(cell: str) -> int:
    seconds = _read_number(cell)
    if not _MIN_TIMEOUT_SECONDS <= seconds <= _MAX_TIMEOUT_SECONDS:
        raise ValueError('out of range')
    return round(seconds * _MS_PER_SECOND)


_read_importance = partial(
    _read_integer,
    low=HIGHEST_IMPORTANCE,
    high=LOWEST_IMPORTANCE,
)


def _read_callers(cell: str) -> dict[str, int]:
    importance_by_caller: dict[str, int] = {}
    for pair in filter(None, map(str.strip, cell.split('|'))):
        caller, _, importance = pair.partition('=')
        caller = _read_name(caller.strip())
        if caller in importance_by_caller:
            raise ValueError('duplicate caller')
        importance_by_caller[caller] = _read_importance(importance)
    return importance_by_caller


_IMPORTANCE_RANGE: Final = (
    f'a whole number from {HIGHEST_IMPORTANCE} (refused last) '
    f'to {LOWEST_IMPORTANCE} (refused first)'
)

#: Every column, with its names in English, Spanish and Urdu.
COLUMNS: Final = (
    Column(
        field='service',
        names=('service', 'servicio', 'سروس'),
        expected='the name of a service: ASCII letters, digits, "-_."',
        read=_read_service,
    ),
    Column(
        field='kind',
        names=('kind', 'tipo', 'قسم'),
        expected='a name of at most 64 characters: letters, digits, "-_."',
        read=_read_name,
    ),
    Column(
        field='method',
        names=('method', 'método', 'metodo', 'طریقہ'),
        expected='an HTTP method, or * for any',
        read=_read_method,
    ),
    Column(
        field='path',
        names=('path', 'ruta', 'راستہ'),
        expected='a prefix that starts with a slash, without ?, # or blanks',
        read=_read_path,
    ),
    Column(
        field='importance',
        names=('importance', 'importancia', 'اہمیت'),
        expected=_IMPORTANCE_RANGE,
        read=_read_importance,
    ),
    Column(
        field='is_repeatable',
        names=('repeatable', 'repetible', 'دہرانا'),
        expected='yes or no',
        read=_read_boolean,
    ),
    Column(
        field='timeout_ms',
        names=('timeout_seconds', 'plazo_segundos', 'مہلت_سیکنڈ'),
        expected=(
            f'seconds from {_MIN_TIMEOUT_SECONDS} to {_MAX_TIMEOUT_SECONDS}'
        ),
        read=_read_timeout_ms,
    ),
    Column(
        field='retry_bound',
        names=('retry_bound', 'reintentos', 'دوبارہ_کوششیں'),
        expected=f'a whole number from 0 to {MAX_RETRY_BOUND}',
        read=partial(_read_integer, low=0, high=MAX_RETRY_BOUND),
    ),
    Column(
        field='importance_by_caller',
        names=('callers', 'llamantes', 'کال_کرنے_والے'),
        expected=f'caller=importance, separated by |, each {_IMPORTANCE_RANGE}',
        read=_read_callers,
        is_required=False,
    ),
    Column(
        field='note',
        names=('note', 'nota', 'نوٹ'),
        expected='any text',
        read=str,
        is_required=False,
    ),
)
