"""The process beside a target that carries its calls and those to it."""

from lovageshunt.sidecar._dialect import HeaderNames
from lovageshunt.sidecar._fleet import TargetEntry
from lovageshunt.sidecar._knowledge import FleetState
from lovageshunt.sidecar._sidecar import Sidecar
from lovageshunt.sidecar._target_list import TargetList

__all__ = ['HeaderNames', 'FleetState', 'Sidecar', 'TargetEntry', 'TargetList']
