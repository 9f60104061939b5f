"""Finds the route of a request."""

from typing import Self

from lovageshunt.routes._configuration import Configuration, Route

_SLASH = '/'


class RouteTable:
    """Routes by host and prefix; the longest prefix of a path wins."""

    __slots__ = ('_by_prefix_by_host',)

    def __init__(self, routes: tuple[Route, ...]) -> None:
        """Index the routes."""
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    @classmethod
    def of(cls, configuration: Configuration) -> Self:
        """Return the table of a configuration."""
        return cls(configuration.routes)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request target, or nothing.

        The query of the target takes no part, and neither do the port and
        the letter case of the host.
        """
        by_prefix = self._by_prefix_by_host.get(_bare_host(host))
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        # Every prefix ends with a slash, so only these can match.
        end = path.rfind(_SLASH)
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None


def _bare_host(host: str) -> str:
    name, colon, port = host.rpartition(':')
    if colon and port.isdigit():
        host = name
    return host.strip().lower()
