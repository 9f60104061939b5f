"""Flags, queries and flag errors shared by commands that query nodes."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from ssl import SSLContext, create_default_context

from absl.flags import DEFINE_float, DEFINE_list, DEFINE_string, FlagValues
from expression import Error, Ok, Result

from lovageshunt.cli._nodes import AdminAccess, NodeAnswer, fetch_all

Answers = Result[list[NodeAnswer], str]


def define_node_flags(values: FlagValues) -> None:
    """Define the flags that name the nodes and how to reach them."""
    DEFINE_list(
        'nodes',
        None,
        'Admin addresses of the nodes to query, as IP:PORT,IP:PORT.',
        flag_values=values,
    )
    DEFINE_string(
        'nodes-file',
        None,
        'A file with more admin addresses, separated by whitespace.',
        flag_values=values,
    )
    DEFINE_string(
        'token-file',
        None,
        'A file that contains only the admin token.',
        flag_values=values,
    )
    DEFINE_string(
        'authority-file',
        None,
        'Use HTTPS; verify the nodes with this CA certificate in PEM.',
        flag_values=values,
    )
    DEFINE_float(
        'timeout-seconds',
        2,
        'Seconds to wait for the answer of one node.',
        lower_bound=0.01,
        flag_values=values,
    )


def query_nodes(path: str, values: FlagValues) -> Answers:
    """Request a path from every node.

    The error is a message about the invalid flag and its remedy.
    """
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
            return Error(
                f'cannot read --nodes-file {nodes_file!r}: {error}; give a '
                'readable text file with one IP:PORT per line',
            )
        addresses.extend(text.split())
    for address in addresses:
        if not address.rpartition(':')[2].isdigit():
            return Error(f'expected a node address IP:PORT, got {address!r}')
    if not addresses:
        return Error('no nodes given; list them with --nodes=IP:PORT,IP:PORT')
    return Ok(addresses)


def _read_access(values: FlagValues) -> Result[AdminAccess, str]:
    token_file = values.get_flag_value('token-file', None)
    authority_file = values.get_flag_value('authority-file', None)
    try:
        access = AdminAccess(
            token=_read_token(token_file),
            tls=_make_tls(authority_file),
            timeout_seconds=values.get_flag_value('timeout-seconds', None),
        )
    except (OSError, ValueError) as error:
        return Error(
            f'{error}; give a readable --token-file that contains only the '
            'token, and an --authority-file in PEM',
        )
    return Ok(access)


def _read_token(path: str | None) -> str:
    if path is None:
        return ''
    return Path(path).read_text(encoding='utf-8').strip()


def _make_tls(path: str | None) -> SSLContext | None:
    if path is None:
        return None
    return create_default_context(cafile=path)
