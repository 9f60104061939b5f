"""What is admitted of the requests of one kind, by their importance."""

from enum import StrEnum
from typing import Final

from lovageshunt.pressure._returns import ReturnPart

#: By which factor the counted requests decay with each update of the shares.
_DECAY: Final = 0.9
#: Requests of an importance that are fewer than this are forgotten.
_MIN_COUNT: Final = 0.05


class Shortage(StrEnum):
    """The resource of a service that is scarce."""

    SLOTS = 'slots'
    RETRIES = 'retries'


class AdmittedShare:
    """The admitted share of a kind at one importance, and what limits it.

    ``service`` is empty and ``shortage`` ``None`` while all are admitted.
    """

    __slots__ = ('share', 'service', 'shortage')

    def __init__(self) -> None:
        self.share = float(1)
        self.service = ''
        self.shortage: Shortage | None = None

    def limit(self, share: float, service: str, shortage: Shortage) -> None:
        """Lower the share, unless it is lower already."""
        if share < self.share:
            self.share = share
            self.service = service
            self.shortage = shortage


class KindShares:
    """The admitted shares of one kind.

    The requests of one kind may differ in importance, as that of a client
    account goes before that of the route. Their mix is counted here, and the
    part that returns, ``returns``. Some are refused since ``short_since``, in
    seconds on the clock, or ``None``.
    """

    __slots__ = (
        'returns',
        'short_since',
        '_count_by_importance',
        '_admitted_by_importance',
    )

    def __init__(self) -> None:
        self.returns = ReturnPart()
        self.short_since: float | None = None
        self._count_by_importance: dict[int, float] = {}
        self._admitted_by_importance: dict[int, AdmittedShare] = {}

    @property
    def part_by_importance(self) -> dict[int, float]:
        """The part of the requests that has each importance; they add up."""
        total = sum(self._count_by_importance.values())
        return {
            importance: count / total
            for importance, count in self._count_by_importance.items()
        }

    def record(self, importance: int) -> None:
        """Count a request."""
        count = self._count_by_importance.get(importance, 0)
        self._count_by_importance[importance] = count + 1

    def admit_all(self) -> None:
        """Reset the shares to 1; forget an importance that is out of use."""
        self._admitted_by_importance = {}
        most = max(self._count_by_importance.values(), default=0)
        self._count_by_importance = {
            importance: max(_MIN_COUNT, count * _DECAY)
            for importance, count in self._count_by_importance.items()
            if count * _DECAY >= _MIN_COUNT or count == most
        }

    def note_shortage(self, now: float) -> None:
        """Note since when a share of some importance is below 1."""
        shares = (each.share for each in self._admitted_by_importance.values())
        if min(shares, default=1) >= 1:
            self.short_since = None
        elif self.short_since is None:
            self.short_since = now

    def admitted(self, importance: int) -> AdmittedShare:
        """Return the share that is admitted of one importance."""
        return self._admitted_by_importance.setdefault(
            importance, AdmittedShare()
        )
