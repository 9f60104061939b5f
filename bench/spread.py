"""Measure how long rules take to reach every node, and the bytes sent.

Simulates the gossip in memory, without a network or a cluster.
Run with ``python -m bench.spread [NODES ...]``.
"""

import sys
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final

from lovageshunt.rules import (
    DocumentRead,
    KindRule,
    MessageReceived,
    ReadDocument,
    RulesDocument,
    RulesGossip,
    RulesGossipEvent,
    RulesGossipSettings,
    RulesGossipTicked,
    RulesInForce,
    SendMessage,
    ServiceRules,
    manifest_of,
    version_of,
)

_SIZES: Final = (50, 200, 800, 2600)
_LOSS_PROBABILITIES: Final = (0, 0.1, 0.3)
_MAX_SERVICES: Final = 84
#: Mean number of instances of a service.
_INSTANCES_PER_SERVICE: Final = 12
_CALLED_SERVICES: Final = 5
_KINDS_PER_SERVICE: Final = 12
_READER_COUNT: Final = 12
_PEER_CANDIDATES: Final = 40
#: One-way delay between nodes: the minimum, and the mean excess over it.
_MIN_DELAY_SECONDS: Final = 0.001
_MEAN_EXTRA_DELAY_SECONDS: Final = 0.01
_HEADER: Final = (
    ' nodes  loss  readers   case   have   median      all'
    '  mean B/s  most B/s  reads'
)
_SEED: Final = 1
_CHANGE: Final = 'change'
_FIRST: Final = 'first'
_START: Final = 'start'
_TICK_SECONDS: Final = 0.5
_WARM_UP_SECONDS: Final = 6
_MEASURED_SECONDS: Final = 48
#: Every node reads from the platform once within this time of its start.
_START_READ_SECONDS: Final = 4
#: Response time of the platform.
_READ_DELAY_SECONDS: Final = 0.01


def document_of(generation: int, services: int) -> RulesDocument:
    """Return rules in which each generation changes one service."""
    by_service: dict[str, ServiceRules] = {}
    for place in range(services):
        service = f'service-{place}'
        is_changed = place == generation % services
        timeout_ms = 1000 + generation * is_changed
        by_service[service] = _rules_of(service, timeout_ms)
    return RulesDocument(
        deployment='bench',
        generation=generation,
        by_service=by_service,
    )


def _rules_of(service: str, timeout_ms: int) -> ServiceRules:
    by_kind: dict[str, KindRule] = {}
    for place in range(_KINDS_PER_SERVICE):
        kind = f'kind-{place}'
        by_kind[kind] = KindRule(
            service=service,
            kind=kind,
            method='GET',
            path=f'/{kind}',
            importance=3,
            is_repeatable=True,
            timeout_ms=timeout_ms,
            retry_bound=2,
        )
    return ServiceRules(service=service, by_kind=by_kind)


