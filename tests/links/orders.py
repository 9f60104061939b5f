"""Orders for the tests of links."""

from lovageshunt.clock import now as clock_now
from lovageshunt.links import RunOrder

_SECONDS_LEFT = 5


def order(
    *,
    is_repeatable: bool = True,
    deadline: float | None = None,
    body: bytes = b'',
) -> RunOrder:
    """Return an order; without ``deadline`` it has five seconds left."""
    return RunOrder(
        attempt_id=b'a',
        target_id='i',
        kind='k',
        caller_service='s',
        importance=1,
        is_repeatable=is_repeatable,
        is_repeat=False,
        deadline=deadline or clock_now() + _SECONDS_LEFT,
        method=b'GET',
        request_target=b'/',
        fields=b'',
        body=body,
    )
