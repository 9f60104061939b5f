"""The compared strategies for at-most-once execution."""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.calls import HomeNode, RefusalReason
from lovageshunt.idempotency import (
    Action,
    AnswerNotRun,
    AnswerUnknown,
    AttemptReceived,
    Event,
    Redirect,
    RunOnce,
    RunOnceSettings,
)

_LEASE_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000

#: Since when, in seconds, and the names of the listed nodes.
_Membership = tuple[float, frozenset[str]]


class Unprotected(RunOnce):
    """Each node runs any call that it has not received before."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle any attempt as a first attempt without a stamp."""
        if isinstance(event, AttemptReceived):
            event.peers = ()
            event.gone = ()
            event.stamp = None
            event.attempt = 1
        return super().handle(event, now)


class StampOnly(RunOnce):
    """Runs a stamped call at its home; an unstamped retry is in doubt."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Answer *unknown* at once where an inquiry would be needed."""
        if not isinstance(event, AttemptReceived) or self.knows(event.key):
            return super().handle(event, now)
        if event.attempt == 1 or event.stamp is not None:
            return super().handle(event, now)
        unknown = AnswerUnknown(
            call_id=event.call_id,
            reason=RefusalReason.IN_DOUBT,
            retry_after_ms=_MS_PER_SECOND,
        )
        return [unknown]

    def knows(self, key: str) -> bool:
        """Return whether an attempt of the call was received before."""
        return key in self._state.entry_by_key


class FixedHome(RunOnce):
    """Assigns each key a home by rendezvous hashing of the listed nodes.

    A node that becomes the home of a key refuses its calls until the
    earlier home's lease has certainly expired. The wait must cover the
    list's lag, for which the platform guarantees no bound: if
    ``max_list_lag_seconds`` is too small, two nodes run the call.
    """

    max_list_lag_seconds = 5.0

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        service: str,
        started_at: float,
        settings: RunOnceSettings,
    ) -> None:
        super().__init__(
            node=node,
            incarnation=incarnation,
            service=service,
            started_at=started_at,
            settings=settings,
        )
        self._memberships: list[_Membership] = []
        self._started_at = started_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Redirect to the home, or run there once no other node may."""
        if not isinstance(event, AttemptReceived):
            return super().handle(event, now)
        peers = event.peers or ()
        home = _home_of(event.key, (*peers, self.home))
        if home != self.home:
            redirect = Redirect(
                call_id=event.call_id,
                home=home,
                stamp=None,
                attempt=event.attempt,
            )
            return [redirect]
        self._record_members(peers, now)
        if event.key not in self._state.entry_by_key:
            refusal = self._refusal_while_settling(event, now)
            if refusal is not None:
                return [refusal]
        event.stamp = self.home
        return super().handle(event, now)

    def _record_members(self, peers: Iterable[HomeNode], now: float) -> None:
        names = frozenset(peer.node for peer in peers) | {self.home.node}
        since = now if self._memberships else self._started_at
        if not self._memberships or self._memberships[-1][1] != names:
            self._memberships.append((since, names))

    def _refusal_while_settling(
        self, event: AttemptReceived, now: float
    ) -> Action | None:
        owned_since = self._owned_since(event.key)
        wait_seconds = _LEASE_SECONDS + self.max_list_lag_seconds
        born_at = now - (event.age_ms or 0) / _MS_PER_SECOND
        is_first = event.attempt == 1
        if owned_since + wait_seconds <= now and (
            is_first or owned_since < born_at
        ):
            return None
        kind = AnswerNotRun if is_first else AnswerUnknown
        return kind(
            call_id=event.call_id,
            reason=RefusalReason.SETTLING,
            retry_after_ms=_MS_PER_SECOND,
        )

    def _owned_since(self, key: str) -> float:
        """Return since when, in seconds, this node is the home of a key."""
        owned_since: float | None = None
        for since, names in self._memberships:
            if _owner_of(key, names) != self.home.node:
                owned_since = None
            elif owned_since is None:
                owned_since = since
        return self._started_at if owned_since is None else owned_since


def _home_of(key: str, homes: Iterable[HomeNode]) -> HomeNode:
    return max(homes, key=lambda home: _weight(key, home.node))


def _owner_of(key: str, names: Iterable[str]) -> str:
    return max(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> int:
    return xxh3_64_intdigest(f'{key} {name}'.encode())
