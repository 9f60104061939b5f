"""Distribution of a route's requests over services by weight."""

from lovageshunt.routes._configuration import Route


class WeightedRoundRobin:
    """Smooth weighted round robin for each route of the configuration.

    Each choice adds every weight to its service's credit and subtracts the
    sum from the service chosen, so that shares hold over any short run of
    requests.
    """

    __slots__ = ('_credit_by_service_by_route',)

    def __init__(self) -> None:
        self._credit_by_service_by_route: dict[
            tuple[str, str],
            dict[str, float],
        ] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        credits = self._credits_of(route)
        total = float(0)
        for destination in destinations:
            credits[destination.service] += destination.weight
            total += destination.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen

    def _credits_of(self, route: Route) -> dict[str, float]:
        key = (route.host, route.prefix)
        credits = self._credit_by_service_by_route.get(key)
        services = {each.service for each in route.destinations}
        if credits is None or credits.keys() != services:
            credits = dict.fromkeys(sorted(services), float(0))
            self._credit_by_service_by_route[key] = credits
        return credits
