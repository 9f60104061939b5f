"""Refuses requests that name no client account."""

from lovageshunt.calls import RefusalReason
from lovageshunt.sidecar._client_accounts import ClientAccounts
from lovageshunt.sidecar._origin_call import OriginCall
from lovageshunt.sidecar.checks._refusal import Refusal, RefusalStatus


class KeyCheck:
    """Finds the account of a request by its key.

    On a public route a request needs none. Requests need no account while the
    configuration names none.
    """

    __slots__ = ('_accounts', '_key_field')

    def __init__(self, accounts: ClientAccounts, key_field: bytes) -> None:
        self._accounts = accounts
        self._key_field = key_field

    def refusal_of(self, call: OriginCall) -> Refusal | None:
        """Note the account of a request; refuse one without where needed."""
        if not self._accounts.is_used:
            return None
        key = call.request.header(self._key_field)
        if key:
            call.account = self._accounts.directory.find(key)
        if call.account is not None:
            return None
        if call.route is not None and call.route.is_public:
            return None
        return Refusal(
            reason=RefusalReason.UNKNOWN_KEY,
            status=RefusalStatus.UNKNOWN_KEY,
            inputs={'has_key': bool(key)},
        )
