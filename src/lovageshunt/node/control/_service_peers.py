"""The other nodes of a service, as the run-once table needs them."""

from collections.abc import Iterable
from typing import Final

from lovageshunt.calls import HomeNode
from lovageshunt.idempotency import DepartedNode
from lovageshunt.membership import Member

#: Longest time that a departed node may be the home of a resent call.
_DEPARTED_RETENTION_SECONDS: Final = 900.0

#: A node's name and its incarnation.
_NodeId = tuple[str, str]


class ServicePeers:
    """Tracks which nodes are present, departed, or proved dead.

    An incarnation is proved dead when another one took its name.
    ``peers`` is ``None`` until the membership list was read once.
    """

    __slots__ = ('peers', '_incarnation_by_name', '_gone_at', '_dead')

    def __init__(self) -> None:
        self.peers: tuple[HomeNode, ...] | None = None
        self._incarnation_by_name: dict[str, str] = {}
        self._gone_at: dict[_NodeId, float] = {}
        self._dead: set[_NodeId] = set()

    def update(
        self,
        present: Iterable[Member],
        departed: Iterable[Member],
        now: float,
    ) -> None:
        """Replace the present members, and add to the departed ones."""
        members = list(present)
        for member in members:
            self._record_incarnation(member, now)
        self.peers = tuple(
            HomeNode(node=member.name, incarnation=member.incarnation)
            for member in members
        )
        for member in departed:
            identity = (member.name, member.incarnation)
            self._gone_at.setdefault(identity, now)
        for member in members:
            self._gone_at.pop((member.name, member.incarnation), None)
        self._expire(now)

    def gone(self, now: float) -> tuple[DepartedNode, ...]:
        """Return the nodes that departed within the last 900 s."""
        return tuple(
            DepartedNode(
                home=HomeNode(node=identity[0], incarnation=identity[1]),
                seconds_ago=max(0, now - gone_at),
                is_proved_dead=identity in self._dead,
            )
            for identity, gone_at in self._gone_at.items()
        )

    def _record_incarnation(self, member: Member, now: float) -> None:
        known = self._incarnation_by_name.get(member.name, '')
        if known and member.incarnation and known != member.incarnation:
            self._gone_at[(member.name, known)] = now
            self._dead.add((member.name, known))
        if member.incarnation:
            self._incarnation_by_name[member.name] = member.incarnation

    def _expire(self, now: float) -> None:
        for identity, gone_at in tuple(self._gone_at.items()):
            if now - gone_at > _DEPARTED_RETENTION_SECONDS:
                self._gone_at.pop(identity)
                self._dead.discard(identity)
