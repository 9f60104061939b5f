"""Settings of admission beside a target and of the caller's memory."""

from lovageshunt._record import Record


class AdmissionSettings(Record):
    """How one target is protected.

    ``slots`` is what the platform publishes for the target and may be wrong;
    the limit on running calls stays between ``least_share`` and
    ``max_limit_share`` of it. The threshold aims at a queue time of one time of
    service, but at least ``queue_target_seconds`` and at most
    ``most_queue_target_seconds``. ``window_seconds`` is the period of control,
    ``most_waiting`` the bound of the queue, ``floor_ranks`` the ranks of each
    importance that the threshold never refuses. ``drain_seconds`` is the
    time after which a drain aborts what still runs.
    """

    __slots__ = (
        'slots',
        'queue_target_seconds',
        'most_queue_target_seconds',
        'window_seconds',
        'most_waiting',
        'floor_ranks',
        'least_share',
        'max_limit_share',
        'retry_after_seconds',
        'most_retry_after_seconds',
        'drain_seconds',
        'service_seconds',
    )

    def __init__(
        self,
        *,
        slots: int,
        queue_target_seconds: float = 0.02,
        most_queue_target_seconds: float = 0.25,
        window_seconds: float = 0.1,
        most_waiting: int = 1000,
        floor_ranks: int = 328,
        least_share: float = 0.1,
        max_limit_share: float = 2,
        retry_after_seconds: float = 0.25,
        most_retry_after_seconds: float = 10,
        drain_seconds: float = 30,
        service_seconds: float = 0.02,
    ) -> None:
        """Take the published slots; the rest has defaults."""
        self.slots = slots
        self.queue_target_seconds = queue_target_seconds
        self.most_queue_target_seconds = most_queue_target_seconds
        self.window_seconds = window_seconds
        self.most_waiting = most_waiting
        self.floor_ranks = floor_ranks
        self.least_share = least_share
        self.max_limit_share = max_limit_share
        self.retry_after_seconds = retry_after_seconds
        self.most_retry_after_seconds = most_retry_after_seconds
        self.drain_seconds = drain_seconds
        self.service_seconds = service_seconds


class CallerSettings(Record):
    """How a caller keeps the thresholds that answers told it.

    A threshold holds for ``hold_seconds`` after it was last heard. Then it
    rises by ``probe_ranks`` and twice as many each ``doubling_seconds``, so
    that a silent service is tried again, a few ranks first. ``memory_seconds``
    is how long the services that a kind of request needs are remembered,
    ``news_seconds`` how long a service that refuses no more is still told of,
    ``most_kinds`` how many kinds are remembered.
    """

    __slots__ = (
        'hold_seconds',
        'probe_ranks',
        'doubling_seconds',
        'smoothing',
        'floor_ranks',
        'retry_after_seconds',
        'memory_seconds',
        'news_seconds',
        'most_kinds',
    )

    def __init__(
        self,
        *,
        hold_seconds: float = 0.3,
        probe_ranks: int = 1300,
        doubling_seconds: float = 0.25,
        smoothing: float = 0.3,
        floor_ranks: int = 328,
        retry_after_seconds: float = 0.5,
        memory_seconds: float = 30,
        news_seconds: float = 5,
        most_kinds: int = 1000,
    ) -> None:
        """Take every setting by name; all have defaults."""
        self.hold_seconds = hold_seconds
        self.probe_ranks = probe_ranks
        self.doubling_seconds = doubling_seconds
        self.smoothing = smoothing
        self.floor_ranks = floor_ranks
        self.retry_after_seconds = retry_after_seconds
        self.memory_seconds = memory_seconds
        self.news_seconds = news_seconds
        self.most_kinds = most_kinds
