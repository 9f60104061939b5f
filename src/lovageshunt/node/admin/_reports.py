"""Reports of a node for operators, as values ready for JSON."""

from collections.abc import Callable, Iterable
from time import time
from typing import Any

from lovageshunt.account import Account, AccountSnapshot, Role, SnapshotStore
from lovageshunt.calls import LOWEST_IMPORTANCE, RANK_COUNT
from lovageshunt.clock import now
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.control._peer_link import PeerLink
from lovageshunt.node.gate._gate import Gate
from lovageshunt.observability import Metrics, Traces
from lovageshunt.rules import Conflict


class Reports:
    """Read-only reports about the components of a node.

    ``kept`` holds the account snapshots stored for peers and callers,
    ``slots`` is the configured number of slots of the target, and
    ``suppressed`` returns how many log records were rate limited.
    """

    def __init__(
        self,
        *,
        control: Control,
        gate: Gate,
        account: Account,
        kept: SnapshotStore,
        traces: Traces,
        metrics: Metrics,
        life: NodeLife,
        link: PeerLink,
        slots: int,
        suppressed: Callable[[], int],
    ) -> None:
        self._control = control
        self._gate = gate
        self._account = account
        self._kept = kept
        self._traces = traces
        self._metrics = metrics
        self._life = life
        self._slots = slots
        self._link = link
        self._suppressed = suppressed

    def status(self) -> dict[str, Any]:
        """Return state, load, call counts and known members of services."""
        load = self._gate.load()
        snapshot = self._account.snapshot(time())
        lines = snapshot.lines
        return {
            **self._node_fields(),
            'service': self._control.identity.service,
            'failure_domain': self._control.identity.failure_domain,
            'state': self._life.state,
            'is_leaving': self._life.is_leaving,
            'running': load.running,
            'waiting': load.waiting,
            'limit': load.limit,
            'slots': self._slots,
            'sent_bytes': self._link.sent_bytes,
            'threshold': _capped_threshold(self._gate.threshold),
            'arrived': sum(line.arrived for line in lines),
            'answered': sum(line.answered for line in lines),
            'refused': sum(line.refused for line in lines),
            'rules_generation': self._generation(),
            'members': {
                service: [
                    member.as_dict()
                    for member in self._control.members(service)
                ]
                for service in self._control.services
            },
        }

    def rules(self) -> dict[str, Any]:
        """Return the version of the rules in force and recorded conflicts."""
        rules = self._control.rules
        since = rules.in_force_since
        return {
            **self._node_fields(),
            'version': rules.version.as_dict() if rules.version else None,
            'in_force_for_seconds': 0 if since is None else now() - since,
            'conflicts': [_conflict_fields(entry) for entry in rules.conflicts],
        }

    def account(self) -> dict[str, Any]:
        """Return the node's own account and those stored for others."""
        return {
            **self._node_fields(),
            'account': self._account.snapshot(time()).as_dict(),
            'held_by_service': {
                self._control.identity.service: self._gate.unanswered,
            },
            'callers': _dicts(self._kept.snapshots(Role.CALLER)),
            'kept': _dicts(self._kept.snapshots(Role.NODE)),
        }

    def traces(self, some_id: str) -> dict[str, Any]:
        """Return the recent spans of a trace id or request id."""
        spans = self._traces.recent(some_id)
        return {
            **self._node_fields(),
            'spans': [span.as_dict() for span in spans],
        }

    def metrics(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics exposition and its HTTP headers."""
        self._metrics.export_account(self._account.snapshot(time()))
        load = self._gate.load()
        service = self._control.identity.service
        limit = self._metrics.series('lovageshunt_concurrency_limit', service)
        limit.value = load.limit
        threshold = self._metrics.series(
            'lovageshunt_admission_threshold',
            service,
        )
        threshold.value = _capped_threshold(self._gate.threshold)
        generation = self._metrics.series('lovageshunt_rules_generation')
        generation.value = self._generation()
        sent = self._metrics.series('lovageshunt_control_bytes_total', 'peers')
        sent.value = self._link.sent_bytes
        age = self._metrics.series('lovageshunt_platform_read_age_seconds')
        age.value = self._control.fleet.platform_age_seconds()
        suppressed = self._metrics.series('lovageshunt_logs_suppressed_total')
        suppressed.value = self._suppressed()
        self._export_members()
        return self._metrics.render(accepts)

    def _export_members(self) -> None:
        for service in self._control.services:
            members = self._control.members(service)
            suspects = sum(member.is_suspect for member in members)
            count_by_state = {
                'suspect': suspects,
                'available': len(members) - suspects,
            }
            for state, count in count_by_state.items():
                targets = self._metrics.series(
                    'lovageshunt_targets',
                    service,
                    state,
                )
                targets.value = count

    def _node_fields(self) -> dict[str, Any]:
        identity = self._control.identity
        return {'node': identity.name, 'incarnation': identity.incarnation}

    def _generation(self) -> int:
        version = self._control.rules.version
        return 0 if version is None else version.generation


def _capped_threshold(threshold: int) -> int:
    return min(threshold, (LOWEST_IMPORTANCE + 1) * RANK_COUNT)


def _conflict_fields(conflict: Conflict) -> dict[str, Any]:
    return {
        'winner': conflict.winner.as_dict(),
        'loser': conflict.loser.as_dict(),
    }


def _dicts(snapshots: Iterable[AccountSnapshot]) -> list[dict[str, Any]]:
    return [snapshot.as_dict() for snapshot in snapshots]
