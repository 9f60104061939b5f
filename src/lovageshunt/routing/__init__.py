"""Choice of a target by load and health reports that lag and may be wrong."""

from lovageshunt.routing._departures import Departures
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._placement import Placement, PlacementRequest
from lovageshunt.routing._router import Router
from lovageshunt.routing._settings import RouterSettings

__all__ = [
    'Departures',
    'Placement',
    'PlacementRequest',
    'RouteMember',
    'Router',
    'RouterSettings',
]
