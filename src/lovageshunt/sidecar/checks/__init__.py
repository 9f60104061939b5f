"""The checks of a first hop, each on one ground, in the order it makes them."""

from lovageshunt.sidecar.checks._check import Check, first_refusal
from lovageshunt.sidecar.checks._key import KeyCheck
from lovageshunt.sidecar.checks._limit import LimitCheck
from lovageshunt.sidecar.checks._refusal import Refusal, RefusalStatus
from lovageshunt.sidecar.checks._room import RoomCheck
from lovageshunt.sidecar.checks._stop import StopCheck
from lovageshunt.sidecar.checks._suspect import SuspectCheck

__all__ = [
    'Check',
    'KeyCheck',
    'LimitCheck',
    'Refusal',
    'RefusalStatus',
    'RoomCheck',
    'StopCheck',
    'SuspectCheck',
    'first_refusal',
]
