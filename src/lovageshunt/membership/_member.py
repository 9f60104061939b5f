"""A VM of a service as this node sees it."""

from lovageshunt._record import Record


class Member(Record):
    """A VM that a call may be sent to, or lately could.

    ``incarnation`` is empty until the node itself was heard. ``is_suspect``
    lowers the preference and forbids nothing. ``last_heard`` is in seconds on
    the view's clock and negative when the node was never heard. The view
    keeps these fields up to date in place.
    """

    __slots__ = (
        'name',
        'service',
        'failure_domain',
        'region',
        'address',
        'admin_address',
        'incarnation',
        'is_leaving',
        'is_suspect',
        'last_heard',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        failure_domain: str,
        region: str,
        address: str,
        admin_address: str = '',
        incarnation: str = '',
        is_leaving: bool = False,
        is_suspect: bool = False,
        last_heard: float = -1.0,
    ) -> None:
        """Take every field by name; the defaults suit a VM never heard."""
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.region = region
        self.address = address
        self.admin_address = admin_address
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.is_suspect = is_suspect
        self.last_heard = last_heard
