"""Every error that this package raises or returns.

Each message names the value at fault, what was expected and the remedy.
"""


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


class PlatformUnavailableError(LovageshuntError):
    """Returned when a published value could not be read."""

    def __init__(self, name: str, address: str, detail: str) -> None:
        """Name the value, the address asked and what happened."""
        super().__init__(
            f'the platform at {address} did not give {name!r} ({detail}); '
            'the last picture stays in use, see that the address in '
            '[platform] is right and answers',
class MalformedRulesError(LovageshuntError):
    """Returned when a rules document or a part of one cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep what was wrong with the document."""
        super().__init__(
            f'the rules document is malformed ({reason}); publish the file '
            'that "lovageshunt rules accept" writes, unchanged',
class DuplicateCallError(LovageshuntError):
    """Raised when a call arrives under the id of one that is still here."""

    def __init__(self, call_id: str) -> None:
        """Keep the id."""
        super().__init__(
            f'call {call_id!r} already waits or runs here; give each attempt '
            'an id of its own within the node',
        )
