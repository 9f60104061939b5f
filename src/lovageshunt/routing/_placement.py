"""Placement of calls by load that nodes report several times a second.

Calls stay in their failure domain as long as its targets are healthy and have
spare capacity. When these are slow, full or failing, calls go to other
failure domains, slow ones only as far as the answers would be late. When
targets are full everywhere, the less utilised target is chosen.
"""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing._candidate import Candidate
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._subset import subset_of

#: The utilisation up to which a near target keeps its calls.
_MAX_NEAR_UTILISATION: Final = 0.9
#: By how much a far target must be less utilised, as a share of the near
#: one's utilisation, and the further difference at which every call goes
#: there.
_MIN_GAP: Final = 0.15
_GAP_SPAN: Final = 0.8
#: The share of a call's time within which the mean answer of a near target
#: must arrive; about one call in ten takes twice the mean.
_MAX_NEAR_TIME_SHARE: Final = 0.55
#: The largest duration of a far target, as a share of the near one's, at
#: which calls leave a slow near target.
_MAX_FAR_DURATION_SHARE: Final = 0.75
#: The share of a slow target's calls that probe a far one which has not
#: answered this kind yet.
_PROBE_SHARE: Final = 0.1
#: By how much a near target's failure share may exceed that of the best far
#: one.
_MAX_FAILURE_GAP: Final = 0.15
#: When more than this share of the targets is ejected, all are used.
_MAX_EJECTED_SHARE: Final = 0.5
#: Reasons with which a node refuses a call, whatever its target does.
_NOT_OF_THE_TARGET: Final = frozenset(
    (RefusalReason.OVERLOAD, RefusalReason.QUARANTINE),
)
_NO_TARGETS: Final[frozenset[str]] = frozenset()


class PlacementRequest(Record):
    """A call to be placed.

    ``seconds`` is the time within which its answer is worth most.
    ``may_explore`` allows sending it to a target that has just joined.
    ``allowed`` are the ids of the targets that it may go to, all if ``None``;
    ``excluded`` those that it must not go to.
    """

    __slots__ = ('kind', 'seconds', 'may_explore', 'excluded', 'allowed')

    def __init__(
        self,
        *,
        kind: str,
        seconds: float,
        may_explore: bool,
        excluded: frozenset[str] = _NO_TARGETS,
        allowed: frozenset[str] | None = None,
    ) -> None:
        self.kind = kind
        self.seconds = seconds
        self.may_explore = may_explore
        self.excluded = excluded
        self.allowed = allowed

    def may_go_to(self, target_id: str) -> bool:
        """Return whether the call may be sent to a target."""
        if target_id in self.excluded:
            return False
        return self.allowed is None or target_id in self.allowed


def _is_never_unreachable(target_id: str) -> bool:
    return False


