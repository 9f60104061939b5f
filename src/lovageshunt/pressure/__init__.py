"""Admission control at the first hop, by the capacity of services downstream.

The calls that targets make carry no reference to the request that caused
them. So nodes estimate which kinds of requests lead to which calls, and report
the share of its demand that each target has capacity for. The first hop then
refuses the requests that would fail further down, after work was spent on
them.
"""

from lovageshunt.pressure._call_graph import CallCounts, CallGraph
from lovageshunt.pressure._call_sampler import CallSampler
from lovageshunt.pressure._demand_model import DemandModel, KindDemand
from lovageshunt.pressure._fair_shares import fair_shares
from lovageshunt.pressure._fleet_capacity import FleetCapacity, TargetCapacity
from lovageshunt.pressure._fleet_part import (
    FleetPart,
    PartSums,
    ServicePart,
)
from lovageshunt.pressure._internal_calls import InternalCallDetector
from lovageshunt.pressure._kind_shares import KindShares, Shortage
from lovageshunt.pressure._rates import FleetRates
from lovageshunt.pressure._refusals import RefusalMeter
from lovageshunt.pressure._root_admission import RootAdmission
from lovageshunt.pressure._root_messages import (
    AccountDemand,
    RootDecision,
    RootRequest,
)
from lovageshunt.pressure._target_demand import (
    DemandSettings,
    TargetDemandMeter,
)

__all__ = [
    'AccountDemand',
    'CallCounts',
    'CallGraph',
    'CallSampler',
    'DemandModel',
    'DemandSettings',
    'FleetCapacity',
    'FleetPart',
    'PartSums',
    'ServicePart',
    'FleetRates',
    'InternalCallDetector',
    'KindDemand',
    'KindShares',
    'RefusalMeter',
    'RootAdmission',
    'RootDecision',
    'RootRequest',
    'Shortage',
    'TargetCapacity',
    'TargetDemandMeter',
    'fair_shares',
]
