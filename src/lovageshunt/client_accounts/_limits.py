"""The limits of client accounts, which hold for all nodes together.

A node sees only the requests of its own clients, and the sums over the fleet
are about a second old. It protects against an account that asks for more than
its limit, wherever its clients are, without refusing one that does not.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt._token_bucket import TokenBucket
from lovageshunt.routes import ClientAccount

#: Sums older than this are not acted on, in seconds: a node reports each 0.8 s
#: and a coordinator sends its sums as often.
_EXPIRY_SECONDS: Final = 2.5
#: The time over which saved or owed requests are spent or paid back, in
#: seconds.
_LEVEL_SECONDS: Final = 2.0
#: The share of the nodes that may be missing from the sums without an effect,
#: such as nodes that are restarting.
_MISSING_TOLERANCE: Final = 0.1
#: The shortest time after which a refused request may return, in seconds.
_MIN_RETRY_SECONDS: Final = 0.3


class FleetUse(Record):
    """What client accounts use of the whole fleet, in requests a second.

    ``asked_by_name`` counts all requests, ``admitted_by_name`` those that were
    within a limit. The sums are over ``nodes`` nodes.
    """

    __slots__ = ('asked_by_name', 'admitted_by_name', 'nodes')

    def __init__(
        self,
        *,
        asked_by_name: Mapping[str, float],
        admitted_by_name: Mapping[str, float],
        nodes: int,
    ) -> None:
        self.asked_by_name = asked_by_name
        self.admitted_by_name = admitted_by_name
        self.nodes = nodes


class _Limit:
    """The limit of one account.

    The fleet was lately ``asked`` for that many requests a second. ``fleet`` is
    what all nodes have left, as the sums tell, ``own`` the part of this node
    while there are no sums.
    """

    __slots__ = ('per_second', 'asked', 'fleet', 'own')

    def __init__(self, account: ClientAccount, now: float) -> None:
        rate = account.per_second or 0
        self.per_second = rate
        self.asked = float(0)
        # All nodes may have started at once, so that nothing is saved up.
        self.fleet = TokenBucket(
            per_second=rate, burst=account.burst, level=0, now=now
        )
        self.own = TokenBucket(per_second=rate, burst=1, level=1, now=now)

    @property
    def spendable(self) -> float:
        """Requests a second that the fleet may admit now."""
        return self.fleet.per_second + self.fleet.level / _LEVEL_SECONDS


class AccountLimits:
    """Admits requests of client accounts within their limits.

    ``node_count`` is the number of nodes in the fleet.
    """

    __slots__ = (
        'node_count',
        '_rng',
        '_limit_by_name',
        '_nodes',
        '_summed',
        '_summed_at',
    )

    def __init__(self, rng: Random) -> None:
        self.node_count = 1
        self._rng = rng
        self._limit_by_name: dict[str, _Limit] = {}
        self._nodes = 0
        #: The accounts in the last sums: with thousands only few are in them.
        self._summed: frozenset[str] = frozenset()
        self._summed_at = float('-inf')

    def names_over_limit(self, before: frozenset[str]) -> frozenset[str]:
        """Return the accounts of which the sums let nodes refuse requests.

        One that was over its limit ``before`` is so until it has saved up half
        of its burst, so that one close to its limit does not go to and fro.
        """
        over: set[str] = set()
        for name in self._summed | before:
            limit = self._limit_by_name.get(name)
            if limit is None:
                continue
            owes = limit.fleet.level < limit.fleet.burst / 2
            if limit.asked > limit.spendable or name in before and owes:
                over.add(name)
        return frozenset(over)

    def per_second_of(self, name: str) -> float | None:
        """Return the limit of an account, ``None`` without one."""
        limit = self._limit_by_name.get(name)
        return None if limit is None else limit.per_second

    def apply(self, accounts: Iterable[ClientAccount], now: float) -> None:
        """Put the limits of a configuration into force."""
        known = self._limit_by_name
        self._limit_by_name = {}
        for account in accounts:
            if account.per_second is None:
                continue
            limit = known.get(account.name) or _Limit(account, now)
            limit.per_second = account.per_second
            limit.fleet.change(
                per_second=account.per_second, burst=account.burst, now=now
            )
            self._limit_by_name[account.name] = limit

    def record_use(self, use: FleetUse, now: float) -> None:
        """Update the limits by what the fleet was asked for and admitted."""
        is_first = now - self._summed_at > _EXPIRY_SECONDS
        self._summed_at = now
        self._nodes = use.nodes
        summed = use.asked_by_name.keys()
        for name in summed | self._summed:
            limit = self._limit_by_name.get(name)
            if limit is None:
                continue
            limit.fleet.advance(now)
            if is_first:
                # What was used meanwhile is not known.
                limit.fleet.level = min(0, limit.fleet.level)
            limit.asked = use.asked_by_name.get(name, 0)
            limit.fleet.used_per_second = use.admitted_by_name.get(name, 0)
            limit.fleet.per_second = limit.per_second * self._part_in_sums()
        self._summed = frozenset(summed)

    def refusal_seconds(self, name: str, now: float) -> float | None:
        """Admit a request, or return after how many seconds to send it again.

        An account without a limit is always admitted.
        """
        limit = self._limit_by_name.get(name)
        if limit is None:
            return None
        if now - self._summed_at > _EXPIRY_SECONDS:
            return self._own_refusal_seconds(limit, now)
        limit.fleet.advance(now)
        if self._rng.random() * limit.asked < limit.spendable:
            return None
        owed_seconds = max(0, -limit.fleet.level) / limit.fleet.per_second
        return self._spread(owed_seconds)

    def _own_refusal_seconds(self, limit: _Limit, now: float) -> float | None:
        """Decide without sums: this node has its part of the limit only."""
        part = limit.per_second / max(1, self.node_count)
        limit.own.change(per_second=part, burst=max(1, part), now=now)
        if limit.own.take(now):
            return None
        return self._spread(
            min(_EXPIRY_SECONDS, limit.own.wait_seconds(1, now))
        )

    def _part_in_sums(self) -> float:
        """Return the part of a limit that is for the nodes in the sums."""
        share = self._nodes / max(1, self.node_count) + _MISSING_TOLERANCE
        return min(1, share)

    def _spread(self, seconds: float) -> float:
        """Spread the return of requests that are refused at one time."""
        return max(_MIN_RETRY_SECONDS, seconds) * (self._rng.random() + 1 / 2)
