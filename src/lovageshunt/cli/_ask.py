"""What the commands that ask nodes share: flags, the asking and complaints."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from ssl import SSLContext, create_default_context

from absl.flags import DEFINE_float, DEFINE_list, DEFINE_string, FlagValues
from expression import Error, Ok, Result

from lovageshunt.cli._nodes import AdminAccess, NodeAnswer, fetch_all

Answers = Result[list[NodeAnswer], str]


def define_nodes(values: FlagValues) -> None:
    """Add the flags that say which nodes to ask, and how."""
    DEFINE_list(
        'nodes',
        None,
        'Admin addresses of the nodes to ask.',
        flag_values=values,
    )
    DEFINE_string(
        'nodes-file',
        None,
        'A file with more admin addresses, parted by blanks or lines.',
        flag_values=values,
    )
    DEFINE_string(
        'token-file',
        None,
        'The file with the admin token.',
        flag_values=values,
    )
    DEFINE_string(
        'authority-file',
        None,
        'Ask by HTTPS, and check nodes against this authority.',
        flag_values=values,
    )
    DEFINE_float(
        'timeout-seconds',
        2,
        'How long a node may take to answer.',
        lower_bound=0.01,
        flag_values=values,
    )


def ask_nodes(path: str, values: FlagValues) -> Answers:
    """Ask every node for a path, or say which flag is wrong and its remedy."""
    return _read_addresses(values).map2(
        _read_access(values),
        lambda addresses, access: asyncio.run(
            fetch_all(addresses, path, access),
        ),
    )


def _read_addresses(values: FlagValues) -> Result[Sequence[str], str]:
    addresses = list(values.nodes or ())
    nodes_file = values.get_flag_value('nodes-file', None)
    if nodes_file is not None:
        try:
            text = Path(nodes_file).read_text(encoding='utf-8')
        except (OSError, ValueError) as error:
            return Error(f'{nodes_file!r}: {error}; name a file of addresses')
        addresses.extend(text.split())
    for address in addresses:
        if not address.rpartition(':')[2].isdigit():
            return Error(f'{address!r} is no address; write IP:PORT')
    if not addresses:
        return Error('no nodes to ask; name them with --nodes=IP:PORT,IP:PORT')
    return Ok(addresses)


def _read_access(values: FlagValues) -> Result[AdminAccess, str]:
    token_file = values.get_flag_value('token-file', None)
    authority_file = values.get_flag_value('authority-file', None)
    try:
        access = AdminAccess(
            token=_token_in(token_file),
            tls=_tls_with(authority_file),
            timeout_seconds=values.get_flag_value('timeout-seconds', None),
        )
    except (OSError, ValueError) as error:
        return Error(
            f'{error}; name a readable --token-file with the token alone, and '
            'an --authority-file in PEM',
        )
    return Ok(access)


def _token_in(path: str | None) -> str:
    if path is None:
        return ''
    return Path(path).read_text(encoding='utf-8').strip()


def _tls_with(path: str | None) -> SSLContext | None:
    if path is None:
        return None
    return create_default_context(cafile=path)
