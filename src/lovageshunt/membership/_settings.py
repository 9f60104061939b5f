"""Settings of membership, exchange and the readers of the platform."""

from lovageshunt._record import Record


class MembershipSettings(Record):
    """Times in seconds, sizes in bytes.

    ``departed_horizon``: how long a departed VM is remembered.
    ``absence_grace``: how long a VM that the list omits may be unheard
    before it is probed. ``first_probe_delay`` doubles at each silence up to
    ``longest_probe_delay``. ``rollback_patience``: how long only lower
    revisions must be read before the platform is taken to have restarted.
    ``bytes_per_second`` and ``burst_bytes`` bound what is sent to peers.
    ``rumour_fanout``: to how many peers news is told, until it is
    ``rumour_lifetime`` old. ``exchange_period``:
    how often a digest goes to one peer.
    """

    __slots__ = (
        'departed_horizon',
        'absence_grace',
        'first_probe_delay',
        'longest_probe_delay',
        'rollback_patience',
        'bytes_per_second',
        'burst_bytes',
        'rumour_fanout',
        'rumour_lifetime',
        'exchange_period',
        'contacts_per_failure_domain',
    )

    def __init__(
        self,
        *,
        departed_horizon: float = 600,
        absence_grace: float = 30,
        first_probe_delay: float = 1,
        longest_probe_delay: float = 60,
        rollback_patience: float = 60,
        bytes_per_second: float = 1000,
        burst_bytes: float = 8000,
        rumour_fanout: int = 5,
        rumour_lifetime: float = 30,
        exchange_period: float = 2.5,
        contacts_per_failure_domain: int = 16,
    ) -> None:
        """Take every setting by name."""
        self.departed_horizon = departed_horizon
        self.absence_grace = absence_grace
        self.first_probe_delay = first_probe_delay
        self.longest_probe_delay = longest_probe_delay
        self.rollback_patience = rollback_patience
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
        self.rumour_fanout = rumour_fanout
        self.rumour_lifetime = rumour_lifetime
        self.exchange_period = exchange_period
        self.contacts_per_failure_domain = contacts_per_failure_domain
