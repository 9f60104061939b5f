"""Operator configuration: which service serves a request, and its limits."""

from lovageshunt.routes._client_account import ClientAccount
from lovageshunt.routes._configuration import (
    Configuration,
    Destination,
    Route,
    ServiceLimits,
)
from lovageshunt.routes._split import WeightedRoundRobin
from lovageshunt.routes._table import RouteTable

__all__ = [
    'ClientAccount',
    'Configuration',
    'Destination',
    'Route',
    'RouteTable',
    'ServiceLimits',
    'WeightedRoundRobin',
]
