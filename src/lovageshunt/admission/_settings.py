"""Settings of admission at a target and of thresholds kept by a caller."""

from lovageshunt._record import Record


class AdmissionSettings(Record):
    """Limits and control parameters of the admission to one target.

    ``slots`` is the concurrency that the platform publishes for the target
    and may be wrong; the concurrency limit stays between ``min_limit_share``
    and ``max_limit_share`` of it. The threshold controller aims at a queue
    time of one service time, bounded by ``queue_target_seconds`` from below
    and ``max_queue_target_seconds`` from above. ``window_seconds`` is the
    control period and ``max_waiting`` the queue capacity in calls.
    ``floor_ranks`` is how many ranks of each importance the threshold never
    refuses. The mean retry delay of a refused call is ``retry_after_seconds``
    times the ratio of demand to capacity, at most
    ``max_retry_after_seconds``. ``drain_seconds`` is how long a drain waits
    before it aborts the calls still running. ``service_seconds`` is the
    service time assumed until calls have finished.
    """

    __slots__ = (
        'slots',
        'queue_target_seconds',
        'max_queue_target_seconds',
        'window_seconds',
        'max_waiting',
        'floor_ranks',
        'min_limit_share',
        'max_limit_share',
        'retry_after_seconds',
        'max_retry_after_seconds',
        'drain_seconds',
        'service_seconds',
    )

    def __init__(
        self,
        *,
        slots: int,
        queue_target_seconds: float = 0.02,
        max_queue_target_seconds: float = 0.25,
        window_seconds: float = 0.1,
        max_waiting: int = 1000,
        floor_ranks: int = 328,
        min_limit_share: float = 0.1,
        max_limit_share: float = 2,
        retry_after_seconds: float = 0.25,
        max_retry_after_seconds: float = 10,
        drain_seconds: float = 30,
        service_seconds: float = 0.02,
    ) -> None:
        self.slots = slots
        self.queue_target_seconds = queue_target_seconds
        self.max_queue_target_seconds = max_queue_target_seconds
        self.window_seconds = window_seconds
        self.max_waiting = max_waiting
        self.floor_ranks = floor_ranks
        self.min_limit_share = min_limit_share
        self.max_limit_share = max_limit_share
        self.retry_after_seconds = retry_after_seconds
        self.max_retry_after_seconds = max_retry_after_seconds
        self.drain_seconds = drain_seconds
        self.service_seconds = service_seconds


class CallerSettings(Record):
    """How a caller ages the thresholds reported in answers.

    A threshold holds for ``hold_seconds`` after it was last reported. Then
    it rises by ``probe_ranks``, doubled every ``doubling_seconds``, so that a
    service that stopped reporting is probed again, with a few ranks first.
    ``smoothing`` is the weight of one reported threshold in the estimate.
    ``floor_ranks`` is how many ranks of each importance are never refused,
    ``retry_after_seconds`` the base retry delay. The services that a kind of
    request depends on are kept for ``dependency_ttl_seconds``, for at most
    ``max_kinds`` kinds. ``advertise_seconds`` is how long the threshold of a
    service is still advertised after it last refused levels.
    """

    __slots__ = (
        'hold_seconds',
        'probe_ranks',
        'doubling_seconds',
        'smoothing',
        'floor_ranks',
        'retry_after_seconds',
        'dependency_ttl_seconds',
        'advertise_seconds',
        'max_kinds',
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
        dependency_ttl_seconds: float = 30,
        advertise_seconds: float = 5,
        max_kinds: int = 1000,
    ) -> None:
        self.hold_seconds = hold_seconds
        self.probe_ranks = probe_ranks
        self.doubling_seconds = doubling_seconds
        self.smoothing = smoothing
        self.floor_ranks = floor_ranks
        self.retry_after_seconds = retry_after_seconds
        self.dependency_ttl_seconds = dependency_ttl_seconds
        self.advertise_seconds = advertise_seconds
        self.max_kinds = max_kinds
