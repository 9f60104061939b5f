"""The list of targets as the platform last told it, through its outages."""

from typing import Final

from lovageshunt.sidecar._fleet import TargetEntry

#: A target that lapsed while the platform was away is listed again within
#: two seconds of its return if it lives; this is a little more, in seconds.
_LAPSE_SECONDS: Final = 2.2
#: A removal so soon after an outage may be a lapse, in seconds.
_DOUBT_SECONDS: Final = 3.0


class TargetList:
    """Keeps targets that an outage of the platform may have dropped.

    Silence of the platform removes nothing. What it says is followed at
    once, except that a target which is missing right after an outage is
    kept for the time in which living targets register again.
    """

    __slots__ = ('_entry_by_id', '_lapsed_until_by_id', '_away_at')

    def __init__(self) -> None:
        """Begin with no targets."""
        self._entry_by_id: dict[str, TargetEntry] = {}
        self._lapsed_until_by_id: dict[str, float] = {}
        self._away_at = float('-inf')

    def entries(self) -> list[TargetEntry]:
        """Return the targets that calls may be placed at."""
        return list(self._entry_by_id.values())

    def note_platform_unreachable(self, now: float) -> None:
        """Note that the platform did not answer."""
        self._away_at = now

    def replace(self, entries: list[TargetEntry], now: float) -> None:
        """Take a whole list."""
        listed = {entry.target_id for entry in entries}
        for target_id in self._entry_by_id.keys() - listed:
            self.remove(target_id, now)
        for entry in entries:
            self.put(entry)

    def put(self, entry: TargetEntry) -> None:
        """Take a new or changed target."""
        self._entry_by_id[entry.target_id] = entry
        self._lapsed_until_by_id.pop(entry.target_id, None)

    def remove(self, target_id: str, now: float) -> None:
        """Take that a target is no longer listed."""
        entry = self._entry_by_id.get(target_id)
        if entry is None or target_id in self._lapsed_until_by_id:
            return
        if now - self._away_at < _DOUBT_SECONDS and not entry.is_leaving:
            self._lapsed_until_by_id[target_id] = now + _LAPSE_SECONDS
            return
        self._entry_by_id.pop(target_id)

    def expire(self, now: float) -> bool:
        """Drop targets that did not come back; tell whether there were any."""
        gone = [
            target_id
            for target_id, until in self._lapsed_until_by_id.items()
            if until <= now
        ]
        for target_id in gone:
            self._lapsed_until_by_id.pop(target_id)
            self._entry_by_id.pop(target_id, None)
        return bool(gone)
