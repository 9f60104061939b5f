"""What the commands that ask nodes share: flags, the asking and complaints."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

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
    token = ''
    token_file = values['token-file'].value
    authority_file = values['authority-file'].value
    try:
        if token_file is not None:
            token = Path(token_file).read_text(encoding='utf-8').strip()
        if authority_file is not None:
            Path(authority_file).read_bytes()
    except OSError as error:
        return Error(f'{error}; name files that can be read')
    return Ok(
        AdminAccess(
            token=token,
            authority_file=authority_file,
            timeout_seconds=values.get_flag_value('timeout-seconds', None),
        ),
    )
