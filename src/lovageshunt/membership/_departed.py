"""Members that left recently."""

from lovageshunt.membership._member import Member


class DepartedMembers:
    """The last departed member of each name and its time of leaving.

    Entries are kept for ``retention_seconds`` after the member left.
    """

    __slots__ = ('_retention_seconds', '_by_name')

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._by_name: dict[str, tuple[Member, float]] = {}

    def add(self, member: Member, left_at: float) -> None:
        self._by_name[member.name] = (member, left_at)

    def remove(self, name: str) -> None:
        """Forget a member that returned."""
        self._by_name.pop(name, None)

    def of_service(self, service: str, now: float) -> list[Member]:
        """Return the members of a service within the retention period."""
        return [
            member
            for member, left_at in self._by_name.values()
            if member.service == service
            and now - left_at <= self._retention_seconds
        ]

    def expire(self, now: float) -> None:
        """Delete members that left before the retention period."""
        for name, (_, left_at) in tuple(self._by_name.items()):
            if now - left_at > self._retention_seconds:
                self._by_name.pop(name)