class Placement:
    """Chooses among the targets of one service.

    Each ``started`` must be followed by one ``ended`` or ``abandoned``.
    """

    __slots__ = (
        '_own_failure_domain',
        '_rng',
        '_origin',
        '_by_id',
        '_subset_by_id',
        '_newcomers',
    )

    def __init__(
        self, own_failure_domain: str, rng: Random, origin: str = ''
    ) -> None:
        """Place the calls of the node ``origin``."""
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._origin = origin
        self._by_id: dict[str, Candidate] = {}
        self._subset_by_id: dict[str, Candidate] = {}
        #: Targets that joined and to which this node has sent no call yet.
        self._newcomers: list[str] = []

    @property
    def subset_ids(self) -> list[str]:
        """Return the ids of the targets that calls normally go to."""
        return list(self._subset_by_id)

    def set_members(
        self,
        members: list[RouteMember],
        cold_until_by_id: dict[str, float],
    ) -> None:
        """Replace the list of targets; keep the statistics of known ones."""
        known = self._by_id
        self._by_id = {}
        for member in members:
            candidate = known.get(member.node)
            if candidate is None or candidate.is_restarted(member):
                candidate = Candidate(member)
                if known:
                    self._newcomers.append(member.node)
            candidate.member = member
            candidate.cold_until = cold_until_by_id.get(member.node, 0)
            self._by_id[member.node] = candidate
        staying = [member for member in members if not member.is_leaving]
        subset = subset_of(staying, self._own_failure_domain, self._origin)
        self._subset_by_id = {
            target_id: candidate
            for target_id, candidate in self._by_id.items()
            if target_id in subset
        }

    def note_leaving(self, target_id: str) -> None:
        """Choose a listed target no more."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.member.is_leaving = True

    def record_reported_load(
        self, target_id: str, load: LoadReport, now: float
    ) -> None:
        """Record a load report of a target's node."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.record_load(load, now)

    def choose(
        self,
        request: PlacementRequest,
        now: float,
        is_unreachable: Callable[[str], bool] = _is_never_unreachable,
    ) -> RouteMember | None:
        """Return the target for a call, or ``None`` if none may be used.

        Targets outside the subset are used only if none in it can be, and
        targets that ``is_unreachable`` names only if there is no other.
        """
        usable = self._staying(self._subset_by_id, request, is_unreachable)
        if not usable:
            usable = self._staying(self._by_id, request, is_unreachable)
        if not usable:
            usable = self._staying(self._by_id, request)
        usable = self._healthy(usable, now)
        if not usable:
            return None
        newcomer = self._newcomer(request, usable)
        if newcomer is not None:
            return newcomer
        return self._best(usable, request, now).member

    def started(self, target_id: str) -> None:
        """Record that a call was sent to a target."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.in_flight += 1
            if target_id in self._newcomers:
                self._newcomers.remove(target_id)

    def abandoned(self, target_id: str) -> None:
        """Record that a call was abandoned; not a failure of the target."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.in_flight = max(0, candidate.in_flight - 1)

    def ended(
        self,
        target_id: str,
        kind: str,
        *,
        seconds: float,
        outcome: Outcome,
        reason: RefusalReason | None,
        was_error: bool,
        now: float,
    ) -> None:
        """Record how a call ended and its duration in seconds.

        ``was_error`` is true for an answer that is a failure of the target.
        """
        candidate = self._by_id.get(target_id)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            candidate.record_answer(kind, seconds, now, was_error=was_error)
        elif reason is RefusalReason.LEAVING:
            candidate.record_leaving(now)
        elif outcome is not Outcome.NOT_RUN:
            candidate.record_failure(now, self._rng.random())
        elif reason not in _NOT_OF_THE_TARGET:
            candidate.record_shed()

    def _staying(
        self,
        candidate_by_id: Mapping[str, Candidate],
        request: PlacementRequest,
        is_unreachable: Callable[[str], bool] = _is_never_unreachable,
    ) -> list[Candidate]:
        """Return the candidates that a call may go to."""
        return [
            candidate
            for target_id, candidate in candidate_by_id.items()
            if not candidate.member.is_leaving
            and request.may_go_to(target_id)
            and not is_unreachable(target_id)
        ]

    def _healthy(
        self,
        candidates: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Leave out ejected targets, unless most targets are ejected."""
        healthy = [each for each in candidates if not each.is_ejected(now)]
        if len(healthy) < len(candidates) * (1 - _MAX_EJECTED_SHARE):
            return candidates
        return healthy

    def _newcomer(
        self,
        request: PlacementRequest,
        usable: list[Candidate],
    ) -> RouteMember | None:
        """Return a target to which this node has not sent a call yet.

        One call of each node verifies that a new target works.
        """
        if not request.may_explore or not self._newcomers:
            return None
        for candidate in usable:
            if candidate.member.node in self._newcomers:
                return candidate.member
        return None

    def _best(
        self,
        usable: list[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate:
        near: list[Candidate] = []
        far: list[Candidate] = []
        for candidate in usable:
            domain = candidate.member.failure_domain
            is_near = domain == self._own_failure_domain
            (near if is_near else far).append(candidate)
        if not near or not far:
            return self._better_of_two(usable, request, now)
        best_near = self._better_of_two(near, request, now)
        best_far = self._better_of_two(far, request, now)
        if self._goes_far(best_near, best_far, request, now):
            return best_far
        return best_near

    def _goes_far(
        self,
        near: Candidate,
        far: Candidate,
        request: PlacementRequest,
        now: float,
    ) -> bool:
        failure_gap = near.failure_share - far.failure_share
        if failure_gap > _MAX_FAILURE_GAP:
            return True
        near_seconds = near.expected_seconds(request.kind, now)
        far_seconds = far.expected_seconds(request.kind, now)
        is_slow = near_seconds > request.seconds * _MAX_NEAR_TIME_SHARE
        if is_slow and not far.has_answered(request.kind):
            return self._rng.random() < _PROBE_SHARE
        if is_slow and far_seconds < near_seconds * _MAX_FAR_DURATION_SHARE:
            return True
        utilisation = near.utilisation(now)
        if utilisation <= _MAX_NEAR_UTILISATION:
            return False
        gap = 1 - far.utilisation(now) / utilisation
        return self._rng.random() < (gap - _MIN_GAP) / _GAP_SPAN

    def _better_of_two(
        self,
        candidates: list[Candidate],
        request: PlacementRequest,
        now: float,
    ) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        first_cost = first.cost(request.kind, now)
        second_cost = second.cost(request.kind, now)
        return first if first_cost <= second_cost else second
