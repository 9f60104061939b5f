"""What is asked and decided at the first hop of a request."""

from lovageshunt._record import Record
from lovageshunt.pressure._kind_shares import Shortage


class RootDecision(Record):
    """``retry_seconds`` is the time to retry after, ``None`` if admitted.

    ``service`` is the overloaded one and ``shortage`` its scarce resource;
    ``share`` is the share of the kind's requests that is admitted. The request
    came back after a refusal if it ``is_return``.
    """

    __slots__ = ('retry_seconds', 'service', 'shortage', 'share', 'is_return')

    def __init__(
        self,
        *,
        retry_seconds: float | None = None,
        service: str = '',
        shortage: Shortage | None = None,
        share: float = 1,
        is_return: bool = False,
    ) -> None:
        self.is_return = is_return
        self.retry_seconds = retry_seconds
        self.service = service
        self.shortage = shortage
        self.share = share


class RootRequest(Record):
    """A request of a client at its first hop.

    ``account`` is the client account that sends it, empty without one.
    ``content`` tells equal requests; an answer is most useful within
    ``aim_seconds``.
    """

    __slots__ = ('kind', 'importance', 'account', 'content', 'aim_seconds')

    def __init__(
        self,
        *,
        kind: str,
        importance: int,
        account: str = '',
        content: str = '',
        aim_seconds: float = 0,
    ) -> None:
        self.kind = kind
        self.importance = importance
        self.account = account
        self.content = content
        self.aim_seconds = aim_seconds


class AccountDemand(Record):
    """What one client account asks of the fleet.

    ``importance`` is that of its requests, ``None`` if it is that of their
    routes. It asks for ``per_second`` requests and may be served in proportion
    to ``weight``, above 0.
    """

    __slots__ = ('importance', 'per_second', 'weight')

    def __init__(
        self, *, importance: int | None, per_second: float, weight: float
    ) -> None:
        self.importance = importance
        self.per_second = per_second
        self.weight = weight
