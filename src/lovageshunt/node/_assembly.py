"""Wires the components of a node together from its settings."""

from collections.abc import Callable
from random import Random
from time import time
from typing import Final

from lovageshunt.account import Account, AccountPeer, AccountReplicator
from lovageshunt.calls import ContextKey
from lovageshunt.client import ClientOptions, Engine, Transport
from lovageshunt.membership import new_incarnation
from lovageshunt.node._factories import build_election, build_gate
from lovageshunt.node._runtime import Runtime
from lovageshunt.node.admin._admin import Admin
from lovageshunt.node.admin._reports import Reports
from lovageshunt.node.admin._security import (
    admin_tls,
    client_tls,
    ingress_tls,
    read_context_key,
    read_token,
)
from lovageshunt.node.admin._servers import (
    EmbeddedServer,
    ServerTls,
    make_server,
)
from lovageshunt.node.control._control import Control
from lovageshunt.node.control._fleet_view import FleetView
from lovageshunt.node.control._identity import Identity
from lovageshunt.node.control._inquiries import Inquiries
from lovageshunt.node.control._life import NodeLife
from lovageshunt.node.control._outbox import PeerOutbox
from lovageshunt.node.control._peer_confirmations import PeerConfirmations
from lovageshunt.node.control._peer_link import PeerLink
from lovageshunt.node.control._platform_loop import PlatformLoop
from lovageshunt.node.control._settler import SettlingController
from lovageshunt.node.egress._egress import Egress
from lovageshunt.node.egress._served_calls import CallingTargetLink, ServedCalls
from lovageshunt.node.serving._call_meter import CallMeter
from lovageshunt.node.serving._calls import Calls
from lovageshunt.node.serving._ingress import Ingress
from lovageshunt.node.serving._target import TargetLink
from lovageshunt.observability import Metrics, Traces
from lovageshunt.published import PlatformReader
from lovageshunt.settings import NodeSettings

#: Spans of this duration or longer are recorded even if not sampled.
_SLOW_SPAN_SECONDS: Final = 1.0
#: Shorter than the idle timeout of most servers, so that a call that must not
#: be repeated is not sent on a connection that the target is closing.
_TARGET_KEEP_ALIVE_SECONDS: Final = 2.0


