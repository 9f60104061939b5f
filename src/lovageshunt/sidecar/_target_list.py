"""The platform's target list, kept through outages of the platform."""

from logging import getLogger
from typing import Final

from lovageshunt.sidecar._fleet import TargetEntry

_log = getLogger(__name__)
#: How long a target that is missing after an outage of the platform is kept,
#: in seconds. A live target registers again within two seconds of the
#: platform's return; this is slightly more.
_GRACE_SECONDS: Final = 2.2
#: A removal this soon after an outage may be an expired registration of a
#: live target, in seconds.
_RECENT_OUTAGE_SECONDS: Final = 3.0


class TargetList:
    """Targets by id, including those that only an outage removed.

    An unreachable platform removes no target. Its changes apply at once,
    except that a target that is missing right after an outage is kept for the
    time in which live targets register again. All times are in seconds on the
    caller's clock.
    """

    __slots__ = ('_entry_by_id', '_kept_until_by_id', '_outage_at')

    def __init__(self) -> None:
        self._entry_by_id: dict[str, TargetEntry] = {}
        self._kept_until_by_id: dict[str, float] = {}
        self._outage_at = float('-inf')

    def entries(self) -> list[TargetEntry]:
        """Return the targets that calls may be sent to."""
        return list(self._entry_by_id.values())

    def note_platform_unreachable(self, now: float) -> None:
        """Record that a request to the platform failed."""
        self._outage_at = now

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
        self._kept_until_by_id.pop(entry.target_id, None)

    def remove(self, target_id: str, now: float) -> None:
        """Remove a target, or let it expire later if an outage is recent."""
        entry = self._entry_by_id.get(target_id)
        if entry is None or target_id in self._kept_until_by_id:
            return
        if (
            now - self._outage_at < _RECENT_OUTAGE_SECONDS
            and not entry.is_leaving
        ):
            self._kept_until_by_id[target_id] = now + _GRACE_SECONDS
            _log.info(
                'keeping a target that was removed after an outage',
                extra={'target': target_id, 'seconds': _GRACE_SECONDS},
            )
            return
        self._entry_by_id.pop(target_id)

    def expire(self, now: float) -> bool:
        """Drop targets that did not register again; return whether any."""
        gone = [
            target_id
            for target_id, until in self._kept_until_by_id.items()
            if until <= now
        ]
        for target_id in gone:
            self._kept_until_by_id.pop(target_id)
            self._entry_by_id.pop(target_id, None)
        return bool(gone)
