"""The state of one request at the node that received it."""

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.routes import ClientAccount, Route
from lovageshunt.sidecar._fleet import TargetEntry

_MS_PER_SECOND: Final = 1000
#: How long after its deadline a call without a response times out at its first
#: hop, in seconds. The target's node ends it slightly earlier.
TIMEOUT_DELAY_SECONDS: Final = 0.2
#: Reasons with which a target's node refuses a call instead of sending it.
_UNSENT_REASONS: Final = frozenset(
    (
        RefusalReason.LEAVING,
        RefusalReason.QUEUE_FULL,
        RefusalReason.QUARANTINE,
    ),
)


class Attempt:
    """One attempt to run a request at a target, in progress.

    ``sent_at`` is in seconds on the process's clock. ``cancel`` cancels the
    attempt; it is ``None`` until the request was sent.
    """

    __slots__ = ('entry', 'sent_at', 'cancel')

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.sent_at = clock_now()
        self.cancel: Callable[[], object] | None = None


class OriginCall:
    """A request, from its arrival to its response.

    ``route`` is ``None`` and ``service`` empty until the request is routed.
    ``account`` is the client account that sent it, if it named one.
    ``started_at`` and ``deadline`` are in seconds on the process's clock.
    It was sent ``tries`` times; ``excluded`` are the ids of the targets that
    the next attempt avoids. ``attempt`` is the one in progress, ``overdue`` the
    timer that ends the request after its deadline.

    ``has_run`` means that an attempt may have run, so that the request must
    not be reported as not run. ``is_internal`` means that the target beside
    this node sent it, ``is_repeat`` that it did so in a run that counts as a
    repeat.
    """

    __slots__ = (
        'request',
        'connection',
        'attempt_id',
        'route',
        'service',
        'account',
        'started_at',
        'deadline',
        'tries',
        '_sent_to',
        'excluded',
        '_failed_targets',
        '_refusing_targets',
        'attempt',
        'overdue',
        'has_run',
        'is_internal',
        'is_repeat',
        'is_over',
    )

    def __init__(
        self,
        request: Request,
        connection: ServerConnection,
        attempt_id: bytes,
    ) -> None:
        self.request = request
        self.connection = connection
        self.attempt_id = attempt_id
        self.route: Route | None = None
        self.service = ''
        self.account: ClientAccount | None = None
        self.started_at = clock_now()
        self.deadline = float(0)
        self.tries = 0
        self._sent_to: frozenset[str] = frozenset()
        self.excluded: frozenset[str] = frozenset()
        self._failed_targets: frozenset[str] = frozenset()
        self._refusing_targets: frozenset[str] = frozenset()
        self.attempt: Attempt | None = None
        self.overdue: TimerHandle | None = None
        self.has_run = False
        self.is_internal = False
        self.is_repeat = False
        self.is_over = False

    @property
    def kind(self) -> str:
        """The name of the route, empty without one."""
        return self.route.name if self.route else ''

    @property
    def importance(self) -> int:
        """That of the account if it has one, else that of the route."""
        account = self.account
        if account is not None and account.importance is not None:
            return account.importance
        return self.route.importance if self.route else 0

    @property
    def age_seconds(self) -> float:
        """The time since the request arrived."""
        return clock_now() - self.started_at

    def begin_attempt(self, entry: TargetEntry) -> Attempt:
        """Record that the request is sent to a target."""
        self.tries += 1
        self._sent_to |= {entry.target_id}
        attempt = Attempt(entry)
        self.attempt = attempt
        return attempt

    def note_failed_attempt(
        self,
        target_id: str,
        reason: RefusalReason | None,
    ) -> None:
        """Record why an attempt at a target failed.

        A target that refused the call has not run it, so that it stays
        eligible, but other targets are tried first. A call that the target's
        node did not send to it is not one of the attempts that are counted.
        """
        if reason in _UNSENT_REASONS:
            self._sent_to -= {target_id}
        if reason is RefusalReason.SHED:
            self._refusing_targets |= {target_id}
            self.excluded = self._failed_targets | {target_id}
            return
        self._refusing_targets -= {target_id}
        self._failed_targets |= {target_id}
        self.excluded = self._failed_targets

    def allow_last_refuser(self) -> bool:
        """Stop excluding the target that refused last, if any.

        Return whether there was one.
        """
        had_more = self.excluded != self._failed_targets
        self.excluded = self._failed_targets
        return had_more

    def allowed_targets(self, max_targets: int) -> frozenset[str] | None:
        """Return the targets the request may be sent to, ``None`` for any.

        After ``max_targets`` targets only those that refused it are left.
        """
        if len(self._sent_to) < max_targets:
            return None
        return self._refusing_targets

    def attempts_left(self, max_targets: int) -> int:
        """Return how many more attempts the request may have."""
        targets_left = max_targets - len(self._sent_to)
        return max(targets_left, len(self._refusing_targets))

    def as_logged(self) -> dict[str, object]:
        """Return the log fields of every request; ``ms`` is its age."""
        account = {'account': self.account.name} if self.account else {}
        return {
            **account,
            'route': self.kind,
            'tries': self.tries,
            'ms': round(self.age_seconds * _MS_PER_SECOND),
        }
