"""Factories for the decision-making parts of a node, without I/O."""

from random import Random
from typing import Final

from lovageshunt.admission import Admission, AdmissionSettings
from lovageshunt.clock import now
from lovageshunt.idempotency import RunOnce, RunOnceSettings
from lovageshunt.membership import ElectionSettings, ReaderElection
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.gate._gate import Gate
from lovageshunt.retries import Quarantine, QuarantineSettings
from lovageshunt.settings import NodeSettings

_MS_PER_SECOND: Final = 1000


def build_election(settings: NodeSettings, rng: Random) -> ReaderElection:
    """Return the election that decides whether this node polls the platform."""
    return ReaderElection(
        settings.node.name,
        settings.node.failure_domain,
        rng,
        now=now(),
        settings=ElectionSettings(
            readers_per_failure_domain=(
                settings.platform.readers_per_failure_domain
            ),
        ),
    )


def build_gate(settings: NodeSettings, identity: Identity) -> Gate:
    """Return the gate that admits, queues, deduplicates and refuses calls."""
    limits = settings.limits
    admission = AdmissionSettings(
        slots=settings.target.slots,
        queue_target_seconds=(
            settings.admission.queue_target_ms / _MS_PER_SECOND
        ),
        window_seconds=settings.admission.interval_ms / _MS_PER_SECOND,
        drain_seconds=limits.drain_seconds,
    )
    run_once = RunOnceSettings(
        retention_seconds=limits.retention_seconds,
        max_entries=limits.table_entries,
        settle_seconds=limits.settle_seconds,
        transit_seconds=limits.transit_seconds,
    )
    return Gate(
        admission=Admission(admission, now()),
        run_once=RunOnce(
            node=identity.name,
            incarnation=identity.incarnation,
            service=identity.service,
            started_at=now(),
            settings=run_once,
        ),
        quarantine=Quarantine(QuarantineSettings()),
    )
