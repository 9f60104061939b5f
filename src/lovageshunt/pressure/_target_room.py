"""What one target has room for, as its node tells it."""

from lovageshunt._record import Record


class TargetRoom(Record):
    """The room at one target.

    ``share`` is the share of its demand that it has room for, ``slots`` what
    may run in it at once. ``sent_per_second`` calls its node sends to it, of
    which it refuses ``refused_per_second`` although there were slots.
    """

    __slots__ = ('share', 'slots', 'sent_per_second', 'refused_per_second')

    def __init__(
        self,
        *,
        share: float,
        slots: int,
        sent_per_second: float = 0,
        refused_per_second: float = 0,
    ) -> None:
        """Take every field by name."""
        self.share = share
        self.slots = slots
        self.sent_per_second = sent_per_second
        self.refused_per_second = refused_per_second
