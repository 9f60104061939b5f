"""How long a version of the rules takes to reach every node, and its bytes.

Drives the decisions alone over queues in memory: no network, no cluster.
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
_LOSSES: Final = (0, 0.1, 0.3)
_MOST_SERVICES: Final = 84
#: Instances of a service, in the mean.
_INSTANCES: Final = 12
_CALLED: Final = 5
_KINDS: Final = 12
_READERS: Final = 12
_CANDIDATES: Final = 40
#: One way between two nodes, in seconds: the least, and the mean above it.
_LEAST_DELAY: Final = 0.001
_MEAN_DELAY: Final = 0.01
_HEADER: Final = (
    ' nodes  loss  readers   case   have   median      all'
    '  mean B/s  most B/s  reads'
)
_SEED: Final = 1
_CHANGE: Final = 'change'
_FIRST: Final = 'first'
_START: Final = 'start'
_TICK_SECONDS: Final = 0.5
_WARM_SECONDS: Final = 6
_PERIOD_SECONDS: Final = 48
#: Each node reads the platform once within this time of its start.
_START_READ_SECONDS: Final = 4
#: How long the platform takes to answer.
_READ_SECONDS: Final = 0.01


def document_of(generation: int, services: int) -> RulesDocument:
    """Return a document in which each generation changes one service."""
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
    for place in range(_KINDS):
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
    """Nodes, and a queue of what happens to them in order of time."""

    def __init__(self, size: int, loss: float, *, is_cold: bool) -> None:
        """Start every node, its timer at a random phase.

        Unless it is cold, every node has the first generation already.
        """
        self.now: float = 0
        self.services = min(_MOST_SERVICES, size // _INSTANCES)
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

        self.readers = self._rng.sample(sorted(self.node_by_name), _READERS)

    def read(self, document: RulesDocument, readers: int) -> None:
        """Let some nodes read a document, within half a second."""
        names = self.readers[:readers]
        event = DocumentRead(
            version=version_of(document, document.generation),
            document=document,
        )
        self._published = event
        for name in names:
            self._later(self._rng.random() / 2, name, event)

    def read_all(self, document: RulesDocument) -> None:
        """Let every node read a document once, as each does at its start."""
        event = DocumentRead(
            version=version_of(document, document.generation),
            document=document,
        )
        self._published = event
        for name in self.node_by_name:
            delay = self._rng.random() * _START_READ_SECONDS
            self._later(delay, name, event)

    def run(self, until: float) -> None:
        """Let everything happen that does before a time."""
        while self._queue[0][0] < until:
            entry = heappop(self._queue)
            self.now = entry[0]
            name, event = entry[2:]
            self._take(name, event or self._tick(name))
        self.now = until

    def sent_bytes(self) -> list[int]:
        """Return what each node sent."""
        return [node.sent_bytes for node in self.node_by_name.values()]

    def _start(self, name: str, place: int) -> None:
        called = self._rng.sample(
            range(self.services), min(_CALLED, self.services)
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
        self._later(self._rng.random(), name, None)

    def _load(self, rules: RulesInForce, services: list[str]) -> None:
        document = self._first
        manifest = manifest_of(document, version_of(document, 1))
        parts = {name: document.by_service[name] for name in services}
        rules.offer_parts(manifest, parts, 0)

    def _tick(self, name: str) -> RulesGossipTicked:
        self._later(_TICK_SECONDS, name, None)
        names = list(self.node_by_name)
        count_drawn = min(_CANDIDATES, len(names))
        return RulesGossipTicked(
            peers=self._rng.sample(names, count_drawn),
            peers_by_service={
                service: self._names_by_service.get(service, [])
                for service in self._services_by_name[name]
            },
            readers=self.readers,
        )

    def _take(self, name: str, event: RulesGossipEvent) -> None:
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
            self._later(_READ_SECONDS, name, self._published)

    def _send(self, name: str, action: SendMessage) -> None:
        if self._rng.random() < self._loss:
            return
        delay = _LEAST_DELAY + self._rng.expovariate(1 / _MEAN_DELAY)
        event = MessageReceived(peer=name, message=action.message)
        self._later(delay, action.peer, event)

    def _later(
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
    """Return a table's row for one change, or for the first document.

    In the case ``first`` it is published to a fleet that runs without rules;
    in ``start`` it is published already when every node starts at once.
    """
    fleet = Fleet(size, loss, is_cold=case != _CHANGE)
    begun_at = 0 if case == _START else _WARM_SECONDS
    fleet.run(begun_at)
    fleet.in_force_at.clear()
    before = fleet.sent_bytes()
    document = document_of(2, fleet.services)
    if case == _START:
        fleet.read_all(document)
    else:
        fleet.read(document, readers)
    fleet.run(begun_at + _PERIOD_SECONDS)
    times = sorted(at - begun_at for at in fleet.in_force_at.values())
    rates = [
        (after - earlier) / _PERIOD_SECONDS
        for after, earlier in zip(fleet.sent_bytes(), before, strict=True)
    ]
    cells = (
        f'{size:6} {loss:5.0%} {readers:8} {case:>6} {len(times):6}',
        f'{times[len(times) // 2]:8.2f} {times[-1]:8.2f}',
        f'{sum(rates) / size:9.0f} {max(rates):9.0f} {fleet.reads:6}',
    )
    return ' '.join(cells)


def main() -> None:
    """Print the table."""
    sizes = [int(word) for word in sys.argv[1:]] or _SIZES
    lines = [_HEADER]
    for size in sizes:
        lines.extend(measure(size, loss, _READERS) for loss in _LOSSES)
        lines.append(measure(size, 0, readers=1))
        lines.append(measure(size, 0, _READERS, case=_FIRST))
        lines.append(measure(size, 0, _READERS, case=_START))
    for line in lines:
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
