"""One request of a client, as its first node sees it."""

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.clock import now as clock_now
from lovageshunt.http1 import Request, ServerConnection
from lovageshunt.routes import Route
from lovageshunt.sidecar._fleet import TargetEntry

_MS_PER_SECOND: Final = 1000


class Attempt:
    """One sending of a request to a target, in progress.

    ``cancel`` gives it up, once there is something to be given up.
    """

    __slots__ = ('entry', 'sent_at', 'cancel')

    def __init__(self, entry: TargetEntry) -> None:
        """Begin now."""
        self.entry = entry
        self.sent_at = clock_now()
        self.cancel: Callable[[], None] | None = None


class OriginCall:
    """A request from its arrival to its answer.

    ``has_run`` tells that an attempt may have run, so that the request can no
    longer be said not to have run. ``is_internal`` tells that a target sent it,
    ``is_repeat`` that it did so in a run that is counted as a repeat.
    ``sent_to`` are the targets that it was sent to, ``excluded`` those that it
    is not sent to next.
    """

    __slots__ = (
        'request',
        'connection',
        'attempt_id',
        'route',
        'service',
        'started_at',
        'deadline',
        'tries',
        'sent_to',
        'excluded',
        '_failed_at',
        '_refused_by',
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
        """Begin with nothing decided."""
        self.request = request
        self.connection = connection
        self.attempt_id = attempt_id
        self.route: Route | None = None
        self.service = ''
        self.started_at = clock_now()
        self.deadline = float(0)
        self.tries = 0
        self.sent_to: frozenset[str] = frozenset()
        self.excluded: frozenset[str] = frozenset()
        self._failed_at: frozenset[str] = frozenset()
        self._refused_by: frozenset[str] = frozenset()
        self.attempt: Attempt | None = None
        self.overdue: TimerHandle | None = None
        self.has_run = False
        self.is_internal = False
        self.is_repeat = False
        self.is_over = False

    @property
    def kind(self) -> str:
        """Return the name of the route, empty without one."""
        return self.route.name if self.route else ''

    @property
    def age_seconds(self) -> float:
        """Return the time since the request arrived."""
        return clock_now() - self.started_at

    def note_ended(
        self,
        target_id: str,
        reason: RefusalReason | None,
    ) -> None:
        """Note why an attempt at a target failed.

        A target that refused the call has not run it and may get it again,
        though not next if there is another.
        """
        if reason is RefusalReason.SHED:
            self._refused_by |= {target_id}
            self.excluded = self._failed_at | {target_id}
            return
        self._refused_by -= {target_id}
        self._failed_at |= {target_id}
        self.excluded = self._failed_at

    def allow_last(self) -> bool:
        """Let it go to the target that refused it last; tell if there is."""
        had_more = self.excluded != self._failed_at
        self.excluded = self._failed_at
        return had_more

    def may_be_sent_to(self, most_targets: int) -> frozenset[str] | None:
        """Return the targets it may be sent to, or nothing if any will do.

        Once it was sent to as many as it may be, only those are left that
        refused it.
        """
        if len(self.sent_to) < most_targets:
            return None
        return self._refused_by

    def attempts_left(self, most_targets: int) -> int:
        """Return how often it may still be sent."""
        targets_left = most_targets - len(self.sent_to)
        return max(targets_left, len(self._refused_by))

    def as_logged(self) -> dict[str, object]:
        """Return what a log line says of every request."""
        return {
            'route': self.kind,
            'tries': self.tries,
            'ms': round(self.age_seconds * _MS_PER_SECOND),
        }
