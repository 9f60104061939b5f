"""The operators' configuration of routes and services, after validation."""

from lovageshunt._record import Record
from lovageshunt.routes._client_account import ClientAccount


class Destination(Record):
    """A service that serves a share of a route's requests, by weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route(Record):
    """Requests of one host whose path starts with ``prefix``.

    ``is_repeatable`` is true if a request may run more than once,
    ``most_attempts`` the number of targets that one request may be sent to.
    An answer is due within ``timeout_seconds`` and worth most within
    ``aim_seconds``. ``importance`` 0 is refused last. Requests on a route that
    ``is_public`` need no key of a client account.
    """

    __slots__ = (
        'name',
        'host',
        'prefix',
        'destinations',
        'is_repeatable',
        'most_attempts',
        'timeout_seconds',
        'aim_seconds',
        'importance',
        'is_public',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        destinations: tuple[Destination, ...],
        is_repeatable: bool,
        most_attempts: int,
        timeout_seconds: float,
        aim_seconds: float,
        importance: int,
        is_public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.destinations = destinations
        self.is_repeatable = is_repeatable
        self.most_attempts = most_attempts
        self.timeout_seconds = timeout_seconds
        self.aim_seconds = aim_seconds
        self.importance = importance
        self.is_public = is_public


class ServiceLimits(Record):
    """Limits of a service; ``connections`` is the maximum to each target."""

    __slots__ = ('service', 'connections')

    def __init__(self, *, service: str, connections: int) -> None:
        self.service = service
        self.connections = connections


class Configuration(Record):
    """One version of all operator settings.

    ``version`` increases with each one. ``head_bytes`` and ``body_bytes``
    limit the size of a client's request, ``head_seconds`` the time in which
    its head must arrive, ``idle_seconds`` the time between two requests.
    Without ``accounts`` no request needs a key.
    """

    __slots__ = (
        'version',
        'routes',
        'limits_by_service',
        'head_bytes',
        'body_bytes',
        'head_seconds',
        'idle_seconds',
        'accounts',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        limits_by_service: dict[str, ServiceLimits],
        head_bytes: int,
        body_bytes: int,
        head_seconds: float,
        idle_seconds: float,
        accounts: tuple[ClientAccount, ...] = (),
    ) -> None:
        self.version = version
        self.routes = routes
        self.limits_by_service = limits_by_service
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_seconds = head_seconds
        self.idle_seconds = idle_seconds
        self.accounts = accounts
