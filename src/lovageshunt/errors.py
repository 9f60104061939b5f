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


class MalformedSnapshotError(LovageshuntError):
    """Raised when an account's snapshot from a node cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep the decoder's reason."""
        super().__init__(
            f'the account snapshot is malformed ({reason}); ask a node of this '
            'version at /v1/account',
        )


class MalformedSpanError(LovageshuntError):
    """Raised when a trace's span from a node cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep the decoder's reason."""
        super().__init__(
            f'the span is malformed ({reason}); ask a node of this version at '
            '/v1/traces',
        )


class NodeAnswerError(LovageshuntError):
    """Raised when a node's admin side gives no usable answer."""

    def __init__(self, address: str, reason: str) -> None:
        """Keep the address, as ``address``, and what went wrong."""
        self.address = address
        super().__init__(
            f'node {address} gave no usable answer ({reason}); check that the '
            'address is its admin address, that it runs, and --token_file',
        )
