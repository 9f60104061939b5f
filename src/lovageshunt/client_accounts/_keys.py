"""Finds the client account that a request's key belongs to."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final, Self

from lovageshunt.errors import MalformedRulesError
from lovageshunt.routes import ClientAccount

#: The length of a digest, in bytes.
_DIGEST_BYTES: Final = 16
#: Keeps the digests apart from those of the same text elsewhere.
_PERSON: Final = b'account key'


def digest_of(key: bytes) -> str:
    """Return the digest by which a key is known, as hexadecimal digits."""
    return blake2b(key, digest_size=_DIGEST_BYTES, person=_PERSON).hexdigest()


class AccountDirectory:
    """Client accounts by the digests of their keys.

    ``is_empty`` is true if there are none, so that no request needs a key.
    """

    __slots__ = ('_by_digest', 'is_empty')

    def __init__(
        self, by_digest: dict[str, ClientAccount], *, is_empty: bool
    ) -> None:
        self._by_digest = by_digest
        self.is_empty = is_empty

    @classmethod
    def of(cls, accounts: Iterable[ClientAccount]) -> Self:
        """Return the directory of some accounts.

        Raises ``MalformedRulesError`` if an account is listed twice, or if two
        accounts hold one key: it would not tell who sent a request.
        """
        by_digest: dict[str, ClientAccount] = {}
        names: set[str] = set()
        for account in accounts:
            if account.name in names:
                raise MalformedRulesError(
                    f'client account {account.name!r} is listed twice',
                )
            names.add(account.name)
            for digest in account.key_digests:
                holder = by_digest.setdefault(digest, account)
                if holder is not account:
                    raise MalformedRulesError(
                        f'client accounts {holder.name!r} and '
                        f'{account.name!r} hold the same key',
                    )
        return cls(by_digest, is_empty=not names)

    def find(self, key: bytes) -> ClientAccount | None:
        """Return the account that holds a key, ``None`` if none does."""
        return self._by_digest.get(digest_of(key))