class Fleet:
    """Simulated nodes and their events, queued in order of time.

    ``in_force_at`` holds when, in seconds, each node last put rules into
    force; ``reads`` counts the reads that nodes requested.
    """

    def __init__(self, size: int, loss: float, *, is_cold: bool) -> None:
        """Start every node, with its timer at a random phase.

        Unless ``is_cold``, every node already has the first generation.
        """
        self.now: float = 0
        self.services = min(_MAX_SERVICES, size // _INSTANCES_PER_SERVICE)
        self.in_force_at: dict[str, float] = {}
        self._rng = Random(_SEED)
        self._is_cold = is_cold
        self._first = document_of(1, self.services)
        self._loss = loss
        self._order = count()
        self._queue: list[tuple[float, int, str, RulesGossipEvent | None]] = []
        self.node_by_name: dict[str, RulesGossip] = {}
        self._services_by_name: dict[str, list[str]] = {}
        self._names_by_service: dict[str, list[str]] = {}
        self.readers: list[str] = []
        self.reads = 0
        self._published: DocumentRead | None = None
        for place in range(size):
            self._start(f'node-{place}', place % self.services)

        self.readers = self._rng.sample(
            sorted(self.node_by_name), _READER_COUNT
        )

    def read(self, document: RulesDocument, readers: int) -> None:
        """Publish a document and have readers read it within 0.5 s."""
        names = self.readers[:readers]
        event = DocumentRead(
            version=version_of(document, document.generation),
            document=document,
        )
        self._published = event
        for name in names:
            self._schedule(self._rng.random() / 2, name, event)

    def read_all(self, document: RulesDocument) -> None:
        """Publish a document and have every node read it once, as at start."""
        event = DocumentRead(
            version=version_of(document, document.generation),
            document=document,
        )
        self._published = event
        for name in self.node_by_name:
            delay = self._rng.random() * _START_READ_SECONDS
            self._schedule(delay, name, event)

    def run(self, until: float) -> None:
        """Process the events before ``until`` and set the clock to it."""
        while self._queue[0][0] < until:
            entry = heappop(self._queue)
            self.now = entry[0]
            name, event = entry[2:]
            self._handle(name, event or self._tick(name))
        self.now = until

    def sent_bytes(self) -> list[int]:
        """Return the number of bytes sent by each node."""
        return [node.sent_bytes for node in self.node_by_name.values()]

    def _start(self, name: str, place: int) -> None:
        called = self._rng.sample(
            range(self.services), min(_CALLED_SERVICES, self.services)
        )
        services = [f'service-{number}' for number in (place, *called)]
        self._services_by_name[name] = services
        members = self._names_by_service.setdefault(services[0], [])
        members.append(name)
        self.node_by_name[name] = RulesGossip(
            Random(self._rng.random()),
            RulesGossipSettings(name=name),
            RulesInForce(frozenset(services)),
        )
        if not self._is_cold:
            self._load(self.node_by_name[name].rules, services)
        self._schedule(self._rng.random(), name, None)

    def _load(self, rules: RulesInForce, services: list[str]) -> None:
        document = self._first
        manifest = manifest_of(document, version_of(document, 1))
        parts = {name: document.by_service[name] for name in services}
        rules.offer_parts(manifest, parts, 0)

    def _tick(self, name: str) -> RulesGossipTicked:
        self._schedule(_TICK_SECONDS, name, None)
        names = list(self.node_by_name)
        candidate_count = min(_PEER_CANDIDATES, len(names))
        return RulesGossipTicked(
            peers=self._rng.sample(names, candidate_count),
            peers_by_service={
                service: self._names_by_service.get(service, [])
                for service in self._services_by_name[name]
            },
            readers=self.readers,
        )

    def _handle(self, name: str, event: RulesGossipEvent) -> None:
        for action in self.node_by_name[name].handle(event, self.now):
            if isinstance(action, SendMessage):
                self._send(name, action)
            elif isinstance(action, ReadDocument):
                self._read_once(name)
            else:
                self.in_force_at[name] = self.now

    def _read_once(self, name: str) -> None:
        if self._published is not None:
            self.reads += 1
            self._schedule(_READ_DELAY_SECONDS, name, self._published)

    def _send(self, name: str, action: SendMessage) -> None:
        if self._rng.random() < self._loss:
            return
        delay = _MIN_DELAY_SECONDS + self._rng.expovariate(
            1 / _MEAN_EXTRA_DELAY_SECONDS
        )
        event = MessageReceived(peer=name, message=action.message)
        self._schedule(delay, action.peer, event)

    def _schedule(
        self,
        delay: float,
        name: str,
        event: RulesGossipEvent | None,
    ) -> None:
        entry = (self.now + delay, next(self._order), name, event)
        heappush(self._queue, entry)


def measure(
    size: int,
    loss: float,
    readers: int,
    *,
    case: str = _CHANGE,
) -> str:
    """Return a table row for a changed document or a first one.

    In the case ``first``, a document is published to a running fleet without
    rules; in ``start``, it is already published when all nodes start at once.
    """
    fleet = Fleet(size, loss, is_cold=case != _CHANGE)
    measured_from = 0 if case == _START else _WARM_UP_SECONDS
    fleet.run(measured_from)
    fleet.in_force_at.clear()
    before = fleet.sent_bytes()
    document = document_of(2, fleet.services)
    if case == _START:
        fleet.read_all(document)
    else:
        fleet.read(document, readers)
    fleet.run(measured_from + _MEASURED_SECONDS)
    times = sorted(at - measured_from for at in fleet.in_force_at.values())
    rates = [
        (after - earlier) / _MEASURED_SECONDS
        for after, earlier in zip(fleet.sent_bytes(), before, strict=True)
    ]
    cells = (
        f'{size:6} {loss:5.0%} {readers:8} {case:>6} {len(times):6}',
        f'{times[len(times) // 2]:8.2f} {times[-1]:8.2f}',
        f'{sum(rates) / size:9.0f} {max(rates):9.0f} {fleet.reads:6}',
    )
    return ' '.join(cells)


def main() -> None:
    """Print the table for the fleet sizes on the command line, or for all."""
    sizes = [int(size_text) for size_text in sys.argv[1:]] or _SIZES
    lines = [_HEADER]
    for size in sizes:
        lines.extend(
            measure(size, loss, _READER_COUNT) for loss in _LOSS_PROBABILITIES
        )
        lines.append(measure(size, 0, readers=1))
        lines.append(measure(size, 0, _READER_COUNT, case=_FIRST))
        lines.append(measure(size, 0, _READER_COUNT, case=_START))
    for line in lines:
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
