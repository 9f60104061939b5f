"""Small versions of the two example deployments."""

from pathlib import Path

from standins.fleet import ServicePlan

_EXAMPLES = Path(__file__).parent.parent / 'examples'


class DeploymentPlan:
    """A deployment and its load.

    ``sheet`` is the path of its rules; ``lookup`` and ``purchase`` are the
    pairs of service and path that callers request; ``stopped_vm`` is the VM
    whose node is stopped under load.
    """

    def __init__(
        self,
        name: str,
        *,
        services: list[ServicePlan],
        lookup: tuple[str, str],
        purchase: tuple[str, str],
        stopped_vm: str,
    ) -> None:
        self.name = name
        self.sheet = _EXAMPLES / name / 'rules.csv'
        self.services = services
        self.lookup = lookup
        self.purchase = purchase
        self.stopped_vm = stopped_vm


NAHR_LABS = DeploymentPlan(
    'nahr-labs',
    services=[
        ServicePlan(
            'payments',
            instances=2,
            slots=160,
            service_ms=5,
            calls=(('records', '/records/entry'),),
        ),
        ServicePlan(
            'balances',
            instances=2,
            slots=160,
            service_ms=3,
            calls=(('records', '/records/7'),),
        ),
        ServicePlan(
            'tariffs',
            instances=2,
            slots=160,
            service_ms=2,
            calls=(('records', '/records/9'),),
        ),
        ServicePlan('records', instances=2, slots=20, service_ms=10),
    ],
    lookup=('balances', '/balances/7'),
    purchase=('payments', '/tokens'),
    stopped_vm='payments-1',
)

DESPENSA = DeploymentPlan(
    'despensa',
    services=[
        ServicePlan(
            'listas',
            instances=2,
            slots=35,
            service_ms=5,
            calls=(('stock', '/stock/4'),),
        ),
        ServicePlan(
            'pedidos',
            instances=2,
            slots=45,
            service_ms=5,
            calls=(('stock', '/stock/4'),),
        ),
        ServicePlan(
            'stock',
            instances=2,
            slots=45,
            service_ms=3,
            calls=(('precios', '/precios/4'),),
        ),
        ServicePlan('precios', instances=2, slots=15, service_ms=10),
    ],
    lookup=('listas', '/listas/4'),
    purchase=('pedidos', '/pedidos'),
    stopped_vm='stock-1',
)
