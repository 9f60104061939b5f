"""Settings of the choice of a target."""

from lovageshunt._record import Record


class RouterSettings(Record):
    """How targets are weighed.

    ``aperture`` bounds the targets, and so the connections, that a caller
    uses in each tier (own failure domain, own region, elsewhere). A tier has
    room up to ``room_share`` of its targets' limits and none from
    ``full_share``. ``slow_start_seconds`` is the time in which a new target
    comes to its full share. After ``failures_to_eject`` failures in a row a
    target is left out for ``ejection_seconds``, twice as long each time up to
    ``most_ejection_seconds``; one failure is then enough until it answers.
    When more than ``most_ejected_share`` of the targets look bad, none is
    left out. ``load_memory_seconds`` is how long a reported load counts,
    fading.
    """

    __slots__ = (
        'aperture',
        'room_share',
        'full_share',
        'slow_start_seconds',
        'failures_to_eject',
        'ejection_seconds',
        'most_ejection_seconds',
        'most_ejected_share',
        'load_memory_seconds',
    )

    def __init__(
        self,
        *,
        aperture: int = 8,
        room_share: float = 0.6,
        full_share: float = 0.95,
        slow_start_seconds: float = 10,
        failures_to_eject: int = 5,
        ejection_seconds: float = 1,
        most_ejection_seconds: float = 3,
        most_ejected_share: float = 0.5,
        load_memory_seconds: float = 1,
    ) -> None:
        """Take every setting by name; all have defaults."""
        self.aperture = aperture
        self.room_share = room_share
        self.full_share = full_share
        self.slow_start_seconds = slow_start_seconds
        self.failures_to_eject = failures_to_eject
        self.ejection_seconds = ejection_seconds
        self.most_ejection_seconds = most_ejection_seconds
        self.most_ejected_share = most_ejected_share
        self.load_memory_seconds = load_memory_seconds
