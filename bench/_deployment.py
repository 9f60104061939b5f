"""The two simulated deployments: services, their sizes and request kinds."""

from lovageshunt._record import Record


class Step(Record):
    """A call of ``service`` and the downstream calls it makes in sequence."""

    __slots__ = ('service', 'downstream')

    def __init__(self, service: str, *downstream: 'Step') -> None:
        self.service = service
        self.downstream = downstream


class Service(Record):
    """Size of a service.

    ``slots`` and ``connections`` are per instance; ``work_seconds`` is the mean
    time of a call's own work, without its downstream calls.
    """

    __slots__ = ('instances', 'slots', 'connections', 'work_seconds')

    def __init__(
        self,
        *,
        instances: int,
        slots: int,
        connections: int,
        work_seconds: float,
    ) -> None:
        self.instances = instances
        self.slots = slots
        self.connections = connections
        self.work_seconds = work_seconds


class Kind(Record):
    """A kind of request.

    ``share`` is its fraction of all requests; ``is_repeatable`` says whether
    it may run more than once.
    """

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
        self.name = name
        self.importance = importance
        self.share = share
        self.step = step
        self.is_repeatable = is_repeatable


class Deployment(Record):
    """A call graph with the sizes of its services.

    ``request_timeout_seconds`` is how long a client waits for the answer,
    counted from its first attempt. ``link_delay_seconds`` is the one-way delay
    between failure domains, ``client_delay_seconds`` that between a client and
    a node. ``bottleneck`` names the service that limits the capacity.
    """

    __slots__ = (
        'name',
        'service_by_name',
        'kinds',
        'bottleneck',
        'request_timeout_seconds',
        'link_delay_seconds',
        'client_delay_seconds',
    )

    def __init__(
        self,
        *,
        name: str,
        service_by_name: dict[str, Service],
        kinds: tuple[Kind, ...],
        bottleneck: str,
        request_timeout_seconds: float,
        link_delay_seconds: float,
        client_delay_seconds: float,
    ) -> None:
        self.name = name
        self.service_by_name = service_by_name
        self.kinds = kinds
        self.bottleneck = bottleneck
        self.request_timeout_seconds = request_timeout_seconds
        self.link_delay_seconds = link_delay_seconds
        self.client_delay_seconds = client_delay_seconds

    def reaches_bottleneck(self, step: Step) -> bool:
        """Whether the call or one downstream of it is to the bottleneck."""
        return step.service == self.bottleneck or any(
            self.reaches_bottleneck(downstream)
            for downstream in step.downstream
        )

    @property
    def bottleneck_rate(self) -> float:
        """Calls per second that the bottleneck service can serve."""
        service = self.service_by_name[self.bottleneck]
        return service.instances * service.slots / service.work_seconds

    @property
    def capacity(self) -> float:
        """Requests per second of this mix that can be served."""
        bottleneck_share = sum(
            kind.share
            for kind in self.kinds
            if self.reaches_bottleneck(kind.step)
        )
        return self.bottleneck_rate / bottleneck_share


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
    request_timeout_seconds=3,
    link_delay_seconds=0.00075,
    client_delay_seconds=0.0005,
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
    request_timeout_seconds=6,
    link_delay_seconds=0.00025,
    client_delay_seconds=0.0015,
)
