"""Lookup of the route of a request."""

from typing import Self

from lovageshunt.routes._configuration import Configuration, Route

_SLASH = '/'


class RouteTable:
    """Routes by host and prefix; the longest matching prefix wins."""

    __slots__ = ('_by_prefix_by_host',)

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    @classmethod
    def of(cls, configuration: Configuration) -> Self:
        """Return the table of a configuration's routes."""
        return cls(configuration.routes)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request target, or ``None``.

        The query of the target, the port and the letter case of the host
        are ignored.
        """
        by_prefix = self._by_prefix_by_host.get(_normalised_host(host))
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        # Every prefix ends with a slash, so no other part can match.
        end = path.rfind(_SLASH)
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None


def _normalised_host(host: str) -> str:
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        host = name
    return host.strip().lower()
