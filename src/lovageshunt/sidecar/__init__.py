"""The proxy process beside a target: carries calls from and to it."""

from lovageshunt.sidecar._fleet import TargetEntry
from lovageshunt.sidecar._header_names import HeaderNames
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._position import position_of
from lovageshunt.sidecar._sidecar import Sidecar
from lovageshunt.sidecar._supervision import keep_running
from lovageshunt.sidecar._target_list import TargetList

__all__ = [
    'FleetState',
    'HeaderNames',
    'Sidecar',
    'TargetEntry',
    'TargetList',
    'keep_running',
    'position_of',
]
