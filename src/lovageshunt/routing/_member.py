"""A target that calls of a service may be sent to."""

from lovageshunt._record import Record


class RouteMember(Record):
    """One target of a service and the node beside it.

    ``address`` is where its node listens. ``incarnation`` changes when the
    VM is replaced or the node restarts.
    """

    __slots__ = (
        'node',
        'service',
        'failure_domain',
        'region',
        'address',
        'incarnation',
        'is_leaving',
    )

    def __init__(
        self,
        *,
        node: str,
        service: str,
        failure_domain: str,
        region: str,
        address: str,
        incarnation: str,
        is_leaving: bool = False,
    ) -> None:
        self.node = node
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.incarnation = incarnation
        self.is_leaving = is_leaving
