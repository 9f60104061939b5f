"""What all calls of one client share: the view, routers and budgets."""

from random import Random
from time import time
from typing import Final
from uuid import uuid4

from lovageshunt.account import Account, Role
from lovageshunt.admission import CallerThresholds
from lovageshunt.calls import AnswerInfo
from lovageshunt.client._options import ClientOptions
from lovageshunt.client._transport import Transport
from lovageshunt.client._view import EMPTY_VIEW, View
from lovageshunt.retries import RetryBudget, RetryBudgetSettings
from lovageshunt.routing import Router

#: A typical time of answer before any was seen.
_FIRST_TYPICAL_SECONDS: Final = 0.02
_SMOOTHING: Final = 0.1


class ServiceLink:
    """What a client remembers of one service that it calls."""

    __slots__ = ('router', 'budget', 'typical_seconds', 'calls_below')

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        """Start with a guess of the time of answer."""
        self.router = router
        self.budget = budget
        self.typical_seconds = _FIRST_TYPICAL_SECONDS
        #: Whether the service calls others; its answers tell.
        self.calls_below = True

    def succeeded(self, seconds: float, now: float) -> None:
        """Take the time of a whole answer."""
        change = seconds - self.typical_seconds
        self.typical_seconds += _SMOOTHING * change
        self.budget.succeeded(now)


class Engine:
    """Holds the decisions that calls share; one for each client."""

    def __init__(
        self,
        options: ClientOptions,
        transport: Transport,
        rng: Random,
    ) -> None:
        """Start with an empty view."""
        self.options = options
        self.transport = transport
        self.rng = rng
        self.view: View = EMPTY_VIEW
        self.thresholds = CallerThresholds()
        self.account = Account(
            options.name,
            uuid4().hex,
            time(),
            role=Role.CALLER,
        )
        self._link_by_service: dict[str, ServiceLink] = {}

    def adopt(self, view: View, now: float) -> None:
        """Take a new view; what is known of the same members is kept."""
        self.view = view
        for service, members in view.members_by_service.items():
            self.link(service, now).router.set_members(members, now)

    def link(self, service: str, now: float) -> ServiceLink:
        """Return what is known of one service."""
        known = self._link_by_service.get(service)
        if known is not None:
            return known
        router = Router(
            service=service,
            own_failure_domain=self.options.failure_domain,
            own_region=self.options.region,
            rng=self.rng,
        )
        link = ServiceLink(router, RetryBudget(RetryBudgetSettings(), now))
        self._link_by_service[service] = link
        return link

    def refusal_ms(
        self,
        service: str,
        kind: str,
        level: int,
        now: float,
    ) -> int | None:
        """Return when to come back if a service below would refuse now."""
        own = self.thresholds.verdict(service, level, now)
        if own is not None:
            return own
        named = f'{service}/{kind}'
        return self.thresholds.verdict_of_kind(named, level, now)

    def learn(
        self,
        service: str,
        kind: str,
        said: AnswerInfo,
        now: float,
    ) -> None:
        """Take the thresholds that rode on an answer."""
        by_service = said.threshold_by_service
        for named, threshold in by_service.items():
            self.thresholds.learn(named, threshold, now)
        below = [other for other in by_service if other != service]
        if below:
            self.thresholds.record_dependencies(f'{service}/{kind}', below, now)
