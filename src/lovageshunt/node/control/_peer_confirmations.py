"""Announces a new incarnation until every service peer confirms it."""

from asyncio import gather
from typing import Final

from lovageshunt.client import ExchangeFailureKind
from lovageshunt.membership import Bulletin, Member
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.node.control._peer_link import PeerLink

_ROUND_INTERVAL_SECONDS: Final = 1.0


class PeerConfirmations:
    """Announces this incarnation to each listed peer until all confirm it.

    A peer whose VM refuses connections runs no node and counts as having
    confirmed. A peer that does not answer may run one, and does not count.
    """

    def __init__(
        self,
        control: Control,
        outbox: PeerOutbox,
        link: PeerLink,
    ) -> None:
        self._control = control
        self._outbox = outbox
        self._link = link
        self._confirmed: set[str] = set()
        self._next_round_at: float = 0

    def clear(self) -> None:
        """Discard every confirmation, and allow the next round at once."""
        self._confirmed.clear()
        self._next_round_at = 0

    async def is_known_to_all(self, now: float) -> bool:
        """Announce to unconfirmed peers; return whether all have confirmed.

        Runs at most one round per second; between rounds it returns false.
        """
        if now < self._next_round_at:
            return False
        self._next_round_at = now + _ROUND_INTERVAL_SECONDS
        members = self._control.members(self._control.identity.service)
        unconfirmed = [
            member for member in members if member.name not in self._confirmed
        ]
        confirmations = await gather(*map(self._announce_to, unconfirmed))
        return all(confirmations)

    async def _announce_to(self, member: Member) -> bool:
        address = self._outbox.address_of(member.name)
        if address is None:
            return False
        envelope = self._outbox.new_envelope()
        envelope.bulletins.append(
            Bulletin(announcements=[self._control.fleet.own], list_news=[]),
        )
        sent = await self._link.exchange(address, envelope)
        if sent.is_error():
            return sent.error.kind is ExchangeFailureKind.REFUSED
        self._control.record_answer(member.name, sent.ok)
        if sent.ok:
            self._confirmed.add(member.name)
        return bool(sent.ok)
