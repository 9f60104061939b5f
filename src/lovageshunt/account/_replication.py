"""Keeping each other's accounts, because no node has a disk."""

from collections import deque
from collections.abc import Iterator, Sequence
from functools import singledispatchmethod
from typing import Final

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

#: Time between two snapshots to the keepers; a kill loses at most this much.
SNAPSHOT_INTERVAL_SECONDS: Final = 30
#: What keeping may send, on average; a longer account is sent less often.
MAX_SNAPSHOT_BYTES_PER_SECOND: Final = 200
#: What was handed on is sent again after so long, in case it was lost.
_REPEAT_SECONDS: Final = 1800
#: An account, and the life of a keeper that it was handed to.
_Handing = tuple[AccountKey, IncarnationKey]
#: An account that was not heard for so long belongs to a lost node.
_QUIET_SECONDS: Final = 3 * SNAPSHOT_INTERVAL_SECONDS


class ReplicationTick(Record):
    """Time has passed; come back at least once a second.

    ``now`` is in seconds on a clock that never goes back, ``wall_time`` in
    seconds since 1970. ``peers`` are the other nodes that are here and not
    leaving, of any service: a service that is lost whole keeps nothing.
    """

    __slots__ = ('now', 'wall_time', 'peers')

    def __init__(
        self,
        *,
        now: float,
        wall_time: float,
        peers: Sequence[AccountPeer],
    ) -> None:
        """Take both times and the peers."""
        self.now = now
        self.wall_time = wall_time
        self.peers = peers


class SnapshotReceived(Record):
    """A peer has sent an account to keep, its own or one handed on."""

    __slots__ = ('now', 'snapshot')

    def __init__(self, *, now: float, snapshot: AccountSnapshot) -> None:
        """Take the time, on the clock of ``ReplicationTick``, and the snapshot."""
        self.now = now
        self.snapshot = snapshot


class AccountClosed(Record):
    """The node leaves, and its last call has ended."""

    __slots__ = ('now', 'wall_time', 'peers')

    def __init__(
        self,
        *,
        now: float,
        wall_time: float,
        peers: Sequence[AccountPeer],
    ) -> None:
        """Take both times, as in ``ReplicationTick``, and the peers that stay."""
        self.now = now
        self.wall_time = wall_time
        self.peers = peers


class SendSnapshot(Record):
    """Send the wire form of an account to a node, which keeps it."""

    __slots__ = ('to_node', 'raw')

    def __init__(self, *, to_node: str, raw: bytes) -> None:
        """Name the node."""
        self.to_node = to_node
        self.raw = raw


KeepingEvent = ReplicationTick | SnapshotReceived | AccountClosed


class AccountReplicator:
    """Send a node's account to its keepers, and keep the accounts of others.

    The first snapshot goes out at once, and so does one to each new keeper,
    so that an incarnation that dies young is known by name. A leaver sends
    its final one and hands on what it keeps of nodes that are gone; so does
    a keeper whose fellow keeper was replaced. What is sent stays within
    ``MAX_SNAPSHOT_BYTES_PER_SECOND``.
    """

    __slots__ = (
        'kept',
        '_account',
        '_handed_at',
        '_keepers',
        '_next_at',
        '_own',
        '_queue',
        '_resume_at',
    )

    def __init__(self, account: Account, own: AccountPeer) -> None:
        """Take the node's own account, and the node as its peers see it."""
        self.kept = SnapshotStore()
        self._account = account
        self._own = own
        self._next_at = float('-inf')
        self._resume_at = float('-inf')
        self._keepers: list[AccountPeer] = []
        self._queue: deque[SendSnapshot] = deque()
        self._handed_at: dict[_Handing, float] = {}

    @singledispatchmethod
    def handle(self, event: KeepingEvent) -> list[SendSnapshot]:
        """Return what to send after an event."""
        raise NotImplementedError(f'no handler for {type(event).__name__}')

    @handle.register
    def _on_tick(self, event: ReplicationTick) -> list[SendSnapshot]:
        # An account too long for the rate is not begun again before it went.
        if not self._queue:
            self._fill_queue(event)
        if not self._queue or event.now < self._resume_at:
            return []
        action = self._queue.popleft()
        self._resume_at = (
            event.now + len(action.raw) / MAX_SNAPSHOT_BYTES_PER_SECOND
        )
        return [action]

    @handle.register
    def _on_heard(self, event: SnapshotReceived) -> list[SendSnapshot]:
        self.kept.keep(event.snapshot, event.now)
        return []

    @handle.register
    def _on_closed(self, event: AccountClosed) -> list[SendSnapshot]:
        keepers = replica_peers(self._own.node, event.peers)
        return [
            *self._own_sends(event, keepers),
            *self._handings(event.now, event.peers),
        ]

    def _fill_queue(self, event: ReplicationTick) -> None:
        keepers = replica_peers(self._own.node, event.peers)
        if keepers and event.now >= self._next_at:
            self._next_at = event.now + SNAPSHOT_INTERVAL_SECONDS
            self._forget_old(event.now)
            self._queue.extend(self._own_sends(event, keepers))
            peers = (*event.peers, self._own)
            self._queue.extend(self._handings(event.now, peers))
        else:
            new = [peer for peer in keepers if peer not in self._keepers]
            self._queue.extend(self._own_sends(event, new))
        self._keepers = keepers

    def _forget_old(self, now: float) -> None:
        self.kept.drop_old(now)
        self._handed_at = {
            handing: at
            for handing, at in self._handed_at.items()
            if handing[0] in self.kept and now - at < _REPEAT_SECONDS
        }

    def _own_sends(
        self,
        event: ReplicationTick | AccountClosed,
        keepers: Sequence[AccountPeer],
    ) -> list[SendSnapshot]:
        if not keepers:
            return []
        snapshot = self._account.snapshot(
            event.wall_time,
            is_final=isinstance(event, AccountClosed),
        )
        raw = encode_snapshot(snapshot)
        return [
            SendSnapshot(to_node=keeper.node, raw=raw) for keeper in keepers
        ]

    def _handings(
        self,
        now: float,
        peers: Sequence[AccountPeer],
    ) -> Iterator[SendSnapshot]:
        for account_key, raw in self.kept.quiet_since(now - _QUIET_SECONDS):
            for keeper in replica_peers(account_key[1], peers):
                handing = (account_key, (keeper.node, keeper.incarnation))
                is_own = keeper.node == self._own.node
                if is_own or handing in self._handed_at:
                    continue
                self._handed_at[handing] = now
                yield SendSnapshot(to_node=keeper.node, raw=raw)
