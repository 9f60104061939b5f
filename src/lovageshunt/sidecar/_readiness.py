"""Responds to the platform's readiness probes."""

from collections.abc import Callable
from typing import Final

from lovageshunt.http1 import Request, ServerConnection

_READY: Final = 200
_NOT_READY: Final = 503


class ReadinessHandler:
    """Responds to readiness probes: 200 if the sidecar is ready, else 503."""

    __slots__ = ('_is_ready',)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: Request, connection: ServerConnection) -> None:
        """Respond at once."""
        status = _READY if self._is_ready() else _NOT_READY
        connection.respond(request, status=status, fields=b'', body=b'')

    def abandon(self, token: None) -> None:
        """Do nothing: every request is complete when ``handle`` returns."""
