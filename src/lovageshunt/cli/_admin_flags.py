"""The flags shared by the commands that ask nodes."""

from typing import Final

from absl import flags

from lovageshunt.cli._nodes import AdminAccess, read_token

#: Exit codes of the commands that ask nodes.
EXIT_OK: Final = 0
EXIT_FAULT: Final = 1
EXIT_USAGE: Final = 2


def admin_flags() -> flags.FlagValues:
    """Return flags for the nodes to ask and how to reach them."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_list(
        'nodes',
        [],
        'Admin addresses of the nodes, as host:port,host:port.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'token_file',
        '',
        'File with the admin token; without one only loopback answers.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'ca_file',
        '',
        'File with the certificate authorities; turns on TLS.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'timeout',
        2,
        'Seconds to wait for each node.',
        lower_bound=0.01,
        flag_values=values,
    )
    flags.DEFINE_bool(
        'json',
        False,
        'Print JSON for programs.',
        flag_values=values,
    )
    return values


def parse_admin_flags(
    values: flags.FlagValues,
    name: str,
    argv: list[str],
    *,
    expected: int = 0,
) -> list[str]:
    """Parse ``argv`` and return the ``expected`` words beside the flags.

    Raises ``absl.flags.Error`` with the remedy when a flag is wrong.
    """
    words = values([name, *argv])[1:]
    if len(words) != expected:
        raise flags.Error(
            f'{expected} words were expected beside the flags, not '
            f'{len(words)}; see lovageshunt {name} --help',
        )
    if not values.nodes:
        raise flags.Error(
            'no nodes to ask; add --nodes=HOST:PORT,HOST:PORT with the admin '
            "addresses from the nodes' settings",
        )
    for address in values.nodes:
        _check_address(address)
    return words


def access_of(values: flags.FlagValues) -> AdminAccess:
    """Return how to reach the nodes, from parsed flags."""
    try:
        token = read_token(values.token_file)
    except OSError as error:
        raise flags.Error(
            f'--token_file={values.token_file} cannot be read ({error}); name '
            'a readable file that holds the token alone',
        ) from error
    return AdminAccess(
        token=token,
        ca_file=values.ca_file,
        timeout_seconds=values.timeout,
    )


def _check_address(address: str) -> None:
    host, colon, port = address.rpartition(':')
    if not (host and colon and port.isdigit()):
        raise flags.Error(
            f'--nodes holds {address!r}; write each node as HOST:PORT',
        )
