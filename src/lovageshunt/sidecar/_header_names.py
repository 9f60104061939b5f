"""The header fields that nodes, targets and clients exchange."""

from collections.abc import Callable

from lovageshunt._record import Record
from lovageshunt.admission import LoadReported, RateLimitReported


class HeaderNames(Record):
    """Names of header fields, in lower case.

    ``attempt_id`` is the id that a client gives to one attempt; responses
    echo it. ``time_left`` is how long its client still waits, in ms.
    ``target_id`` names the only target that may run a request,
    ``caller_service`` the service that sent it. ``account_key`` is the key of
    the client account that sends a request, which no target gets to see;
    ``account`` names that account to the target. ``proof`` is on every
    response that a target made by running a request, ``not_run`` on those
    that state that the request was not run. ``leaving`` is on the responses of
    a target that leaves. ``load`` carries a target's load; ``read_load``
    decodes it and returns ``None`` for a malformed value. ``rate_limit`` is on
    the responses of a target that limits the calls a second that it takes;
    ``read_rate_limit`` decodes it in the same way.
    """

    __slots__ = (
        'attempt_id',
        'time_left',
        'target_id',
        'caller_service',
        'account_key',
        'account',
        'proof',
        'not_run',
        'leaving',
        'load',
        'read_load',
        'rate_limit',
        'read_rate_limit',
    )

    def __init__(
        self,
        *,
        attempt_id: bytes,
        time_left: bytes,
        target_id: bytes,
        caller_service: bytes,
        account_key: bytes,
        account: bytes,
        proof: bytes,
        not_run: bytes,
        leaving: bytes,
        load: bytes,
        read_load: Callable[[bytes], LoadReported | None],
        rate_limit: bytes,
        read_rate_limit: Callable[[bytes], RateLimitReported | None],
    ) -> None:
        self.attempt_id = attempt_id
        self.time_left = time_left
        self.target_id = target_id
        self.caller_service = caller_service
        self.account_key = account_key
        self.account = account
        self.proof = proof
        self.not_run = not_run
        self.leaving = leaving
        self.load = load
        self.read_load = read_load
        self.rate_limit = rate_limit
        self.read_rate_limit = read_rate_limit

    @property
    def overwritten(self) -> frozenset[bytes]:
        """Return the request fields that a node sets, whatever was sent."""
        return frozenset(
            (self.time_left, self.target_id, self.caller_service),
        )

    @property
    def of_accounts(self) -> frozenset[bytes]:
        """Return the request fields that only a node reads or sets."""
        return frozenset((self.account_key, self.account))
