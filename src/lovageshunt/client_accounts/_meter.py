"""Counts what client accounts ask at one node."""

from collections import Counter


class AccountMeter:
    """Counts the requests of each account since the last report.

    ``asked`` counts all of them, ``admitted`` those within a limit.
    """

    __slots__ = ('asked', 'admitted')

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.admitted: Counter[str] = Counter()

    def take_rates(
        self, seconds: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return asked and admitted requests a second, and begin anew."""
        rates = (_rates(self.asked, seconds), _rates(self.admitted, seconds))
        self.asked = Counter()
        self.admitted = Counter()
        return rates


def _rates(count_by_name: Counter[str], seconds: float) -> dict[str, float]:
    return {name: count / seconds for name, count in count_by_name.items()}
