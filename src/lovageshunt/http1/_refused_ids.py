"""Remembers which requests a connection has carried without success."""

from typing import Final

from lovageshunt.http1._messages import Header, Response

#: The first status after which a request may be sent again.
_FIRST_ERROR_STATUS: Final = 400
#: The most ids that are kept for a connection.
_MAX_IDS: Final = 256


class RefusedIds:
    """The ids of requests that were not served and may be sent again.

    An identity is the header field that a response echoes, with its value.
    """

    __slots__ = ('_ids',)

    def __init__(self) -> None:
        self._ids: set[bytes] = set()

    @property
    def is_full(self) -> bool:
        """Whether no more ids may be added."""
        return len(self._ids) >= _MAX_IDS

    def note(self, identity: Header | None, response: Response) -> None:
        """Keep the id of a request unless the response ends it for good."""
        if identity is not None and response.status >= _FIRST_ERROR_STATUS:
            self._ids.add(identity[1])

    def has(self, identity: Header | None) -> bool:
        """Return whether the request was carried without success."""
        return identity is not None and identity[1] in self._ids
