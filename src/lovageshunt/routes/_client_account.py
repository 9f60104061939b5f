"""The client accounts that a configuration names."""

from lovageshunt._record import Record


class ClientAccount(Record):
    """Who sends requests, and what it may ask of the whole fleet.

    ``key_digests`` are the digests of its keys, see
    ``lovageshunt.client_accounts.digest_of``. ``importance`` goes before that
    of a route unless it is ``None``. ``per_second`` is its limit in requests a
    second, ``None`` without a limit, and ``burst`` the number of requests that
    it may send on top after a pause.
    """

    __slots__ = ('name', 'key_digests', 'importance', 'per_second', 'burst')

    def __init__(
        self,
        *,
        name: str,
        key_digests: tuple[str, ...],
        importance: int | None = None,
        per_second: float | None = None,
        burst: float = 0,
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.importance = importance
        self.per_second = per_second
        self.burst = burst
