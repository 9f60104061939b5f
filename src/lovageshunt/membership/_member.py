"""A VM of a service as this node sees it."""

from typing import Unpack

from lovageshunt.membership._vms import VmAttributeFields, VmAttributes


class Member(VmAttributes):
    """A VM that calls may be sent to, or could be until recently.

    ``incarnation`` is empty until the node itself was heard from.
    ``is_suspect`` lowers the preference but excludes nothing. ``last_heard`` is
    in seconds on the view's clock, negative if the node was never heard from.
    The view updates these fields in place.
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
        **attributes: Unpack[VmAttributeFields],
    ) -> None:
        super().__init__(**attributes)
        self.incarnation = incarnation
        self.is_leaving = is_leaving
        self.is_suspect = is_suspect
        self.last_heard = last_heard
