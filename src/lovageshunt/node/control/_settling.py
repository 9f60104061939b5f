"""A new node makes itself known to every node of its service."""

from asyncio import gather
from typing import Final

from lovageshunt.client import ExchangeFailureKind
from lovageshunt.membership import Bulletin, Member
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._outbox import Outbox
from lovageshunt.node.control._peer_link import PeerLink

_ROUND_SECONDS: Final = 1.0


class Settling:
    """Tells each listed peer of this incarnation until all have confirmed.

    A peer whose VM refuses connections runs no node, so it cannot miss this
    one; a peer that is silent may.
    """

    def __init__(
        self,
        control: Control,
        outbox: Outbox,
        link: PeerLink,
    ) -> None:
        """Begin with nobody having confirmed."""
        self._control = control
        self._outbox = outbox
        self._link = link
        self._confirmed: set[str] = set()
        self._next_round_at: float = 0

    def forget(self) -> None:
        """Take no earlier confirmation for granted."""
        self._confirmed.clear()
        self._next_round_at = 0

    async def is_known_to_all(self, now: float) -> bool:
        """Ask those that have not confirmed; say whether none is left."""
        if now < self._next_round_at:
            return False
        self._next_round_at = now + _ROUND_SECONDS
        members = self._control.members(self._control.identity.service)
        missing = [
            member for member in members if member.name not in self._confirmed
        ]
        confirmations = await gather(*map(self._introduce, missing))
        return all(confirmations)

    async def _introduce(self, member: Member) -> bool:
        address = self._outbox.address_of(member.name)
        if address is None:
            return False
        envelope = self._outbox.blank()
        envelope.bulletins.append(
            Bulletin(announcements=[self._control.fleet.own], list_news=[]),
        )
        sent = await self._link.exchange(address, envelope)
        if sent.is_error():
            return sent.error.kind is ExchangeFailureKind.REFUSED
        self._control.heard(member.name, sent.ok)
        if sent.ok:
            self._confirmed.add(member.name)
        return bool(sent.ok)
