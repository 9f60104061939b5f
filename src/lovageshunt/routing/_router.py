"""Which target of a service a call is sent to."""

from random import Random

from lovageshunt.calls import LoadReport, Outcome, RefusalReason
from lovageshunt.routing._member import RouteMember
from lovageshunt.routing._settings import RouterSettings
from lovageshunt.routing._tiers import Tiers
from lovageshunt.routing._view import TargetView

_HALF = 0.5
_NOBODY: frozenset[str] = frozenset()
_FULL = frozenset((RefusalReason.OVERLOAD, RefusalReason.QUEUE_FULL))


class Router:
    """Chooses among the targets of one service.

    Each ``started`` is followed by one ``answered`` or ``lost``.
    """

    __slots__ = (
        '_service',
        '_rng',
        '_settings',
        '_tiers',
        '_view_by_node',
        '_left',
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
        """Start with no targets."""
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
        self._left: set[tuple[str, str]] = set()

    def set_members(self, members: list[RouteMember], now: float) -> None:
        """Replace the picture; what is known of the same targets is kept."""
        known = self._view_by_node
        # The first picture holds no newcomers: all are equally unknown.
        joined_at = now if known else float('-inf')
        self._view_by_node = {
            member.node: self._view_of(member, joined_at)
            for member in members
            if member.service == self._service
        }
        listed = {(member.node, member.incarnation) for member in members}
        self._left &= listed

    def choose(
        self,
        now: float,
        excluded: frozenset[str] = _NOBODY,
    ) -> RouteMember | None:
        """Return the target for a call, or nothing if none may be used."""
        staying = [
            view
            for node, view in self._view_by_node.items()
            if node not in excluded and not self._is_leaving(view.member)
        ]
        if not staying:
            return None
        usable = [view for view in staying if not view.is_ejected(now)]
        if len(usable) < len(staying) * (1 - self._settings.most_ejected_share):
            # When most targets look bad, the picture is at fault.
            usable = staying
        tier = self._tiers.pick(usable, now)
        return self._better_of_two(tier, now).member

    def started(self, node: str, now: float) -> None:
        """Note that a call was sent to a target."""
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
        """Note how a call ended and the load that its answer carried."""
        view = self._view_by_node.get(node)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        if load is not None:
            view.report(load, now)
        if outcome is Outcome.ANSWERED:
            view.succeeded(seconds)
            return
        if reason is RefusalReason.LEAVING:
            self._left.add((node, view.member.incarnation))
            return
        if reason in _FULL:
            view.refused(now)
            return
        if outcome is not Outcome.NOT_RUN:
            self._count_failure(view, now, seconds)

    def lost(self, node: str, now: float) -> None:
        """Note that a call ended without an answer."""
        view = self._view_by_node.get(node)
        if view is None:
            return
        view.in_flight = max(0, view.in_flight - 1)
        self._count_failure(view, now, 0)

    def _count_failure(
        self,
        view: TargetView,
        now: float,
        seconds: float,
    ) -> None:
        if view.failed(seconds):
            view.eject(now, _HALF + self._rng.random())

    def _view_of(self, member: RouteMember, joined_at: float) -> TargetView:
        view = self._view_by_node.get(member.node)
        if view is None or view.member.incarnation != member.incarnation:
            return TargetView(member, self._settings, joined_at)
        view.member = member
        return view

    def _is_leaving(self, member: RouteMember) -> bool:
        has_left = (member.node, member.incarnation) in self._left
        return member.is_leaving or has_left

    def _better_of_two(self, tier: list[TargetView], now: float) -> TargetView:
        first = self._warm_one(tier, now)
        second = self._warm_one(tier, now)
        return min(first, second, key=lambda view: view.cost(now))

    def _warm_one(self, tier: list[TargetView], now: float) -> TargetView:
        weights = [view.warmth(now) for view in tier]
        return self._rng.choices(tier, weights)[0]
