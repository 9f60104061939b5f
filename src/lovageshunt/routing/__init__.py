"""The choice of a target from lagging and misleading load and health."""

from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._placement import Placement, PlacementRequest
from lovageshunt.routing._router import Router
from lovageshunt.routing._settings import RouterSettings

__all__ = [
    'Placement',
    'RouteMember',
    'Router',
    'RouterSettings',
    'PlacementRequest',
]
