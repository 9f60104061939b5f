"""The identity of this node, fixed for the life of the process."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode


class Identity(Record):
    """The node's name, location and addresses, and its incarnation.

    ``ingress`` and ``admin`` are addresses (IP:PORT). ``incarnation``
    differs at each start of the process.
    """

    __slots__ = (
        'name',
        'service',
        'failure_domain',
        'region',
        'ingress',
        'admin',
        'incarnation',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        failure_domain: str,
        region: str,
        ingress: str,
        admin: str,
        incarnation: str,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.ingress = ingress
        self.admin = admin
        self.incarnation = incarnation

    @property
    def home(self) -> HomeNode:
        """Return the stamp that names this node as the home of a call."""
        return HomeNode(node=self.name, incarnation=self.incarnation)
