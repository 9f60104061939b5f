"""What a first hop asks before it sends a request."""

from collections.abc import Iterable
from typing import Protocol

from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar.checks._refusal import Refusal


class Check(Protocol):
    """Decides on one ground whether a routed request may be sent."""

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Return why a request must not be sent, ``None`` if it may be."""


def first_refusal(checks: Iterable[Check], call: OriginCall) -> Refusal | None:
    """Return the refusal of the first check that refuses a request."""
    for check in checks:
        refusal = check.refusal_of(call)
        if refusal is not None:
            return refusal
    return None
