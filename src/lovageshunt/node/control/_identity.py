"""Who this node is, for the whole of its life."""

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode


class Identity(Record):
    """The node's name, place and addresses, and this life of it."""

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
        """Take every field by name; addresses are IP:PORT."""
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.ingress = ingress
        self.admin = admin
        self.incarnation = incarnation

    @property
    def home(self) -> HomeNode:
        """Return the stamp that makes this node the home of a call."""
        return HomeNode(node=self.name, incarnation=self.incarnation)
