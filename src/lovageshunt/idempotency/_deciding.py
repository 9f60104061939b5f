"""The event handler of this package, dispatched on the event type."""

from functools import singledispatch

from lovageshunt.errors import UnknownEventError
from lovageshunt.idempotency._actions import Action
from lovageshunt.idempotency._state import NodeState


@singledispatch
def decide(event: object, state: NodeState, now: float) -> list[Action]:
    """Apply an event to the state; return the actions to carry out.

    Raises ``UnknownEventError`` if no handler is registered for its type.
    """
    raise UnknownEventError(event)
