"""A VM of a service as this node sees it."""

from typing import Unpack

from lovageshunt.membership._vms import VmFactFields, VmFacts


class Member(VmFacts):
    """A VM that a call may be sent to, or lately could.

    ``incarnation`` is empty until the node itself was heard. ``is_suspect``
    lowers the preference and forbids nothing. ``last_heard`` is in seconds on
    the view's clock and negative when the node was never heard. The view
    keeps these fields up to date in place.
    """

    __slots__ = (
        'incarnation',
        'is_leaving',
        'is_suspect',
        'last_heard',
    )

    def __init__(
        self,
        *,
        incarnation: str = '',
        is_leaving: bool = False,
        is_suspect: bool = False,
        last_heard: float = -1.0,
        **facts: Unpack[VmFactFields],
    ) -> None:
        """Take every field by name; the defaults suit a VM never heard."""
        super().__init__(**facts)
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.is_suspect = is_suspect
        self.last_heard = last_heard
