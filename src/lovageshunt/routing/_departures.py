"""The targets that must get no more calls, from whichever source is first."""

from typing import Final

#: The largest number of targets that are remembered; the oldest go first.
_MAX_REMEMBERED: Final = 2000


class Departures:
    """Targets that leave, or that were removed from the target list.

    An incarnation of a target that has said that it leaves never stays after
    all, whatever is listed later. A removed target may register again: until
    then no call is meant for it.
    """

    __slots__ = ('_incarnation_by_leaving_id', '_removed_ids')

    def __init__(self) -> None:
        self._incarnation_by_leaving_id: dict[str, int] = {}
        self._removed_ids: dict[str, None] = {}

    def note_leaving(self, target_id: str, incarnation: int) -> bool:
        """Record that a target leaves; return whether that is news."""
        if self.is_leaving(target_id, incarnation):
            return False
        self._incarnation_by_leaving_id.pop(target_id, None)
        self._incarnation_by_leaving_id[target_id] = incarnation
        _forget_oldest(self._incarnation_by_leaving_id)
        return True

    def note_listed(self, target_id: str) -> None:
        """Record that a target is on the list."""
        self._removed_ids.pop(target_id, None)

    def note_removed(self, target_id: str) -> None:
        """Record that a target is no longer on the list."""
        self._removed_ids[target_id] = None
        _forget_oldest(self._removed_ids)

    def is_leaving(self, target_id: str, incarnation: int) -> bool:
        """Return whether an incarnation of a target, or a later one, leaves."""
        known = self._incarnation_by_leaving_id.get(target_id)
        return known is not None and incarnation <= known

    def is_removed(self, target_id: str) -> bool:
        """Return whether a target was removed and is not listed again."""
        return target_id in self._removed_ids


def _forget_oldest(by_id: dict[str, int] | dict[str, None]) -> None:
    if len(by_id) > _MAX_REMEMBERED:
        by_id.pop(next(iter(by_id)))
