"""The kinds of values that a key may have, and how each is read."""

from collections.abc import Callable
from functools import partial
from ipaddress import ip_address
from typing import Any, Final

from lovageshunt._record import Record

_MAX_PORT: Final = 65535


class Address(Record):
    """An IP number and a port."""

    __slots__ = ('host', 'port')

    def __init__(self, *, host: str, port: int) -> None:
        """Take both parts."""
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Write the address as settings do."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self) -> bool:
        """Say whether only this VM reaches the address."""
        return ip_address(self.host).is_loopback


class ValueKind(Record):
    """A kind of value: its name, what is expected, and its reader.

    ``read`` takes the text and raises ``ValueError`` on anything else.
    """

    __slots__ = ('name', 'expected', 'read')

    def __init__(
        self,
        *,
        name: str,
        expected: str,
        read: Callable[[str], Any],
    ) -> None:
        """Take the three parts."""
        self.name = name
        self.expected = expected
        self.read = read


def read_address(text: str) -> Address:
    """Return the address in ``IP:PORT``."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    ip_address(host)
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError('the port is out of range')
    return Address(host=host, port=number)


def read_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses in a list with commas."""
    return tuple(read_address(part) for part in read_names(text))


def read_names(text: str) -> tuple[str, ...]:
    """Return the names in a list with commas or line ends."""
    parts = text.replace('\n', ',').split(',')
    return tuple(part.strip() for part in parts if part.strip())


def whole_number(low: int, high: int) -> ValueKind:
    """Return the kind of whole numbers within two bounds."""
    return ValueKind(
        name='whole number',
        expected=f'a whole number from {low} to {high}',
        read=partial(_read_whole, low=low, high=high),
    )


def number(low: float, high: float) -> ValueKind:
    """Return the kind of numbers within two bounds."""
    return ValueKind(
        name='number',
        expected=f'a number from {low:g} to {high:g}',
        read=partial(_read_number, low=low, high=high),
    )


def one_of(*choices: str) -> ValueKind:
    """Return the kind of words out of a few."""
    return ValueKind(
        name='word',
        expected=f'one of {", ".join(choices)}',
        read=partial(_read_choice, choices=choices),
    )


def _read_whole(text: str, *, low: int, high: int) -> int:
    reading = int(text)
    if not low <= reading <= high:
        raise ValueError('out of range')
    return reading


def _read_number(text: str, *, low: float, high: float) -> float:
    reading = float(text)
    if not low <= reading <= high:
        raise ValueError('out of range')
    return reading


def _read_choice(text: str, *, choices: tuple[str, ...]) -> str:
    if text not in choices:
        raise ValueError('unknown word')
    return text


def _read_path(text: str) -> str:
    if not text.startswith('/'):
        raise ValueError('no path')
    return text


TEXT: Final = ValueKind(name='text', expected='some text', read=str)
ADDRESS: Final = ValueKind(
    name='address',
    expected='IP:PORT, such as 10.0.0.7:8080',
    read=read_address,
)
ADDRESSES: Final = ValueKind(
    name='addresses',
    expected='IP:PORT, more of them after commas',
    read=read_addresses,
)
NAMES: Final = ValueKind(
    name='names',
    expected='names with commas between',
    read=read_names,
)
URL_PATH: Final = ValueKind(
    name='path',
    expected='a path that starts with a slash',
    read=_read_path,
)
