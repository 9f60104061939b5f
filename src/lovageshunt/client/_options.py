"""What a program tells the library about itself."""

from ssl import SSLContext
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import ContextKey

#: The largest body of a request or an answer, unless settings say more.
DEFAULT_BODY_BYTES: Final = 1_048_576


class ClientOptions(Record):
    """Who the caller is and how it finds nodes.

    ``seeds`` are ingress addresses (IP:PORT) of a few nodes, ``services``
    those that it calls. The view is read again each ``view_seconds``. Nodes
    with a key believe the importance only of calls signed with the same
    ``context_key``.
    """

    __slots__ = (
        'name',
        'failure_domain',
        'region',
        'seeds',
        'services',
        'max_body_bytes',
        'view_seconds',
        'tls',
        'context_key',
    )

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        seeds: tuple[str, ...],
        services: tuple[str, ...],
        region: str = 'default',
        max_body_bytes: int = DEFAULT_BODY_BYTES,
        view_seconds: float = 1.0,
        tls: SSLContext | None = None,
        context_key: ContextKey | None = None,
    ) -> None:
        """Take every field by name."""
        self.name = name
        self.failure_domain = failure_domain
        self.region = region
        self.seeds = seeds
        self.services = services
        self.max_body_bytes = max_body_bytes
        self.view_seconds = view_seconds
        self.tls = tls
        self.context_key = context_key
