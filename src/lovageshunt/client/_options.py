"""The options of a client."""

from ssl import SSLContext
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import ContextKey

#: The default limit of the body of a request or an answer.
DEFAULT_BODY_BYTES: Final = 1_048_576


class ClientOptions(Record):
    """The identity of a caller and how it finds nodes.

    ``name`` is the caller's name in the rules. ``seeds`` are the ingress
    addresses (IP:PORT) of a few nodes, and ``services`` the names of the
    services that it calls. ``max_body_bytes`` limits the bodies that are
    read, and ``view_seconds`` is the interval between reads of the view.
    Nodes that have a key trust the importance only of calls that are signed
    with the same ``context_key``.
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
        self.name = name
        self.failure_domain = failure_domain
        self.region = region
        self.seeds = seeds
        self.services = services
        self.max_body_bytes = max_body_bytes
        self.view_seconds = view_seconds
        self.tls = tls
        self.context_key = context_key
