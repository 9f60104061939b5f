"""The ways of running a call at most once that are compared."""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.calls import HomeStamp, RefusalReason
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

#: The nodes listed, and since when.
_Listing = tuple[float, frozenset[str]]


class Unprotected(RunOnce):
    """Every node runs what it has not seen itself."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Run any attempt as if it were the first and only one."""
        if isinstance(event, AttemptReceived):
            event.peers = ()
            event.gone = ()
            event.stamp = None
            event.attempt = 1
        return super().handle(event, now)


class StampOnly(RunOnce):
    """A stamped call runs at its home; an unstamped resend is in doubt."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Answer what would need an inquiry at once."""
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
        """Return whether an attempt of the call arrived here before."""
        return key in self._state.entry_by_key


class FixedHome(RunOnce):
    """A hash over the listed nodes names the home of each key.

    A node that becomes the home of a key waits until the earlier home has
    surely lost its right, and refuses until then. The wait must bound the
    list's lag, which the platform does not promise: with ``lag_seconds``
    too small two nodes run the call.
    """

    lag_seconds = 5.0

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        service: str,
        started_at: float,
        settings: RunOnceSettings,
    ) -> None:
        """Begin with no list seen."""
        super().__init__(
            node=node,
            incarnation=incarnation,
            service=service,
            started_at=started_at,
            settings=settings,
        )
        self._lists: list[_Listing] = []
        self._started_at = started_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Redirect to the home, or run there once its right is sure."""
        if not isinstance(event, AttemptReceived):
            return super().handle(event, now)
        peers = event.peers or ()
        home = _home_of(event.key, (*peers, self.home))
        if home != self.home:
            moved = Redirect(
                call_id=event.call_id,
                home=home,
                stamp=None,
                attempt=event.attempt,
            )
            return [moved]
        self._see(peers, now)
        if event.key not in self._state.entry_by_key:
            refusal = self._refusal(event, now)
            if refusal is not None:
                return [refusal]
        event.stamp = self.home
        return super().handle(event, now)

    def _see(self, peers: Iterable[HomeStamp], now: float) -> None:
        names = frozenset(peer.node for peer in peers) | {self.home.node}
        since = now if self._lists else self._started_at
        if not self._lists or self._lists[-1][1] != names:
            self._lists.append((since, names))

    def _refusal(self, event: AttemptReceived, now: float) -> Action | None:
        taken_at = self._taken_at(event.key)
        wait_seconds = _LEASE_SECONDS + self.lag_seconds
        born_at = now - (event.age_ms or 0) / _MS_PER_SECOND
        is_first = event.attempt == 1
        if taken_at + wait_seconds <= now and (is_first or taken_at < born_at):
            return None
        kind = AnswerNotRun if is_first else AnswerUnknown
        return kind(
            call_id=event.call_id,
            reason=RefusalReason.SETTLING,
            retry_after_ms=_MS_PER_SECOND,
        )

    def _taken_at(self, key: str) -> float:
        """Return since when this node is the home of a key."""
        taken_at: float | None = None
        for since, names in self._lists:
            if _owner_of(key, names) != self.home.node:
                taken_at = None
            elif taken_at is None:
                taken_at = since
        return self._started_at if taken_at is None else taken_at


def _home_of(key: str, homes: Iterable[HomeStamp]) -> HomeStamp:
    return max(homes, key=lambda home: _weight(key, home.node))


def _owner_of(key: str, names: Iterable[str]) -> str:
    return max(names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> int:
    return xxh3_64_intdigest(f'{key} {name}'.encode())
