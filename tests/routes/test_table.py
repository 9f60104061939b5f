"""Lookup of the route of a request."""

import pytest

from lovageshunt.routes import Destination, Route, RouteTable


def route(host: str, prefix: str) -> Route:
    return Route(
        name=f'{host}{prefix}',
        host=host,
        prefix=prefix,
        destinations=(Destination(service='s', weight=1),),
        is_repeatable=True,
        most_attempts=2,
        timeout_seconds=1,
        aim_seconds=1,
        importance=0,
    )


TABLE = RouteTable(
    (
        route('a.example', '/'),
        route('a.example', '/x/'),
        route('a.example', '/x/y/'),
        route('b.example', '/z/'),
    ),
)


class TestRouteTable:
    """Host and longest prefix."""

    @pytest.mark.parametrize(
        ('host', 'target', 'name'),
        [
            ('a.example', '/x/y/1', 'a.example/x/y/'),
            ('a.example', '/x/y', 'a.example/x/'),
            ('a.example', '/x', 'a.example/'),
            ('a.example', '/x/1?/x/y/', 'a.example/x/'),
            ('A.Example:8080', '/x/', 'a.example/x/'),
            ('b.example', '/z/', 'b.example/z/'),
        ],
    )
    def test_finds_the_longest_prefix(
        self,
        host: str,
        target: str,
        name: str,
    ) -> None:
        """The longest prefix of the path wins; the query is ignored."""
        found = TABLE.find(host, target)
        assert found is not None
        assert found.name == name

    @pytest.mark.parametrize(
        ('host', 'target'),
        [('c.example', '/x/'), ('b.example', '/'), ('b.example', '/zz/1')],
    )
    def test_finds_nothing_else(self, host: str, target: str) -> None:
        """Another host, or a path under no prefix, has no route."""
        assert TABLE.find(host, target) is None
