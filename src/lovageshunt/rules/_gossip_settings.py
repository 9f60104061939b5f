"""How one node takes part in the spread of rules."""

from lovageshunt._record import Record


class RulesGossipSettings(Record):
    """How one node takes part.

    ``fanout`` peers are told a new version at once; every
    ``exchange_seconds`` one peer is told the version known, and every
    ``ask_seconds`` others are asked for what is missing. A node that started
    waits for ``settle_answers`` peers, ``settle_seconds`` at most. A node
    without any rules that hears of some reads them itself within
    ``read_seconds``, once.
    It sends ``bytes_per_second`` in the mean and ``burst_bytes`` at once.
    """

    __slots__ = (
        'name',
        'fanout',
        'exchange_seconds',
        'ask_seconds',
        'settle_answers',
        'settle_seconds',
        'read_seconds',
        'bytes_per_second',
        'burst_bytes',
    )

    def __init__(
        self,
        *,
        name: str,
        fanout: int = 3,
        exchange_seconds: float = 1,
        ask_seconds: float = 0.5,
        settle_answers: int = 3,
        settle_seconds: float = 2,
        read_seconds: float = 3,
        bytes_per_second: float = 1024,
        burst_bytes: float = 49152,
    ) -> None:
        """Take the node's name; the rest has defaults for any fleet."""
        self.name = name
        self.fanout = fanout
        self.exchange_seconds = exchange_seconds
        self.ask_seconds = ask_seconds
        self.settle_answers = settle_answers
        self.settle_seconds = settle_seconds
        self.read_seconds = read_seconds
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