class Assembly:
    """The components of one node, and the order in which they are wired.

    ``suppressed`` returns how many log records were rate limited. No
    connection is opened before ``open``.
    """

    def __init__(
        self,
        settings: NodeSettings,
        suppressed: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._suppressed = suppressed
        self._build_links(Random())  # noqa: S311
        self._build_meter()
        self._build_calls()
        self._build_reports()
        self.runtime = self._runtime()

    async def open(self) -> None:
        """Open the transports; must run on the event loop that uses them."""
        await self._transport.start()
        await self._plain.start()
        await self._single_use.start()

    async def close(self) -> None:
        """Cancel running tasks and close all connections."""
        await self._platform.stop()
        await self._calls.stop()
        await self._transport.close()
        await self._plain.close()
        await self._single_use.close()

    @property
    def rules_generation(self) -> int:
        """Return the generation of the rules in force; 0 before the first."""
        document = self._control.rules.current
        return 0 if document is None else document.generation

    @property
    def request_ids(self) -> list[str]:
        """Return the sorted request ids of the calls in progress."""
        return self._calls.request_ids

    def servers(self) -> tuple[EmbeddedServer, ...]:
        """Return the ingress and admin servers, and egress if configured."""
        ingress = Ingress(
            control=self._control,
            gate=self._gate,
            calls=self._calls,
            meter=self._meter,
            max_body_bytes=self._settings.limits.body_bytes,
            check_for_pause=self.runtime.check_for_pause,
            keep_account=self.runtime.keep_account,
            calls_below=bool(self._settings.calls.services),
            key=self._key,
        )
        security = self._settings.security
        admin = Admin(
            self.runtime,
            self._reports,
            token=read_token(security),
            requires_peer_certificate=security.authority_file is not None,
        )
        drain_seconds = int(self._settings.limits.drain_seconds)
        servers = [
            make_server(
                ingress,
                self._identity.ingress,
                ingress_tls(security),
                drain_seconds,
            ),
            make_server(
                admin.app(),
                self._identity.admin,
                admin_tls(security),
                drain_seconds,
            ),
        ]
        egress_address = self._settings.listen.egress
        if egress_address is not None:
            address = str(egress_address)
            # Egress is on loopback only, as the target is: it needs no TLS.
            servers.append(
                make_server(
                    self._egress(), address, ServerTls(), drain_seconds
                ),
            )
        return tuple(servers)

    def _egress(self) -> Egress:
        return Egress(
            control=self._control,
            engine=self._engine,
            served_calls=self._below,
            called_services=self._settings.calls.services,
            max_body_bytes=self._settings.limits.body_bytes,
            keep_account=self.runtime.keep_account,
        )

    def _build_links(self, rng: Random) -> None:
        settings = self._settings
        body_bytes = settings.limits.body_bytes
        self._identity = _identity_of(settings, rng)
        self._transport = Transport(
            max_body_bytes=body_bytes,
            tls=client_tls(settings.security),
        )
        self._plain = Transport(
            max_body_bytes=body_bytes,
            keep_alive_seconds=_TARGET_KEEP_ALIVE_SECONDS,
        )
        self._single_use = Transport(
            max_body_bytes=body_bytes, keep_alive_seconds=0
        )
        self._key = read_context_key(settings.security)
        options = _options_of(settings, self._key)
        self._engine = Engine(options, self._transport, rng)
        self._below = ServedCalls(self._engine)
        self._link = PeerLink(self._transport, read_token(settings.security))
        self._outbox = PeerOutbox(self._identity, self._link)
        fleet = FleetView(
            identity=self._identity,
            called_services=settings.calls.services,
            election=build_election(settings, rng),
            outbox=self._outbox,
            rng=rng,
        )
        self._control = Control(
            identity=self._identity,
            called_services=settings.calls.services,
            fleet=fleet,
            outbox=self._outbox,
            rng=rng,
        )
        self._platform = PlatformLoop(
            PlatformReader(
                addresses=tuple(map(str, settings.platform.addresses)),
                transport=self._plain,
            ),
            self._control.handle_event,
        )
        fleet.read_platform = self._platform.start
        self._control.read_rules = self._platform.read_rules

    def _build_meter(self) -> None:
        identity = self._identity
        self._account = Account(identity.name, identity.incarnation, time())
        self._keeping = AccountReplicator(
            self._account,
            AccountPeer(
                node=identity.name,
                incarnation=identity.incarnation,
                failure_domain=identity.failure_domain,
            ),
        )
        self._metrics = Metrics(identity.name)
        self._traces = Traces(
            node=identity.name,
            sampling_ratio=self._settings.traces.sample_ratio,
            slow_seconds=_SLOW_SPAN_SECONDS,
        )
        self._meter = CallMeter(
            identity.service,
            account=self._account,
            traces=self._traces,
            metrics=self._metrics,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self._gate = build_gate(settings, self._identity)
        self._target = self._target_link()
        self._inquiries = Inquiries(
            self._control,
            self._link,
            self._transport,
            self._key,
        )
        self._calls = Calls(
            identity=self._identity,
            gate=self._gate,
            target=self._target,
            inquiries=self._inquiries,
            key=self._key,
            meter=self._meter,
        )

    def _target_link(self) -> TargetLink:
        settings = self._settings
        target = settings.target
        if settings.listen.egress is None:
            return TargetLink(
                address=str(target.address),
                transport=self._plain,
                single_use=self._single_use,
                health_path=target.health_path,
                load_path=target.load_path,
            )
        return CallingTargetLink(
            address=str(target.address),
            transport=self._plain,
            single_use=self._single_use,
            health_path=target.health_path,
            load_path=target.load_path,
            served_calls=self._below,
        )

    def _build_reports(self) -> None:
        self._life = NodeLife()
        self._reports = Reports(
            control=self._control,
            gate=self._gate,
            account=self._account,
            kept=self._keeping.kept,
            link=self._link,
            traces=self._traces,
            metrics=self._metrics,
            life=self._life,
            slots=self._settings.target.slots,
            suppressed=self._suppressed,
        )

    def _runtime(self) -> Runtime:
        limits = self._settings.limits
        return Runtime(
            identity=self._identity,
            control=self._control,
            gate=self._gate,
            calls=self._calls,
            inquiries=self._inquiries,
            target=self._target,
            keeping=self._keeping,
            pauses=self._metrics.series('lovageshunt_pauses_total'),
            settler=SettlingController(
                PeerConfirmations(self._control, self._outbox, self._link),
                self._life,
                handle_event=self._calls.handle,
                settle_seconds=limits.settle_seconds,
                transit_seconds=limits.transit_seconds,
            ),
            life=self._life,
            leave_seconds=limits.leave_seconds,
            drain_seconds=limits.drain_seconds,
        )


def _options_of(
    settings: NodeSettings,
    key: ContextKey | None,
) -> ClientOptions:
    return ClientOptions(
        name=settings.node.name,
        failure_domain=settings.node.failure_domain,
        region=settings.node.region,
        seeds=(),
        services=settings.calls.services,
        context_key=key,
    )


def _identity_of(settings: NodeSettings, rng: Random) -> Identity:
    return Identity(
        name=settings.node.name,
        service=settings.node.service,
        failure_domain=settings.node.failure_domain,
        region=settings.node.region,
        ingress=str(settings.listen.ingress),
        admin=str(settings.listen.admin),
        incarnation=new_incarnation(time(), rng),
    )
