"""Parameters of the gossip of rules."""

from lovageshunt._record import Record


class RulesGossipSettings(Record):
    """Gossip parameters of the node ``name``, with defaults for any fleet.

    A new version is sent to ``fanout`` peers at once. The known version is
    sent to one peer every ``exchange_seconds``, and missing parts are
    requested every ``request_seconds``. After its start a node waits for
    responses of ``startup_responses`` peers, at most
    ``startup_timeout_seconds``, before it uses the platform's document. A
    node without rules that learns of a version reads the document once, after
    a random delay of up to ``first_read_seconds``. ``bytes_per_second`` limits
    the mean rate of sending and ``burst_bytes`` the bursts.
    """

    __slots__ = (
        'name',
        'fanout',
        'exchange_seconds',
        'request_seconds',
        'startup_responses',
        'startup_timeout_seconds',
        'first_read_seconds',
        'bytes_per_second',
        'burst_bytes',
    )

    def __init__(
        self,
        *,
        name: str,
        fanout: int = 3,
        exchange_seconds: float = 1,
        request_seconds: float = 0.5,
        startup_responses: int = 3,
        startup_timeout_seconds: float = 2,
        first_read_seconds: float = 3,
        bytes_per_second: float = 1024,
        burst_bytes: float = 49152,
    ) -> None:
        self.name = name
        self.fanout = fanout
        self.exchange_seconds = exchange_seconds
        self.request_seconds = request_seconds
        self.startup_responses = startup_responses
        self.startup_timeout_seconds = startup_timeout_seconds
        self.first_read_seconds = first_read_seconds
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
