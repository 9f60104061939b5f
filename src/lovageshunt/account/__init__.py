"""What was answered, refused, failed and wasted, and its balance."""

from lovageshunt.account._account import Account
from lovageshunt.account._balance import Imbalance, balance
from lovageshunt.account._line import (
    REQUEST_FAILED,
    AccountLine,
    Cause,
    causes_of,
    total_of,
)
from lovageshunt.account._merge import Hole, MergedAccount
from lovageshunt.account._reconcile import Difference, reconcile
from lovageshunt.account._snapshot import (
    AccountSnapshot,
    Role,
    decode_snapshot,
    encode_snapshot,
)

__all__ = [
    'REQUEST_FAILED',
    'Account',
    'AccountLine',
    'AccountSnapshot',
    'Cause',
    'Difference',
    'Hole',
    'Imbalance',
    'MergedAccount',
    'Role',
    'balance',
    'causes_of',
    'decode_snapshot',
    'encode_snapshot',
    'reconcile',
    'total_of',
]
