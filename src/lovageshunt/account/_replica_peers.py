"""The choice of the peers that keep a node's account for it."""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt._record import Record

#: Peers that keep each account.
REPLICA_COUNT: Final = 2


class AccountPeer(Record):
    """Another node, as the view of members has it."""

    __slots__ = ('node', 'incarnation', 'failure_domain')

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        failure_domain: str,
    ) -> None:
        """Take the node, its present life and where it is."""
        self.node = node
        self.incarnation = incarnation
        self.failure_domain = failure_domain


def replica_peers(node: str, peers: Sequence[AccountPeer]) -> list[AccountPeer]:
    """Return the peers that keep the account of ``node``.

    Every node that sees the same peers makes the same choice, and a peer
    that comes or goes changes only the choices it is part of. The keepers
    are in different failure domains when there are several.
    """
    ranked = sorted(
        (peer for peer in peers if peer.node != node),
        key=lambda peer: xxh3_64_intdigest(f'{node}\n{peer.node}'.encode()),
    )
    firsts = ranked[:1]
    elsewhere = [
        peer
        for peer in ranked[1:]
        if peer.failure_domain != firsts[0].failure_domain
    ]
    others = elsewhere or ranked[1:]
    return firsts + others[: REPLICA_COUNT - 1]
