"""Choice of the target of a service that a call is sent to."""

from random import Random

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._settings import RouterSettings
from lovageshunt.routing._tiers import Tiers
from lovageshunt.routing._view import TargetView

_HALF = 0.5
_NO_TARGETS: frozenset[str] = frozenset()
_FULL = frozenset((RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL))


class Router:
    """Chooses among the targets of one service.

    Each ``started`` must be followed by one ``answered`` or ``lost``.
    """

    __slots__ = (
        '_service',
        '_rng',
        '_settings',
        '_tiers',
        '_view_by_node',
        '_leaving',
    )

    def __init__(
        self,
        *,
        service: str,
        own_failure_domain: str,
        own_region: str,
        rng: Random,
        settings: RouterSettings | None = None,
    ) -> None:
        self._service = service
        self._rng = rng
        self._settings = settings or RouterSettings()
        self._tiers = Tiers(
            failure_domain=own_failure_domain,
            region=own_region,
            rng=rng,
            settings=self._settings,
        )
        self._view_by_node: dict[str, TargetView] = {}
        self._leaving: set[tuple[str, str]] = set()

    def set_members(self, members: list[RouteMember], now: float) -> None:
        """Replace the list of targets; keep the statistics of known ones.

        Members of other services are ignored.
        """
        known = self._view_by_node
        # Targets of the first list need no slow start: none of them is newer
        # than the others.
        joined_at = now if known else float('-inf')
        self._view_by_node = {
            member.node: self._view_of(member, joined_at)
            for member in members
            if member.service == self._service
        }
        listed = {(member.node, member.incarnation) for member in members}
        self._leaving &= listed

    def choose(
        self,
        now: float,
        excluded: frozenset[str] = _NO_TARGETS,
    ) -> RouteMember | None:
        """Return the target for a call, or ``None`` if none may be used."""
        staying = [
            view
            for node, view in self._view_by_node.items()
            if node not in excluded and not self._is_leaving(view.member)
        ]
        if not staying:
            return None
        usable = [view for view in staying if not view.is_ejected(now)]
        if len(usable) < len(staying) * (1 - self._settings.max_ejected_share):
            # When most targets look unhealthy, the caller's statistics are
            # more likely to be wrong than the targets.
            usable = staying
        tier = self._tiers.pick(usable, now)
        return self._better_of_two(tier, now).member

    def started(self, node: str, now: float) -> None:
        """Record that a call was sent to a target."""
        view = self._view_by_node.get(node)
        if view is not None:
            view.in_flight += 1

    def answered(
        self,
        node: str,
        now: float,
        *,
        seconds: float,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        load: LoadReport | None = None,
    ) -> None:
        """Record how a call ended and the load reported in its answer.

        ``seconds`` is the duration of the call.
        """
        view = self._view_by_node.get(node)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            view.record_load(load, now)
        if outcome is Outcome.ANSWERED:
            view.record_success(seconds)
            return
        if reason is RefusalReason.LEAVING:
            self._leaving.add((node, view.member.incarnation))
            return
        if reason in _FULL:
            view.record_refusal(now)
            return
        if outcome is not Outcome.NOT_RUN:
            self._record_failure(view, now, seconds)

    def lost(self, node: str, now: float) -> None:
        """Record that a call ended without an answer."""
        view = self._view_by_node.get(node)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        self._record_failure(view, now, 0)

    def _record_failure(
        self,
        view: TargetView,
        now: float,
        seconds: float,
    ) -> None:
        if view.record_failure(seconds):
            view.eject(now, _HALF + self._rng.random())

    def _view_of(self, member: RouteMember, joined_at: float) -> TargetView:
        view = self._view_by_node.get(member.node)
        if view is None or view.member.incarnation != member.incarnation:
            return TargetView(member, self._settings, joined_at)
        view.member = member
        return view

    def _is_leaving(self, member: RouteMember) -> bool:
        has_announced = (member.node, member.incarnation) in self._leaving
        return member.is_leaving or has_announced

    def _better_of_two(self, tier: list[TargetView], now: float) -> TargetView:
        first = self._draw(tier, now)
        second = self._draw(tier, now)
        return min(first, second, key=lambda view: view.cost(now))

    def _draw(self, tier: list[TargetView], now: float) -> TargetView:
        weights = [view.slow_start_share(now) for view in tier]
        return self._rng.choices(tier, weights)[0]
