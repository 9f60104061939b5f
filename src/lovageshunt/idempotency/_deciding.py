"""The one decision of this package, told apart by the type of event."""

from functools import singledispatch

from lovageshunt.errors import UnknownEventError
from lovageshunt.idempotency._actions import Action
from lovageshunt.idempotency._state import NodeState


@singledispatch
def decide(event: object, state: NodeState, now: float) -> list[Action]:
    """Return what a node does about an event.

    Raises ``UnknownEventError`` when nothing is registered for its type.
    """
    raise UnknownEventError(event)
