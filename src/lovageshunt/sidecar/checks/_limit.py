"""Refuses requests beyond the limits of their client accounts."""

from typing import Final

from lovageshunt.calls import RefusalReason
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar.checks._refusal import Refusal, RefusalStatus

_MS_PER_SECOND: Final = 1000


class LimitCheck:
    """Keeps each client account within its limit on the whole fleet."""

    __slots__ = ('_accounts',)

    def __init__(self, accounts: ClientAccounts) -> None:
        self._accounts = accounts

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Refuse a request that its account's limit has no room for."""
        if call.account is None:
            return None
        seconds = self._accounts.refusal_seconds(call.account, call.started_at)
        if seconds is None:
            return None
        return Refusal(
            reason=RefusalReason.ACCOUNT_LIMIT,
            status=RefusalStatus.LIMITED,
            retry_ms=round(seconds * _MS_PER_SECOND),
            inputs={'per_second': call.account.per_second},
        )
