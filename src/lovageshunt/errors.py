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


class PlatformUnavailableError(LovageshuntError):
    """Returned when a published value could not be read."""

    def __init__(self, name: str, address: str, detail: str) -> None:
        """Name the value, the address asked and what happened."""
        super().__init__(
            f'the platform at {address} did not give {name!r} ({detail}); '
            'the last picture stays in use, see that the address in '
            '[platform] is right and answers',
        )


class MalformedRulesError(LovageshuntError):
    """Returned when a rules document or a part of one cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep what was wrong with the document."""
        super().__init__(
            f'the rules document is malformed ({reason}); publish the file '
            'that "lovageshunt rules accept" writes, unchanged',
        )


class DuplicateCallError(LovageshuntError):
    """Raised when a call arrives under the id of one that is still here."""

    def __init__(self, call_id: str) -> None:
        """Keep the id."""
        super().__init__(
            f'call {call_id!r} already waits or runs here; give each attempt '
            'an id of its own within the node',
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


class StaleInputsError(LovageshuntError):
    """Raised when a decision was made on inputs older than a pause."""

    def __init__(self, read_in: int, epoch: int) -> None:
        """Name the epoch of the inputs and the present one."""
        super().__init__(
            f'the decision was made on inputs of epoch {read_in}, but a pause '
            f'began epoch {epoch}; read the inputs again and decide anew',
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


class CallError(LovageshuntError):
    """The base of the three ways in which a call brings no answer.

    ``retry_after_ms`` says when to come back, ``request_id`` with which id.
    """

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
        claim: str,
    ) -> None:
        """Keep what a program needs; the message is for people."""
        self.request_id = request_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        super().__init__(
            f'request {request_id} {claim} ({reason}); come back in '
            f'{retry_after_ms} ms',
        )


class CallNotRunError(CallError):
    """Nothing of the call ran, anywhere, and nothing of it will."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Take the reason and when to come back."""
        super().__init__(
            request_id,
            reason,
            retry_after_ms,
            'was not run',
        )


class CallFailedError(CallError):
    """Some of the call ran, and it is certain that no answer will come."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Take the reason and when to come back."""
        super().__init__(request_id, reason, retry_after_ms, 'failed')


class CallUnknownError(CallError):
    """The call may have run; the same request id learns how it ended."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Take the reason and when to come back."""
        super().__init__(
            request_id,
            reason,
            retry_after_ms,
            'has no known outcome, repeat it with the same id',
        )


class MalformedViewError(LovageshuntError):
    """Raised when a node's view for clients cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep the decoder's reason."""
        super().__init__(
            f'the view is malformed ({reason}); see that the seed is the '
            'ingress of a node of this version',
        )


class UnknownEventError(LovageshuntError):
    """Raised when a decision is told an event that it does not know."""

    def __init__(self, event: object) -> None:
        """Keep the type of the event."""
        super().__init__(
            f'no decision is registered for {type(event).__name__}; pass one '
            'of the events that the package lists in its __all__',
        )


class MalformedEnvelopeError(LovageshuntError):
    """Raised when what a peer sent cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keep the decoder's reason."""
        super().__init__(
            f'a message of a peer is malformed ({reason}); it is dropped, see '
            'that all nodes run versions that know each other',
        )


class MalformedFrameError(LovageshuntError):
    """Raised when bytes on a link between nodes are no frame."""

    def __init__(self, reason: str) -> None:
        """Keep what was wrong with the bytes."""
        super().__init__(
            f'a frame of a peer is malformed ({reason}); the link is closed '
            'and made anew, see that all nodes run versions that know each '
            'other',
        )


class SecurityFileError(LovageshuntError):
    """Raised when a file that ``[security]`` names is of no use."""

    def __init__(self, key: str, path: str, reason: str) -> None:
        """Name the key, its file and what is wrong with it."""
        super().__init__(
            f'[security] {key} = {path}: {reason}; give a file that this '
            'process can read, in the form that docs/CONFIGURATION.md says',
        )


class ContextKeyError(LovageshuntError):
    """Raised when a key for contexts is too short or too long."""

    def __init__(self, size: int) -> None:
        """Name the size, never the key."""
        super().__init__(
            f'the context key has {size} bytes, expected 16 to 64; write a '
            'random one, the same for the whole fleet',
        )
