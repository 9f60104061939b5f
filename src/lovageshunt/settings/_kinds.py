"""The kinds of values that a key may have, each with its parser."""

from collections.abc import Callable
from functools import partial
from ipaddress import ip_address
from typing import Any, Final

from lovageshunt._record import Record

_MAX_PORT: Final = 65535


class Address(Record):
    """An IP address and a port."""

    __slots__ = ('host', 'port')

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Format as ``IP:PORT``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self) -> bool:
        """Whether only processes on this VM can reach the address."""
        return ip_address(self.host).is_loopback


class ValueKind(Record):
    """A kind of value: its name, its description and its parser.

    ``expected`` completes an error message. ``parse`` raises ``ValueError``
    for text that is not of this kind.
    """

    __slots__ = ('name', 'expected', 'parse')

    def __init__(
        self,
        *,
        name: str,
        expected: str,
        parse: Callable[[str], Any],
    ) -> None:
        self.name = name
        self.expected = expected
        self.parse = parse


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ``ValueError`` on anything else."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    ip_address(host)
    port_number = int(port)
    if not 0 < port_number <= _MAX_PORT:
        raise ValueError(f'port {port_number} is not from 1 to {_MAX_PORT}')
    return Address(host=host, port=port_number)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list; raises ``ValueError`` like one address."""
    return tuple(parse_address(part) for part in parse_names(text))


def parse_names(text: str) -> tuple[str, ...]:
    """Split text at commas and line ends; empty items are skipped."""
    parts = text.replace('\n', ',').split(',')
    return tuple(part.strip() for part in parts if part.strip())


def bounded_int(minimum: int, maximum: int) -> ValueKind:
    """Create a kind of integers; both bounds are allowed values."""
    return ValueKind(
        name='whole number',
        expected=f'a whole number from {minimum} to {maximum}',
        parse=partial(_parse_int, minimum=minimum, maximum=maximum),
    )


def bounded_float(minimum: float, maximum: float) -> ValueKind:
    """Create a kind of numbers; both bounds are allowed values."""
    return ValueKind(
        name='number',
        expected=f'a number from {minimum:.10g} to {maximum:.10g}',
        parse=partial(_parse_float, minimum=minimum, maximum=maximum),
    )


def one_of(*choices: str) -> ValueKind:
    """Create a kind that accepts only these words."""
    return ValueKind(
        name='word',
        expected=f'one of {", ".join(choices)}',
        parse=partial(_parse_choice, choices=choices),
    )


def _parse_int(text: str, *, minimum: int, maximum: int) -> int:
    parsed = int(text)
    if not minimum <= parsed <= maximum:
        raise ValueError(f'{parsed} is not from {minimum} to {maximum}')
    return parsed


def _parse_float(text: str, *, minimum: float, maximum: float) -> float:
    parsed = float(text)
    if not minimum <= parsed <= maximum:
        raise ValueError(f'{parsed} is not from {minimum} to {maximum}')
    return parsed


def _parse_choice(text: str, *, choices: tuple[str, ...]) -> str:
    if text not in choices:
        raise ValueError(f'{text!r} is not one of {choices}')
    return text


def _parse_path(text: str) -> str:
    if not text.startswith('/'):
        raise ValueError(f'{text!r} does not start with a slash')
    return text


TEXT: Final = ValueKind(name='text', expected='some text', parse=str)
ADDRESS: Final = ValueKind(
    name='address',
    expected='IP:PORT, such as 10.0.0.7:8080',
    parse=parse_address,
)
ADDRESSES: Final = ValueKind(
    name='addresses',
    expected='IP:PORT, more of them after commas',
    parse=parse_addresses,
)
NAMES: Final = ValueKind(
    name='names',
    expected='names with commas between',
    parse=parse_names,
)
URL_PATH: Final = ValueKind(
    name='path',
    expected='a path that starts with a slash',
    parse=_parse_path,
)
