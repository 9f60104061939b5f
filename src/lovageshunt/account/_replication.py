"""Replication of accounts between nodes, which have no disk."""

from collections import deque
from collections.abc import Iterator, Sequence
from typing import Final

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt._record import Record
from lovageshunt.account._account import Account
from lovageshunt.account._merge import IncarnationKey
from lovageshunt.account._replica_peers import AccountPeer, replica_peers
from lovageshunt.account._snapshot import (
    AccountKey,
    AccountSnapshot,
    encode_snapshot,
)
from lovageshunt.account._snapshot_store import SnapshotStore

#: Interval of snapshots to the replicas; a crash loses at most this period.
SNAPSHOT_INTERVAL_SECONDS: Final = 30
#: Average send rate limit; a larger account is sent less often.
MAX_SNAPSHOT_BYTES_PER_SECOND: Final = 200
#: A forwarded account is sent again after this time, in case it was lost.
_FORWARD_AGAIN_SECONDS: Final = 1800
#: An account, and the incarnation of a replica that it was forwarded to.
_Forward = tuple[AccountKey, IncarnationKey]
#: An account not received for this long is taken to be of a lost node.
_LOST_AFTER_SECONDS: Final = 3 * SNAPSHOT_INTERVAL_SECONDS


class ReplicationTick(Record):
    """A timer tick, due at least once a second.

    ``now`` is monotonic time in seconds, ``wall_time`` is in seconds since
    1970. ``peers`` are the other live nodes that are not leaving, of any
    service, so that accounts survive the loss of an entire service.
    """

    __slots__ = ('now', 'wall_time', 'peers')

    def __init__(
        self,
        *,
        now: float,
        wall_time: float,
        peers: Sequence[AccountPeer],
    ) -> None:
        self.now = now
        self.wall_time = wall_time
        self.peers = peers


class SnapshotReceived(Record):
    """A peer sent an account to store, its own or a forwarded one.

    ``now`` is in seconds on the clock of ``ReplicationTick``.
    """

    __slots__ = ('now', 'snapshot')

    def __init__(self, *, now: float, snapshot: AccountSnapshot) -> None:
        self.now = now
        self.snapshot = snapshot


class AccountClosed(Record):
    """The node is leaving and its last call has ended.

    ``now`` and ``wall_time`` are as in ``ReplicationTick``; ``peers`` are
    the nodes that remain.
    """

    __slots__ = ('now', 'wall_time', 'peers')

    def __init__(
        self,
        *,
        now: float,
        wall_time: float,
        peers: Sequence[AccountPeer],
    ) -> None:
        self.now = now
        self.wall_time = wall_time
        self.peers = peers


class SendSnapshot(Record):
    """Send an encoded account snapshot to a node, which stores it."""

    __slots__ = ('to_node', 'raw')

    def __init__(self, *, to_node: str, raw: bytes) -> None:
        self.to_node = to_node
        self.raw = raw


ReplicationEvent = ReplicationTick | SnapshotReceived | AccountClosed


class AccountReplicator:
    """Sends a node's account to its replicas and stores those of peers.

    The first snapshot is sent immediately, and so is one to each new
    replica, so that an incarnation is known even if it crashes early. A
    leaving node sends its final snapshot and forwards the stored accounts of
    nodes that have left or were lost. A replica forwards them likewise when
    another replica was replaced. While the node runs, sending is limited to
    ``MAX_SNAPSHOT_BYTES_PER_SECOND``; ``kept`` is the store of peers'
    accounts.
    """

    __slots__ = (
        'kept',
        '_account',
        '_forwarded_at',
        '_replicas',
        '_next_snapshot_at',
        '_own_peer',
        '_queue',
        '_next_send_at',
    )

    def __init__(self, account: Account, own: AccountPeer) -> None:
        self.kept = SnapshotStore()
        self._account = account
        self._own_peer = own
        self._next_snapshot_at = float('-inf')
        self._next_send_at = float('-inf')
        self._replicas: list[AccountPeer] = []
        self._queue: deque[SendSnapshot] = deque()
        self._forwarded_at: dict[_Forward, float] = {}

    @DispatchedMethod
    def handle(self, event: ReplicationEvent) -> list[SendSnapshot]:
        """Return the snapshots to send in response to an event."""
        raise NotImplementedError(f'no handler for {type(event).__name__}')

    @handle.register
    def _on_tick(self, event: ReplicationTick) -> list[SendSnapshot]:
        # An account too large for the rate is sent in full before the next.
        if not self._queue:
            self._fill_queue(event)
        if not self._queue or event.now < self._next_send_at:
            return []
        action = self._queue.popleft()
        self._next_send_at = (
            event.now + len(action.raw) / MAX_SNAPSHOT_BYTES_PER_SECOND
        )
        return [action]

    @handle.register
    def _on_snapshot(self, event: SnapshotReceived) -> list[SendSnapshot]:
        self.kept.add(event.snapshot, event.now)
        return []

    @handle.register
    def _on_closed(self, event: AccountClosed) -> list[SendSnapshot]:
        replicas = replica_peers(self._own_peer.node, event.peers)
        return [
            *self._own_sends(event, replicas),
            *self._forwarded_sends(event.now, event.peers),
        ]

    def _fill_queue(self, event: ReplicationTick) -> None:
        replicas = replica_peers(self._own_peer.node, event.peers)
        if replicas and event.now >= self._next_snapshot_at:
            self._next_snapshot_at = event.now + SNAPSHOT_INTERVAL_SECONDS
            self._drop_expired(event.now)
            self._queue.extend(self._own_sends(event, replicas))
            peers = (*event.peers, self._own_peer)
            self._queue.extend(self._forwarded_sends(event.now, peers))
        else:
            added = [peer for peer in replicas if peer not in self._replicas]
            self._queue.extend(self._own_sends(event, added))
        self._replicas = replicas

    def _drop_expired(self, now: float) -> None:
        self.kept.drop_expired(now)
        self._forwarded_at = {
            forward: forwarded_at
            for forward, forwarded_at in self._forwarded_at.items()
            if forward[0] in self.kept
            and now - forwarded_at < _FORWARD_AGAIN_SECONDS
        }

    def _own_sends(
        self,
        event: ReplicationTick | AccountClosed,
        replicas: Sequence[AccountPeer],
    ) -> list[SendSnapshot]:
        if not replicas:
            return []
        snapshot = self._account.snapshot(
            event.wall_time,
            is_final=isinstance(event, AccountClosed),
        )
        raw = encode_snapshot(snapshot)
        return [
            SendSnapshot(to_node=replica.node, raw=raw) for replica in replicas
        ]

    def _forwarded_sends(
        self,
        now: float,
        peers: Sequence[AccountPeer],
    ) -> Iterator[SendSnapshot]:
        for account_key, raw in self.kept.final_or_older_than(
            now - _LOST_AFTER_SECONDS
        ):
            for replica in replica_peers(account_key[1], peers):
                forward = (account_key, (replica.node, replica.incarnation))
                is_this_node = replica.node == self._own_peer.node
                if is_this_node or forward in self._forwarded_at:
                    continue
                self._forwarded_at[forward] = now
                yield SendSnapshot(to_node=replica.node, raw=raw)
