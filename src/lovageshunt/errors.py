"""All errors that this package raises or returns.

Each message states the invalid value, what was expected and the remedy.
"""

from collections.abc import Collection


class LovageshuntError(Exception):
    """The base class of all errors of this package."""


class MalformedContextError(LovageshuntError):
    """Raised when a call's context header cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the context header is malformed ({reason}); send the header '
            'created by lovageshunt.client, or omit it',
        )


class MalformedAnswerError(LovageshuntError):
    """Raised when an answer's header is invalid or of another call."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the answer is malformed ({reason}); the connection is closed and '
            'the outcome of the call is unknown',
        )


class MalformedResponseError(LovageshuntError):
    """Raised when the bytes of a target are no response in HTTP."""

    def __init__(self, status: int) -> None:
        super().__init__(
            f'a response has the status {status:03d}, expected 100 to 599; '
            'its connection is closed and the outcome of the call is unknown, '
            'see the logs of the target',
        )


class PlatformUnavailableError(LovageshuntError):
    """Returned when a published value could not be read.

    ``name`` is the value, ``address`` the platform's and ``detail`` the cause.
    """

    def __init__(self, name: str, address: str, detail: str) -> None:
        super().__init__(
            f'the platform at {address} returned no usable {name!r} '
            f'({detail}); the last value read stays in use, check that the '
            'address in [platform] is correct and reachable',
        )


class MalformedRulesError(LovageshuntError):
    """Returned when a rules document, or a part of it, cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the rules document is malformed ({reason}); publish the file '
            'written by "lovageshunt rules accept" without editing it',
        )


class DuplicateCallError(LovageshuntError):
    """Raised when a call has the id of one that is still queued or running."""

    def __init__(self, call_id: str) -> None:
        super().__init__(
            f'call {call_id!r} is already queued or running here; give each '
            'attempt an id that is unique within the node',
        )


class ChartNotFoundError(LovageshuntError):
    """Raised when there is no state chart with the requested name."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f'there is no state chart {name!r}; add {name}.json to '
            'lovageshunt/charts or correct the name',
        )


class MalformedChartError(LovageshuntError):
    """Raised when a state chart's file is invalid."""

    def __init__(self, name: str, fault: str) -> None:
        super().__init__(f'the state chart {name!r} is malformed: {fault}')


class UnknownChartEventError(LovageshuntError):
    """Raised when a state chart is given an event that it does not define."""

    def __init__(self, name: str, event: str, known: Collection[str]) -> None:
        super().__init__(
            f'the state chart {name!r} does not define the event {event!r}; '
            f'use one of {sorted(known)}',
        )


class MalformedMembershipError(LovageshuntError):
    """Raised when a membership message cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the membership message is malformed ({reason}); run the same '
            'version of lovageshunt on every node',
        )


class StaleInputsError(LovageshuntError):
    """Raised when the inputs of a decision were read before a pause."""

    def __init__(self, read_epoch: int, epoch: int) -> None:
        super().__init__(
            f'the inputs of the decision were read in epoch {read_epoch}, but '
            f'a pause of the process has started epoch {epoch}; read the '
            'inputs again and decide anew',
        )


class MalformedSnapshotError(LovageshuntError):
    """Raised when an account's snapshot from a node cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the account snapshot is malformed ({reason}); request it from '
            'a node of this version at /v1/account',
        )


class MalformedSpanError(LovageshuntError):
    """Raised when a trace span from a node cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the span is malformed ({reason}); request it from a node of '
            'this version at /v1/traces',
        )


class NodeAnswerError(LovageshuntError):
    """Raised when a node's admin address gives no usable answer.

    ``address`` is the one that was queried.
    """

    def __init__(self, address: str, reason: str) -> None:
        self.address = address
        super().__init__(
            f'node {address} gave no usable answer ({reason}); check that this '
            'is its admin address, that it is running, and --token_file',
        )


class CallError(LovageshuntError):
    """The base class of the three outcomes of a call without an answer.

    ``request_id`` is the id to retry with and ``retry_after_ms`` the time to
    wait before; ``reason`` is the reason code.
    """

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
        outcome: str,
    ) -> None:
        self.request_id = request_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        super().__init__(
            f'request {request_id} {outcome} ({reason}); retry after '
            f'{retry_after_ms} ms',
        )


class CallNotRunError(CallError):
    """No part of the call has run or will run on any node."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        super().__init__(
            request_id,
            reason,
            retry_after_ms,
            'was not run',
        )


class CallFailedError(CallError):
    """A part of the call ran, and no answer will arrive."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        super().__init__(request_id, reason, retry_after_ms, 'failed')


class CallUnknownError(CallError):
    """The call may have run; a retry with the same id returns its outcome."""

    def __init__(
        self,
        request_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        super().__init__(
            request_id,
            reason,
            retry_after_ms,
            'has an unknown outcome, retry it with the same id',
        )


class MalformedViewError(LovageshuntError):
    """Raised when the fleet view that a node serves to clients is invalid."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the view is malformed ({reason}); check that the seed is the '
            'ingress address of a node of this version',
        )


class UnknownEventError(LovageshuntError):
    """Raised when a decision is given an event of an unsupported type."""

    def __init__(self, event: object) -> None:
        super().__init__(
            f'no decision is registered for {type(event).__name__}; pass one '
            'of the events listed in __all__ of the package',
        )


class MalformedEnvelopeError(LovageshuntError):
    """Raised when a message from a peer cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'a message from a peer is malformed ({reason}) and is dropped; '
            'check that all nodes run compatible versions',
        )


class MalformedFrameError(LovageshuntError):
    """Raised when bytes on a link between nodes are not a valid frame."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'a frame from a peer is malformed ({reason}); the link is closed '
            'and reconnected, check that all nodes run compatible versions',
        )


class SecurityFileError(LovageshuntError):
    """Raised when a file configured in ``[security]`` cannot be used."""

    def __init__(self, key: str, path: str, reason: str) -> None:
        super().__init__(
            f'[security] {key} = {path}: {reason}; configure a file that this '
            'process can read, in the form given in docs/CONFIGURATION.md',
        )


class ContextKeyError(LovageshuntError):
    """Raised when a context key is too short or too long.

    Only its size, in bytes, is given, so that the key never gets into logs.
    """

    def __init__(self, size: int) -> None:
        super().__init__(
            f'the context key has {size} bytes, expected 16 to 64; generate '
            'a random key and use the same one on the entire fleet',
        )
