"""Call accounting: counters by outcome, their replication and checks."""

from lovageshunt.account._account import Account
from lovageshunt.account._balance import Imbalance, find_imbalances
from lovageshunt.account._line import (
    REQUEST_FAILED,
    AccountLine,
    Cause,
    causes_of,
    sum_by_key,
)
from lovageshunt.account._merge import AccountGap, MergedAccount
from lovageshunt.account._reconcile import AccountSample, Difference, reconcile
from lovageshunt.account._replica_peers import (
    REPLICA_COUNT,
    AccountPeer,
    replica_peers,
)
from lovageshunt.account._replication import (
    MAX_SNAPSHOT_BYTES_PER_SECOND,
    SNAPSHOT_INTERVAL_SECONDS,
    AccountClosed,
    AccountReplicator,
    ReplicationTick,
    SendSnapshot,
    SnapshotReceived,
)
from lovageshunt.account._snapshot import (
    AccountKey,
    AccountSnapshot,
    Role,
    decode_snapshot,
    encode_snapshot,
    snapshot_from_dict,
)
from lovageshunt.account._snapshot_store import SnapshotStore

__all__ = [
    'MAX_SNAPSHOT_BYTES_PER_SECOND',
    'REPLICA_COUNT',
    'REQUEST_FAILED',
    'SNAPSHOT_INTERVAL_SECONDS',
    'Account',
    'AccountClosed',
    'AccountGap',
    'AccountKey',
    'AccountLine',
    'AccountPeer',
    'AccountReplicator',
    'AccountSample',
    'AccountSnapshot',
    'Cause',
    'Difference',
    'Imbalance',
    'MergedAccount',
    'ReplicationTick',
    'Role',
    'SendSnapshot',
    'SnapshotReceived',
    'SnapshotStore',
    'causes_of',
    'decode_snapshot',
    'encode_snapshot',
    'find_imbalances',
    'reconcile',
    'replica_peers',
    'snapshot_from_dict',
    'sum_by_key',
]
