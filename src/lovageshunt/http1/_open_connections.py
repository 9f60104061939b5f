"""The open connections of a listener, in the order of their last progress."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT')


class OpenConnections(Generic[ConnectionT]):
    """A set that knows which of its connections made no progress for longest.

    Each operation but iterating takes constant time.
    """

    __slots__ = ('_connections',)

    def __init__(self) -> None:
        self._connections: OrderedDict[ConnectionT, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def __iter__(self) -> Iterator[ConnectionT]:
        """Iterate over those that are open now."""
        return iter(list(self._connections))

    def add(self, connection: ConnectionT) -> None:
        """Add a connection that was opened."""
        self._connections[connection] = None

    def discard(self, connection: ConnectionT) -> None:
        """Remove a connection, if it is one of them."""
        self._connections.pop(connection, None)

    def touch(self, connection: ConnectionT) -> None:
        """Note that a connection made progress."""
        if connection in self._connections:
            self._connections.move_to_end(connection)

    def longest_stalled(self, count: int) -> list[ConnectionT]:
        """Return at most ``count``, the one stalled for longest first."""
        return list(islice(self._connections, count))
