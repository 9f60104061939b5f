"""Every error that this package raises or returns.

Each message names the value at fault, what was expected and the remedy.
"""

from collections.abc import Collection


class LovageshuntError(Exception):
    """The base of all errors of this package."""


class MalformedContextError(LovageshuntError):
    """Raised when a call's context header cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep the decoder's reason."""
        super().__init__(
            f'the context header is malformed ({reason}); send the header that '
            'lovageshunt.client makes, or none',
        )


class MalformedAnswerError(LovageshuntError):
    """Raised when an answer's header is missing, cut or not this call's."""

    def __init__(self, reason: str) -> None:
        """Keep what was wrong with the answer."""
        super().__init__(
            f'the answer is malformed ({reason}); the connection is closed and '
            'the outcome of the call is unknown',
        )


class ChartNotFoundError(LovageshuntError):
    """Raised when no state chart has the name asked for."""

    def __init__(self, name: str) -> None:
        """Name the chart."""
        super().__init__(
            f'there is no state chart {name!r}; add {name}.json to '
            'lovageshunt/charts or mend the name',
        )


class MalformedChartError(LovageshuntError):
    """Raised when a state chart's file has a fault."""

    def __init__(self, name: str, fault: str) -> None:
        """Name the chart, its fault and the remedy."""
        super().__init__(f'the state chart {name!r} is malformed: {fault}')


class UnknownChartEventError(LovageshuntError):
    """Raised when a life is stepped by an event that its chart lacks."""

    def __init__(self, name: str, event: str, known: Collection[str]) -> None:
        """Name the chart, the event and those that it knows."""
        super().__init__(
            f'no state of the chart {name!r} takes the event {event!r}; '
            f'use one of {sorted(known)}',
        )


class MalformedMembershipError(LovageshuntError):
    """Raised when a message about members cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep what was wrong with the message."""
        super().__init__(
            f'the message about members is malformed ({reason}); run the same '
            'version of lovageshunt on every node',
        )


class StalePictureError(LovageshuntError):
    """Raised when a decision was made on inputs older than a pause."""

    def __init__(self, read_in: int, epoch: int) -> None:
        """Name the epoch of the inputs and the present one."""
        super().__init__(
            f'the decision was made on inputs of epoch {read_in}, but a pause '
            f'began epoch {epoch}; read the inputs again and decide anew',
        )


class UnknownEventError(LovageshuntError):
    """Raised when a decision is told an event that it does not know."""

    def __init__(self, event: object) -> None:
        """Keep the type of the event."""
        super().__init__(
            f'no decision is registered for {type(event).__name__}; pass one '
            'of the events that the package lists in its __all__',
        )
