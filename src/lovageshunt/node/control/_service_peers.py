"""The other nodes of a service, as the run-once table must know them."""

from collections.abc import Iterable
from typing import Final

from lovageshunt.calls import HomeNode
from lovageshunt.idempotency import DepartedNode
from lovageshunt.membership import Member

#: How long a departed node may still be the home of a resent call.
_HORIZON_SECONDS: Final = 900.0

#: A node's name and its incarnation.
_Identity = tuple[str, str]


class ServicePeers:
    """Follows which nodes are there, which left, and which are proved dead.

    A node is proved dead when another incarnation took its name. Nothing is
    known until the list was read once.
    """

    __slots__ = ('peers', '_incarnation_by_name', '_gone_at', '_dead')

    def __init__(self) -> None:
        """Begin without a picture."""
        self.peers: tuple[HomeNode, ...] | None = None
        self._incarnation_by_name: dict[str, str] = {}
        self._gone_at: dict[_Identity, float] = {}
        self._dead: set[_Identity] = set()

    def update(
        self,
        present: Iterable[Member],
        departed: Iterable[Member],
        now: float,
    ) -> None:
        """Take the members of the service as the view has them now."""
        members = list(present)
        for member in members:
            self._see(member, now)
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
        """Return the nodes that were members lately and are no longer."""
        return tuple(
            DepartedNode(
                home=HomeNode(node=identity[0], incarnation=identity[1]),
                seconds_ago=max(0, now - gone_at),
                is_proved_dead=identity in self._dead,
            )
            for identity, gone_at in self._gone_at.items()
        )

    def _see(self, member: Member, now: float) -> None:
        known = self._incarnation_by_name.get(member.name, '')
        if known and member.incarnation and known != member.incarnation:
            self._gone_at[(member.name, known)] = now
            self._dead.add((member.name, known))
        if member.incarnation:
            self._incarnation_by_name[member.name] = member.incarnation

    def _expire(self, now: float) -> None:
        for identity, gone_at in tuple(self._gone_at.items()):
            if now - gone_at > _HORIZON_SECONDS:
                self._gone_at.pop(identity)
                self._dead.discard(identity)
