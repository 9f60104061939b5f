"""How much of their demand the services of a call graph have room for.

The calls that targets make tell nothing of the request above them. So nodes
learn which kinds of requests lead to which calls, targets tell how much of
what is asked of them they have room for, and the first hop refuses the
requests whose work would be lost further down.
"""

from lovageshunt.pressure._call_graph import CallCounts, CallGraph
from lovageshunt.pressure._call_watch import CallSampler
from lovageshunt.pressure._callers import InternalCallDetector
from lovageshunt.pressure._demand import DemandSettings, TargetDemandMeter
from lovageshunt.pressure._needs import DemandModel, KindDemand
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RefusalMeter
from lovageshunt.pressure._root_gate import (
    RootAdmission,
    RootDecision,
    Shortage,
)
from lovageshunt.pressure._target_room import FleetCapacity, TargetCapacity

__all__ = [
    'CallCounts',
    'CallGraph',
    'CallSampler',
    'InternalCallDetector',
    'TargetDemandMeter',
    'DemandSettings',
    'FleetRates',
    'KindDemand',
    'DemandModel',
    'RefusalMeter',
    'RootAdmission',
    'RootDecision',
    'Shortage',
    'TargetCapacity',
    'FleetCapacity',
]
