"""The client accounts in force at a node, and what they use of the fleet."""

from logging import getLogger
from random import Random

from lovageshunt.client_accounts import (
    AccountDirectory,
    AccountLimits,
    AccountMeter,
    FleetUse,
)
from lovageshunt.pressure import AccountDemand, FleetPart, FleetRates
from lovageshunt.routes import ClientAccount, Configuration

_log = getLogger(__name__)


class ClientAccounts:
    """Finds the account of a key and keeps accounts within their limits.

    ``directory`` holds the accounts, ``limits`` decides what is within a limit.
    ``over_limit`` are the accounts that ask for more than theirs.
    """

    __slots__ = (
        'directory',
        'limits',
        'over_limit',
        '_account_by_name',
        '_meter',
        '_asked',
        '_admitted',
        '_nodes_by_host',
    )

    def __init__(self, rng: Random) -> None:
        self.directory = AccountDirectory.of(())
        self.limits = AccountLimits(rng)
        self.over_limit: frozenset[str] = frozenset()
        self._account_by_name: dict[str, ClientAccount] = {}
        self._meter = AccountMeter()
        self._asked = FleetRates()
        self._admitted = FleetRates()
        self._nodes_by_host: dict[str, int] = {}

    @property
    def is_used(self) -> bool:
        """Whether the configuration names accounts."""
        return not self.directory.is_empty

    def apply(self, configuration: Configuration, now: float) -> None:
        """Put the accounts of a configuration into force."""
        account_by_name = {each.name: each for each in configuration.accounts}
        if account_by_name == self._account_by_name:
            return
        self._account_by_name = account_by_name
        self.directory = AccountDirectory.of(configuration.accounts)
        self.limits.apply(configuration.accounts, now)
        _log.info(
            'client accounts in force',
            extra={
                'version': configuration.version,
                'accounts': len(configuration.accounts),
            },
        )

    def refusal_seconds(
        self, account: ClientAccount, now: float
    ) -> float | None:
        """Count a request; admit it, or return when to send it again."""
        self._meter.asked[account.name] += 1
        seconds = self.limits.refusal_seconds(account.name, now)
        if seconds is None:
            self._meter.admitted[account.name] += 1
        return seconds

    def take_rates(
        self, seconds: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return what was asked and admitted here, for the next report."""
        return self._meter.take_rates(seconds)

    def handle_part(
        self, host: str, part: FleetPart, now: float, *, is_own: bool
    ) -> None:
        """Record the sums of the coordinator on ``host``.

        Coordinators log for all nodes: they pass sums that are their own.
        """
        if not self.is_used:
            return
        self._asked.replace(host, part.asked_by_account, now)
        self._admitted.replace(host, part.admitted_by_account, now)
        self._nodes_by_host[host] = part.nodes
        use = FleetUse(
            asked_by_name=self._asked.rate_by_key(now),
            admitted_by_name=self._admitted.rate_by_key(now),
            nodes=sum(self._nodes_by_host.values()),
        )
        self.limits.record_use(use, now)
        known = self.over_limit
        self.over_limit = self.limits.names_over_limit(known)
        if is_own:
            for name in known ^ self.over_limit:
                self._log_use(name, use)

    def forget(self, host: str) -> None:
        """Drop the sums of a node that is no coordinator any more."""
        self._asked.forget(host)
        self._admitted.forget(host)
        self._nodes_by_host.pop(host, None)

    def demand_by_account(self, now: float) -> dict[str, AccountDemand]:
        """Return what the accounts ask within their limits."""
        admitted_by_name = self._admitted.rate_by_key(now)
        return {
            name: AccountDemand(
                importance=account.importance,
                per_second=per_second,
                weight=account.per_second or 1,
            )
            for name, per_second in admitted_by_name.items()
            if (account := self._account_by_name.get(name)) is not None
        }

    def _log_use(self, name: str, use: FleetUse) -> None:
        """Log an account that went over its limit or is within it again."""
        is_over = name in self.over_limit
        _log.info(
            'account asks for more than its limit'
            if is_over
            else 'account is within its limit again',
            extra={
                'account': name,
                'per_second': self.limits.per_second_of(name),
                'asked': round(use.asked_by_name.get(name, 0), 1),
                'admitted': round(use.admitted_by_name.get(name, 0), 1),
                'nodes': use.nodes,
            },
        )
