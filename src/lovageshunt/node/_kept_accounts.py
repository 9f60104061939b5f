"""Accounts of others that this node keeps, in case their VM is lost."""

from typing import Final

from lovageshunt.account import AccountSnapshot, Role

#: Accounts beyond these push out the one that was heard first.
_MAX_KEPT: Final = 32


class KeptAccounts:
    """The newest account of each node and caller that sent one here."""

    __slots__ = ('_by_owner',)

    def __init__(self) -> None:
        """Begin with none."""
        self._by_owner: dict[tuple[str, str], AccountSnapshot] = {}

    def keep(self, snapshot: AccountSnapshot) -> None:
        """Keep an account, unless a newer one is here."""
        owner = (snapshot.node, snapshot.incarnation)
        known = self._by_owner.get(owner)
        if known is not None and known.sequence >= snapshot.sequence:
            return
        self._by_owner.pop(owner, None)
        if len(self._by_owner) >= _MAX_KEPT:
            self._by_owner.pop(next(iter(self._by_owner)))
        self._by_owner[owner] = snapshot

    def nodes(self) -> list[AccountSnapshot]:
        """Return the accounts of nodes."""
        return self._of(Role.NODE)

    def callers(self) -> list[AccountSnapshot]:
        """Return the accounts of callers."""
        return self._of(Role.CALLER)

    def _of(self, role: Role) -> list[AccountSnapshot]:
        return [
            snapshot
            for snapshot in self._by_owner.values()
            if snapshot.role is role
        ]
