"""How much of their demand the services of a call graph have room for.

The calls that targets make tell nothing of the request above them. So nodes
learn which kinds of requests lead to which calls, targets tell how much of
what is asked of them they have room for, and the first hop refuses the
requests whose work would be lost further down.
"""

from lovageshunt.pressure._call_graph import CallCounts, CallGraph
from lovageshunt.pressure._call_sampler import CallSampler
from lovageshunt.pressure._demand_model import DemandModel, KindDemand
from lovageshunt.pressure._fleet_capacity import FleetCapacity, TargetCapacity
from lovageshunt.pressure._internal_calls import InternalCallDetector
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RefusalMeter
from lovageshunt.pressure._root_admission import (
    RootAdmission,
    RootDecision,
    Shortage,
)
from lovageshunt.pressure._target_demand import (
    DemandSettings,
    TargetDemandMeter,
)

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
