"""The two deployments: services, their sizes and their request kinds."""

from lovageshunt._record import Record


class Step(Record):
    """A call of a service and the calls it makes, one after the other."""

    __slots__ = ('service', 'below')

    def __init__(self, service: str, *below: 'Step') -> None:
        """Name the service and what it calls."""
        self.service = service
        self.below = below


class Service(Record):
    """One service: its instances, slots and mean time of its own work."""

    __slots__ = ('instances', 'slots', 'connections', 'work_seconds')

    def __init__(
        self,
        *,
        instances: int,
        slots: int,
        connections: int,
        work_seconds: float,
    ) -> None:
        """Take every field by name."""
        self.instances = instances
        self.slots = slots
        self.connections = connections
        self.work_seconds = work_seconds


class Kind(Record):
    """A kind of request: its share of the load and what it calls."""

    __slots__ = ('name', 'importance', 'share', 'step', 'is_repeatable')

    def __init__(
        self,
        *,
        name: str,
        importance: int,
        share: float,
        step: Step,
        is_repeatable: bool = True,
    ) -> None:
        """Take every field by name."""
        self.name = name
        self.importance = importance
        self.share = share
        self.step = step
        self.is_repeatable = is_repeatable


class Deployment(Record):
    """A call graph at its users' sizes.

    ``patience_seconds`` is how long a person waits for a whole answer from
    the first attempt on, ``link_seconds`` one way between failure domains.
    """

    __slots__ = (
        'name',
        'service_by_name',
        'kinds',
        'bottleneck',
        'patience_seconds',
        'link_seconds',
        'client_seconds',
    )

    def __init__(
        self,
        *,
        name: str,
        service_by_name: dict[str, Service],
        kinds: tuple[Kind, ...],
        bottleneck: str,
        patience_seconds: float,
        link_seconds: float,
        client_seconds: float,
    ) -> None:
        """Take every field by name."""
        self.name = name
        self.service_by_name = service_by_name
        self.kinds = kinds
        self.bottleneck = bottleneck
        self.patience_seconds = patience_seconds
        self.link_seconds = link_seconds
        self.client_seconds = client_seconds

    def needs_bottleneck(self, step: Step) -> bool:
        """Tell whether a call reaches the deep service."""
        return step.service == self.bottleneck or any(
            self.needs_bottleneck(below) for below in step.below
        )

    @property
    def bottleneck_rate(self) -> float:
        """Return the calls a second that the deep service can serve."""
        deep = self.service_by_name[self.bottleneck]
        return deep.instances * deep.slots / deep.work_seconds

    @property
    def capacity(self) -> float:
        """Return the requests a second of this mix that can be served."""
        deep_share = sum(
            kind.share
            for kind in self.kinds
            if self.needs_bottleneck(kind.step)
        )
        return self.bottleneck_rate / deep_share


_RECORDS = Step('records')
_BALANCES = Step('balances', _RECORDS)

NAHR = Deployment(
    name='nahr',
    service_by_name={
        'payments': Service(
            instances=3,
            slots=160,
            connections=1000,
            work_seconds=0.01,
        ),
        'balances': Service(
            instances=3,
            slots=160,
            connections=1000,
            work_seconds=0.01,
        ),
        'tariffs': Service(
            instances=3,
            slots=160,
            connections=1000,
            work_seconds=0.01,
        ),
        'records': Service(
            instances=3,
            slots=20,
            connections=230,
            work_seconds=0.1,
        ),
    },
    kinds=(
        Kind(
            name='purchase',
            importance=0,
            share=0.15,
            step=Step('payments', Step('tariffs', _BALANCES)),
            is_repeatable=False,
        ),
        Kind(name='balance', importance=2, share=0.45, step=_BALANCES),
        Kind(name='tariff', importance=3, share=0.2, step=Step('tariffs')),
        Kind(
            name='history',
            importance=5,
            share=0.2,
            step=Step('payments', _BALANCES),
        ),
    ),
    bottleneck='records',
    patience_seconds=3,
    link_seconds=0.00075,
    client_seconds=0.0005,
)

_PRECIOS = Step('precios')
_STOCK = Step('stock', _PRECIOS)

AGENCIA = Deployment(
    name='agencia',
    service_by_name={
        'listas': Service(
            instances=4,
            slots=35,
            connections=300,
            work_seconds=0.01,
        ),
        'pedidos': Service(
            instances=3,
            slots=45,
            connections=360,
            work_seconds=0.01,
        ),
        'stock': Service(
            instances=3,
            slots=45,
            connections=360,
            work_seconds=0.01,
        ),
        'precios': Service(
            instances=3,
            slots=15,
            connections=200,
            work_seconds=0.075,
        ),
    },
    kinds=(
        Kind(
            name='order',
            importance=0,
            share=0.15,
            step=Step('listas', Step('pedidos', _STOCK)),
            is_repeatable=False,
        ),
        Kind(
            name='list',
            importance=2,
            share=0.45,
            step=Step('listas', _PRECIOS),
        ),
        Kind(name='stock', importance=4, share=0.4, step=_STOCK),
    ),
    bottleneck='precios',
    patience_seconds=6,
    link_seconds=0.00025,
    client_seconds=0.0015,
)
