"""Operator configuration: which service serves a request, and its limits."""

from lovageshunt.routes._configuration import (
    Configuration,
    Destination,
    Route,
    ServiceLimits,
)
from lovageshunt.routes._split import WeightedRoundRobin
from lovageshunt.routes._table import RouteTable

__all__ = [
    'Configuration',
    'Destination',
    'Route',
    'RouteTable',
    'ServiceLimits',
    'WeightedRoundRobin',
]
