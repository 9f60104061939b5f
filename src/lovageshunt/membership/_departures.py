"""Members that left and are remembered for a while."""

from lovageshunt.membership._member import Member


class Departures:
    """The last member of each name that left, and when it did, in seconds."""

    __slots__ = ('_horizon', '_by_name')

    def __init__(self, horizon: float) -> None:
        """Remember nobody; forget after ``horizon`` seconds."""
        self._horizon = horizon
        self._by_name: dict[str, tuple[Member, float]] = {}

    def add(self, member: Member, left_at: float) -> None:
        """Remember a member."""
        self._by_name[member.name] = (member, left_at)

    def remove(self, name: str) -> None:
        """Forget one that came back."""
        self._by_name.pop(name, None)

    def of_service(self, service: str, now: float) -> list[Member]:
        """Return those of a service that left within the horizon."""
        return [
            member
            for member, left_at in self._by_name.values()
            if member.service == service and now - left_at <= self._horizon
        ]

    def expire(self, now: float) -> None:
        """Forget those that left longer ago than the horizon."""
        for name, (_, left_at) in tuple(self._by_name.items()):
            if now - left_at > self._horizon:
                self._by_name.pop(name)
