"""Selection of the peers that hold replicas of a node's account."""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt._record import Record

#: Number of peers that hold a replica of each account.
REPLICA_COUNT: Final = 2


class AccountPeer(Record):
    """Another node: its name, current incarnation and failure domain."""

    __slots__ = ('node', 'incarnation', 'failure_domain')

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        failure_domain: str,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.failure_domain = failure_domain


def replica_peers(node: str, peers: Sequence[AccountPeer]) -> list[AccountPeer]:
    """Return the peers that hold replicas of the account of ``node``.

    Uses rendezvous hashing: nodes with the same list of peers select the
    same replicas, and a peer that joins or leaves changes only selections
    that include it. The replicas are in different failure domains if the
    peers span more than one.
    """
    by_hash = sorted(
        (peer for peer in peers if peer.node != node),
        key=lambda peer: xxh3_64_intdigest(f'{node}\n{peer.node}'.encode()),
    )
    first = by_hash[:1]
    in_other_domains = [
        peer
        for peer in by_hash[1:]
        if peer.failure_domain != first[0].failure_domain
    ]
    candidates = in_other_domains or by_hash[1:]
    return first + candidates[: REPLICA_COUNT - 1]
