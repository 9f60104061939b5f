"""The platform's target list, kept through outages of the platform."""

from logging import getLogger
from typing import Final

from lovageshunt.sidecar._fleet import TargetEntry

_log = getLogger(__name__)
#: How long after the end of an outage a target that is missing is kept, in
#: seconds. A live target registers again within two seconds of the platform's
#: return; this is slightly more.
_GRACE_SECONDS: Final = 2.1
#: An outage is shorter than the time in which registrations expire if the read
#: after a failed one succeeds, in seconds: then a single response was lost.
_MIN_OUTAGE_SECONDS: Final = 0.4


class TargetList:
    """Targets by id, including those that only an outage removed.

    An unreachable platform removes no target. Its changes apply at once,
    except that a target that goes missing right after an outage is kept for
    the time in which live targets register again, counted from the end of the
    outage. All times are in seconds on the caller's clock.
    """

    __slots__ = (
        '_entry_by_id',
        '_kept_ids',
        '_failing_since',
        '_grace_ends_at',
    )

    def __init__(self) -> None:
        self._entry_by_id: dict[str, TargetEntry] = {}
        self._kept_ids: set[str] = set()
        self._failing_since: float | None = None
        self._grace_ends_at = float('-inf')

    def entries(self) -> list[TargetEntry]:
        """Return the targets that calls may be sent to."""
        return list(self._entry_by_id.values())

    def resume(self, entries: list[TargetEntry]) -> None:
        """Begin with the targets that another node has read meanwhile."""
        self._entry_by_id = {entry.target_id: entry for entry in entries}
        self._kept_ids.clear()

    def note_platform_unreachable(self, now: float) -> None:
        """Record that a request to the platform failed."""
        if self._failing_since is None:
            self._failing_since = now

    def note_platform_answered(self, now: float) -> None:
        """Record an answer, before the changes in it are applied."""
        failing_since = self._failing_since
        self._failing_since = None
        if failing_since is None:
            return
        if now - failing_since >= _MIN_OUTAGE_SECONDS:
            self._grace_ends_at = now + _GRACE_SECONDS

    def note_older_copy(self, now: float) -> None:
        """Record that the platform is back with an older copy of its data.

        Targets that registered since the copy register again.
        """
        self._grace_ends_at = now + _GRACE_SECONDS

    def replace(self, entries: list[TargetEntry], now: float) -> None:
        """Apply a complete list: put its entries and remove all others."""
        listed = {entry.target_id for entry in entries}
        for target_id in self._entry_by_id.keys() - listed:
            self.remove(target_id, now)
        for entry in entries:
            self.put(entry)

    def put(self, entry: TargetEntry) -> None:
        """Add or update a target; it no longer expires."""
        self._entry_by_id[entry.target_id] = entry
        self._kept_ids.discard(entry.target_id)

    def remove(self, target_id: str, now: float) -> None:
        """Remove a target, or let it expire later if an outage is recent."""
        entry = self._entry_by_id.get(target_id)
        if entry is None or target_id in self._kept_ids:
            return
        if now < self._grace_ends_at and not entry.is_leaving:
            self._kept_ids.add(target_id)
            _log.info(
                'keeping a target that was removed after an outage',
                extra={
                    'target': target_id,
                    'seconds': round(self._grace_ends_at - now, 3),
                },
            )
            return
        self._entry_by_id.pop(target_id)

    def expire(self, now: float) -> bool:
        """Drop targets that did not register again; return whether any."""
        if not self._kept_ids or now < self._grace_ends_at:
            return False
        for target_id in self._kept_ids:
            self._entry_by_id.pop(target_id, None)
        self._kept_ids.clear()
        return True
