"""Whose a key is."""

import pytest

from lovageshunt.client_accounts import AccountDirectory, digest_of
from lovageshunt.errors import MalformedRulesError
from lovageshunt.routes import ClientAccount


def account(name: str, *keys: str) -> ClientAccount:
    return ClientAccount(
        name=name, key_digests=tuple(digest_of(key.encode()) for key in keys)
    )


class TestAccountDirectory:
    """Finding accounts by keys."""

    def test_finds_an_account_by_each_of_its_keys(self) -> None:
        """Keys overlap while an account changes them."""
        directory = AccountDirectory.of([account('a', 'k1', 'k2')])
        for key in (b'k1', b'k2'):
            found = directory.find(key)
            assert found is not None
            assert found.name == 'a'

    def test_finds_none_by_another_key(self) -> None:
        """Neither an unknown key nor an empty one, nor a digest, is a key."""
        directory = AccountDirectory.of([account('a', 'k1')])
        for key in (b'k2', b'', digest_of(b'k1').encode()):
            assert directory.find(key) is None

    def test_tells_whether_there_are_accounts(self) -> None:
        """An account all of whose keys were taken away still is one."""
        assert AccountDirectory.of([]).is_empty
        assert not AccountDirectory.of([account('a')]).is_empty

    @pytest.mark.parametrize(
        'accounts',
        [
            [account('a', 'k1'), account('b', 'k1')],
            [account('a', 'k1'), account('a', 'k2')],
        ],
        ids=['one key, two accounts', 'one name, two accounts'],
    )
    def test_refuses_accounts_that_cannot_be_told_apart(
        self, accounts: list[ClientAccount]
    ) -> None:
        """The error names the accounts and never the key."""
        with pytest.raises(MalformedRulesError) as error:
            AccountDirectory.of(accounts)
        assert "'a'" in str(error.value)
        assert 'k1' not in str(error.value)

    def test_does_not_hold_the_key(self) -> None:
        """What is shown of an account in a log or a dump has no key."""
        assert 'secret-key' not in repr(account('a', 'secret-key'))
