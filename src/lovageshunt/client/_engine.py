"""State that all calls of a client share: view, routers, retry budgets."""

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

#: Assumed until the first answer of a service has been measured.
_INITIAL_TYPICAL_SECONDS: Final = 0.02
#: Weight of a new sample in the moving average of answer times.
_SMOOTHING: Final = 0.1


class ServiceState:
    """What a client knows about one service that it calls.

    ``typical_seconds`` is a moving average of answer times. ``calls_below``
    is whether the service calls others, as its last answer reported.
    """

    __slots__ = ('router', 'budget', 'typical_seconds', 'calls_below')

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        self.router = router
        self.budget = budget
        self.typical_seconds = _INITIAL_TYPICAL_SECONDS
        self.calls_below = True

    def succeeded(self, seconds: float, now: float) -> None:
        """Record an answer and the time it took."""
        change = seconds - self.typical_seconds
        self.typical_seconds += _SMOOTHING * change
        self.budget.succeeded(now)


class Engine:
    """Holds the state behind the decisions of all calls of one client.

    The view is empty until ``adopt`` is called.
    """

    def __init__(
        self,
        options: ClientOptions,
        transport: Transport,
        rng: Random,
    ) -> None:
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
        self._state_by_service: dict[str, ServiceState] = {}

    def adopt(self, view: View, now: float) -> None:
        """Replace the view; routers keep the state of remaining members."""
        self.view = view
        for service, members in view.members_by_service.items():
            self.service_state(service, now).router.set_members(members, now)

    def service_state(self, service: str, now: float) -> ServiceState:
        """Return the state of one service, created on first use."""
        known = self._state_by_service.get(service)
        if known is not None:
            return known
        router = Router(
            service=service,
            own_failure_domain=self.options.failure_domain,
            own_region=self.options.region,
            rng=self.rng,
        )
        state = ServiceState(router, RetryBudget(RetryBudgetSettings(), now))
        self._state_by_service[service] = state
        return state

    def refusal_retry_after_ms(
        self,
        service: str,
        kind: str,
        level: int,
        now: float,
    ) -> int | None:
        """Return the retry-after if a call of this level would be refused.

        Considers the service itself and the services that this kind of call
        depends on; None means that the call may be sent.
        """
        retry_after_ms = self.thresholds.verdict(service, level, now)
        if retry_after_ms is not None:
            return retry_after_ms
        key = f'{service}/{kind}'
        return self.thresholds.verdict_of_kind(key, level, now)

    def learn_thresholds(
        self,
        service: str,
        kind: str,
        info: AnswerInfo,
        now: float,
    ) -> None:
        """Record the admission thresholds that an answer carried."""
        by_service = info.threshold_by_service
        for key, threshold in by_service.items():
            self.thresholds.learn(key, threshold, now)
        below = [other for other in by_service if other != service]
        if below:
            self.thresholds.record_dependencies(f'{service}/{kind}', below, now)
