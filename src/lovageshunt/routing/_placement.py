"""Places calls at targets whose nodes tell their load several times a second.

It answers for three loads: a calm day, on which calls stay in their failure
domain; a domain whose targets are slow, full or failing, whose calls are sent
elsewhere as far as they would come too late; and a fleet that is full
everywhere, where the emptier target is taken.
"""

from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing._candidate import Candidate
from lovageshunt.routing._member import RouteMember

#: The share of its slots up to which a near target keeps its calls.
_ROOM_SHARE: Final = 0.9
#: By how much another target has to be less used, as a share of the near
#: one's use, and the further difference at which every call goes there.
_LEAST_GAP: Final = 0.15
_GAP_SPAN: Final = 0.8
#: The share of the time that a call has, within which a near target's usual
#: answer must come; twice the mean is about what one call in ten takes.
_PATIENCE: Final = 0.55
#: How much faster another target has to be, as a share of the near one.
_FASTER: Final = 0.75
#: The share of a slow target's calls that try one that was not seen yet.
_TRIAL_SHARE: Final = 0.1
#: By how much its share of failures may be above the best target's.
_FAILURE_GAP: Final = 0.15
#: When more than this share of the targets looks bad, none is left out.
_MOST_EJECTED_SHARE: Final = 0.5
_NOBODY: Final[frozenset[str]] = frozenset()


class PlacementRequest(Record):
    """A call to be placed: its kind, its time, and where it must not go.

    ``seconds`` is the time within which its answer is worth most, ``allowed``
    the targets that it may go to, any if that is nothing.
    """

    __slots__ = ('kind', 'seconds', 'may_explore', 'excluded', 'allowed')

    def __init__(
        self,
        *,
        kind: str,
        seconds: float,
        may_explore: bool,
        excluded: frozenset[str] = _NOBODY,
        allowed: frozenset[str] | None = None,
    ) -> None:
        """Take every field; ``may_explore`` lets it try a newcomer."""
        self.kind = kind
        self.seconds = seconds
        self.may_explore = may_explore
        self.excluded = excluded
        self.allowed = allowed

    def may_go_to(self, target_id: str) -> bool:
        """Tell whether the call may be sent to a target."""
        if target_id in self.excluded:
            return False
        return self.allowed is None or target_id in self.allowed


class Placement:
    """Chooses among the targets of one service.

    Each ``started`` is followed by one ``ended`` or ``abandoned``.
    """

    __slots__ = ('_own_failure_domain', '_rng', '_by_id', '_newcomers')

    def __init__(self, own_failure_domain: str, rng: Random) -> None:
        """Start with no targets."""
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._by_id: dict[str, Candidate] = {}
        self._newcomers: list[str] = []

    @property
    def candidates(self) -> list[Candidate]:
        """Return every target."""
        return list(self._by_id.values())

    def set_members(
        self,
        members: list[RouteMember],
        cold_until_by_id: dict[str, float],
    ) -> None:
        """Replace the picture; what is known of the same targets is kept."""
        known = self._by_id
        self._by_id = {}
        for member in members:
            candidate = known.get(member.node)
            if candidate is None or candidate.is_reborn(member):
                candidate = Candidate(member)
                if known:
                    self._newcomers.append(member.node)
            candidate.member = member
            candidate.cold_until = cold_until_by_id.get(member.node, 0)
            self._by_id[member.node] = candidate

    def heard(self, target_id: str, load: LoadReport, now: float) -> None:
        """Take a target's load as its node told it."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.heard(load, now)

    def choose(
        self,
        wanted: PlacementRequest,
        now: float,
        unreachable: frozenset[str] = _NOBODY,
    ) -> RouteMember | None:
        """Return the target for a call, or nothing if none may be used.

        ``unreachable`` are used only when there is no other.
        """
        staying = [
            candidate
            for target_id, candidate in self._by_id.items()
            if wanted.may_go_to(target_id) and not candidate.member.is_leaving
        ]
        usable = [
            candidate
            for candidate in staying
            if candidate.member.node not in unreachable
        ]
        usable = self._trusted(usable or staying, now)
        if not usable:
            return None
        newcomer = self._newcomer(wanted, usable)
        if newcomer is not None:
            return newcomer
        return self._best(usable, wanted, now).member

    def started(self, target_id: str) -> None:
        """Note that a call was sent to a target."""
        candidate = self._by_id.get(target_id)
        if candidate is not None:
            candidate.in_flight += 1
            if target_id in self._newcomers:
                self._newcomers.remove(target_id)

    def abandoned(self, target_id: str) -> None:
        """Note that a call was given up, which says nothing of its target."""
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
        """Note how a call ended; ``was_error`` is a failure of the target."""
        candidate = self._by_id.get(target_id)
        if candidate is None:
            return
        candidate.in_flight = max(0, candidate.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            candidate.answered(kind, seconds, now, was_error=was_error)
        elif reason is RefusalReason.LEAVING:
            candidate.refused_leaving(now)
        elif outcome is not Outcome.NOT_RUN:
            candidate.failed(now, self._rng.random())
        elif reason is not RefusalReason.OVERLOAD:
            candidate.shed()

    def _trusted(
        self,
        candidates: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Leave out failing targets, unless most look as if they failed."""
        sound = [each for each in candidates if not each.is_ejected(now)]
        if len(sound) < len(candidates) * (1 - _MOST_EJECTED_SHARE):
            return candidates
        return sound

    def _newcomer(
        self,
        wanted: PlacementRequest,
        usable: list[Candidate],
    ) -> RouteMember | None:
        """Let one call of each node show that a new target works."""
        if not wanted.may_explore or not self._newcomers:
            return None
        for candidate in usable:
            if candidate.member.node in self._newcomers:
                return candidate.member
        return None

    def _best(
        self,
        usable: list[Candidate],
        wanted: PlacementRequest,
        now: float,
    ) -> Candidate:
        near = [
            candidate
            for candidate in usable
            if candidate.member.failure_domain == self._own_failure_domain
        ]
        if not near:
            return self._better_of_two(usable, wanted, now)
        if len(near) == len(usable):
            return self._better_of_two(near, wanted, now)
        best_near = self._better_of_two(near, wanted, now)
        far = [each for each in usable if each not in near]
        best_far = self._better_of_two(far, wanted, now)
        if self._goes_far(best_near, best_far, wanted, now):
            return best_far
        return best_near

    def _goes_far(
        self,
        near: Candidate,
        far: Candidate,
        wanted: PlacementRequest,
        now: float,
    ) -> bool:
        failure_gap = near.failure_share - far.failure_share
        if failure_gap > _FAILURE_GAP:
            return True
        near_seconds = near.expected_seconds(wanted.kind, now)
        far_seconds = far.expected_seconds(wanted.kind, now)
        is_slow = near_seconds > wanted.seconds * _PATIENCE
        if is_slow and not far.has_seen(wanted.kind):
            return self._rng.random() < _TRIAL_SHARE
        if is_slow and far_seconds < near_seconds * _FASTER:
            return True
        used = near.utilisation(now)
        if used <= _ROOM_SHARE:
            return False
        gap = 1 - far.utilisation(now) / used
        return self._rng.random() < (gap - _LEAST_GAP) / _GAP_SPAN

    def _better_of_two(
        self,
        candidates: list[Candidate],
        wanted: PlacementRequest,
        now: float,
    ) -> Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        first_cost = first.cost(wanted.kind, now)
        second_cost = second.cost(wanted.kind, now)
        return first if first_cost <= second_cost else second
