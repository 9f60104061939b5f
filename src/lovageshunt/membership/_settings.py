"""Settings of membership and its exchange with peers."""

from lovageshunt._record import Record


class MembershipSettings(Record):
    """Settings of a membership view.

    ``departed_retention_seconds``: how long a departed VM is remembered.
    ``absence_grace_seconds``: a VM missing from the list is probed if it was
    not heard from for this time.
    ``min_probe_delay_seconds``, ``max_probe_delay_seconds``: bounds of the
    delay before a silent VM is probed; it doubles with each silence.
    ``rollback_timeout_seconds``: if only lower revisions are read for this
    time, the platform is considered to have restarted.
    ``bytes_per_second``, ``burst_bytes``: limits of what is sent to peers.
    ``gossip_fanout``: number of peers that a batch of updates is sent to.
    ``gossip_lifetime_seconds``: age at which an update is no longer sent.
    ``mean_digest_interval_seconds``: mean time between two digests, each sent
    to one peer; intervals are jittered.
    ``peers_per_failure_domain``: maximum number of peers sampled for exchange.
    """

    __slots__ = (
        'departed_retention_seconds',
        'absence_grace_seconds',
        'min_probe_delay_seconds',
        'max_probe_delay_seconds',
        'rollback_timeout_seconds',
        'bytes_per_second',
        'burst_bytes',
        'gossip_fanout',
        'gossip_lifetime_seconds',
        'mean_digest_interval_seconds',
        'peers_per_failure_domain',
    )

    def __init__(
        self,
        *,
        departed_retention_seconds: float = 600,
        absence_grace_seconds: float = 30,
        min_probe_delay_seconds: float = 1,
        max_probe_delay_seconds: float = 60,
        rollback_timeout_seconds: float = 60,
        bytes_per_second: float = 1000,
        burst_bytes: float = 8000,
        gossip_fanout: int = 5,
        gossip_lifetime_seconds: float = 30,
        mean_digest_interval_seconds: float = 2.5,
        peers_per_failure_domain: int = 16,
    ) -> None:
        self.departed_retention_seconds = departed_retention_seconds
        self.absence_grace_seconds = absence_grace_seconds
        self.min_probe_delay_seconds = min_probe_delay_seconds
        self.max_probe_delay_seconds = max_probe_delay_seconds
        self.rollback_timeout_seconds = rollback_timeout_seconds
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
        self.gossip_fanout = gossip_fanout
        self.gossip_lifetime_seconds = gossip_lifetime_seconds
        self.mean_digest_interval_seconds = mean_digest_interval_seconds
        self.peers_per_failure_domain = peers_per_failure_domain
