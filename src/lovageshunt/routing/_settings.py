"""Settings of the router."""

from lovageshunt._record import Record


class RouterSettings(Record):
    """How targets are weighted and ejected.

    ``aperture`` bounds the targets, and so the connections, that a caller
    uses in each tier (own failure domain, own region, all). A tier keeps all
    of its calls up to a utilisation of ``spill_start_share`` and none from
    ``spill_end_share`` on. ``slow_start_seconds`` is the time in which a new
    target ramps up to its full share. After ``failures_to_eject`` failures in
    a row a target is ejected for ``ejection_seconds``, doubled each time up
    to ``max_ejection_seconds``; one failure is then enough until it answers
    again. When more than ``max_ejected_share`` of the targets are ejected,
    all are used. ``load_memory_seconds`` is the time over which the weight of
    a reported load falls to 0.
    """

    __slots__ = (
        'aperture',
        'spill_start_share',
        'spill_end_share',
        'slow_start_seconds',
        'failures_to_eject',
        'ejection_seconds',
        'max_ejection_seconds',
        'max_ejected_share',
        'load_memory_seconds',
    )

    def __init__(
        self,
        *,
        aperture: int = 8,
        spill_start_share: float = 0.6,
        spill_end_share: float = 0.95,
        slow_start_seconds: float = 10,
        failures_to_eject: int = 5,
        ejection_seconds: float = 1,
        max_ejection_seconds: float = 3,
        max_ejected_share: float = 0.5,
        load_memory_seconds: float = 1,
    ) -> None:
        self.aperture = aperture
        self.spill_start_share = spill_start_share
        self.spill_end_share = spill_end_share
        self.slow_start_seconds = slow_start_seconds
        self.failures_to_eject = failures_to_eject
        self.ejection_seconds = ejection_seconds
        self.max_ejection_seconds = max_ejection_seconds
        self.max_ejected_share = max_ejected_share
        self.load_memory_seconds = load_memory_seconds
