"""Simulated fleet on a fake clock for the membership benchmark.

The driver only delivers messages, with network delays; all decisions are
made by ``lovageshunt.membership``. The seed is fixed.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from math import inf
from random import Random
from typing import Final

from lovageshunt._record import Record
from lovageshunt.membership import (
    Announcement,
    BulletinReceived,
    DigestReceived,
    LeaveStarted,
    ListedVm,
    MembershipTicked,
    MembershipView,
    OwnLeaveListed,
    PeerAnswered,
    PeerSilent,
    ReaderElection,
    ReadVmList,
    SendBulletin,
    SendDigest,
    VmList,
    VmListReadFailed,
    VmListReceived,
    VmState,
    wire_bytes,
)

FAILURE_DOMAINS: Final = ('r1-a', 'r1-b', 'r2-a', 'r2-b')
#: Interval of a node's timer.
TICK_SECONDS: Final = 0.25
_SERVICES: Final = 84
_CALLED_SERVICES: Final = 5
_FULL_SIZE: Final = 2600
_SAME_REGION_DELAY_SECONDS: Final = 0.0015
_CROSS_REGION_DELAY_SECONDS: Final = 0.03
_PLATFORM_DELAY_SECONDS: Final = 0.005
_WATCH_TIMEOUT_SECONDS: Final = 30
_TIMEOUT_SECONDS: Final = 1
#: Size of a message without its body: request line, headers, framing.
_ENVELOPE_BYTES: Final = 250

Step = Callable[[], None]
_QueueEntry = tuple[float, int, Step]


class Node:
    """A node of the fleet with its membership view and counters.

    ``needed`` names the services that it calls; ``sent_bytes`` includes
    envelopes; ``read_revision`` is that of the VM list read last.
    """

    __slots__ = (
        'own',
        'needed',
        'view',
        'election',
        'sent_bytes',
        'read_revision',
        'is_up',
    )

    def __init__(
        self,
        own: Announcement,
        needed: list[str],
        rng: Random,
        now: float,
    ) -> None:
        self.own = own
        self.needed = needed
        self.view = MembershipView(
            own=own,
            needed_services=needed,
            rng=rng,
            now=now,
        )
        self.election = ReaderElection(
            own.name,
            own.failure_domain,
            rng,
            now=now,
        )
        self.sent_bytes = 0
        self.read_revision = 0
        self.is_up = True

    def handle(self, event: Record, now: float) -> list[Record]:
        """Pass an event to the view and to the election."""
        actions = []
        if not isinstance(event, VmListReadFailed):
            actions = self.view.handle(event, now)
        return actions + self.election.handle(event, now)


class Steps:
    """A queue of steps ordered by due time, in seconds."""

    def __init__(self) -> None:
        self._heap: list[_QueueEntry] = []
        self._order = count()

    def due_at(self) -> float:
        """Return when the next step is due, or infinity if there is none."""
        return self._heap[0][0] if self._heap else inf

    def put(self, due_at: float, step: Step) -> None:
        heapq.heappush(self._heap, (due_at, next(self._order), step))

    def take(self) -> tuple[float, Step]:
        """Remove the next step and return it with its due time."""
        due_at, _, step = heapq.heappop(self._heap)
        return due_at, step


class Fleet:
    """Nodes that exchange messages on a fake clock, and their platform.

    ``loss`` is the probability that a message is lost; ``revision`` and
    ``listed`` are those of the platform's VM list.
    """

    def __init__(self, size: int, *, seed: int = 1) -> None:
        """Create ``size`` nodes whose timers start within one second."""
        self.rng = Random(seed)
        self.now: float = 0
        self.platform_is_up = True
        self.regions_are_cut = False
        self.loss: float = 0
        self.revision = 1
        self.reads_by_second: Counter[int] = Counter()
        self._steps = Steps()
        self._watches: list[Node] = []
        self.by_name = {
            made.own.name: made for made in self._create_nodes(size)
        }
        self.listed = {
            name: _listed(node.own) for name, node in self.by_name.items()
        }
        for node in self.by_name.values():
            self._schedule(self.rng.random(), self._tick_of(node))

    def run(self, seconds: float) -> None:
        """Run the steps due in the next ``seconds``."""
        until = self.now + seconds
        while self._steps.due_at() <= until:
            due_at, step = self._steps.take()
            self.now = due_at
            step()
        self.now = until

    def tell(self, node: Node, event: Record) -> None:
        """Pass an event to a node that is up, and perform its actions."""
        if node.is_up:
            for action in node.handle(event, self.now):
                self._perform(node, action)

    def list_as(self, name: str, state: VmState) -> None:
        """Publish a VM's state and answer the pending watches."""
        fields = self.listed[name].as_dict()
        fields['state'] = state
        self.listed[name] = ListedVm(**fields)
        self.revision += 1
        waiting = self._watches
        self._watches = []
        for node in waiting:
            self._schedule(_PLATFORM_DELAY_SECONDS, self._answer_of(node))

    def restart(self, name: str) -> None:
        """Replace a node by a new incarnation with an empty view."""
        old = self.by_name[name]
        old.is_up = False
        fields = old.own.as_dict()
        fields['incarnation'] = f'{self.now:012.3f}'
        node = Node(Announcement(**fields), old.needed, self.rng, self.now)
        node.sent_bytes = old.sent_bytes
        self.by_name[name] = node
        self._schedule(self.rng.random() * TICK_SECONDS, self._tick_of(node))

    def unaware_of(self, name: str) -> int:
        """Return how many callers of a VM's service still list the VM."""
        service = self.by_name[name].own.service
        return sum(
            any(member.name == name for member in node.view.members_of(service))
            for node in self.by_name.values()
            if node.is_up and service in node.needed
        )

    def _create_nodes(self, size: int) -> Iterable[Node]:
        services = max(2, size * _SERVICES // _FULL_SIZE)
        graph = {
            service: [
                f's{self.rng.randrange(services)}'
                for _ in range(_CALLED_SERVICES)
            ]
            for service in range(services)
        }
        for index in range(size):
            service = index % services
            failure_domain = FAILURE_DOMAINS[index // services % 4]
            own = Announcement(
                name=f'vm-{index:05d}',
                service=f's{service}',
                failure_domain=failure_domain,
                region=failure_domain.partition('-')[0],
                address=f'10.1.{index // 250}.{index % 250}:7000',
                admin_address=f'10.1.{index // 250}.{index % 250}:7001',
                incarnation=f'{0:012.3f}',
            )
            yield Node(own, graph[service], Random(index), 0)

    def _tick_of(self, node: Node) -> Step:
        def tick() -> None:  # noqa: WPS430 the queue stores callables
            if node.is_up:
                self.tell(node, MembershipTicked())
                self._schedule(TICK_SECONDS, tick)

        return tick

    def _answer_of(self, node: Node) -> Step:
        def answer() -> None:  # noqa: WPS430 the queue stores callables
            if not self.platform_is_up:
                self.tell(node, VmListReadFailed())
                return
            vms = list(self.listed.values())
            node.read_revision = self.revision
            self.tell(
                node, VmListReceived(VmList(revision=self.revision, vms=vms))
            )

        return answer

    def _perform(self, node: Node, action: Record) -> None:
        if isinstance(action, ReadVmList):
            self._read(node, is_watch=action.is_watch)
        if isinstance(action, SendBulletin):
            body = BulletinReceived(action.bulletin)
            self._send(node, action.peer.name, body, action.bulletin)
        if isinstance(action, OwnLeaveListed):
            self.tell(node, LeaveStarted())
        if isinstance(action, SendDigest):
            event = DigestReceived(action.digest)
            self._send(node, action.peer.name, event, action.digest)

    def _read(self, node: Node, *, is_watch: bool) -> None:
        self.reads_by_second[int(self.now)] += 1
        is_behind = node.read_revision < self.revision
        if not is_watch or is_behind or not self.platform_is_up:
            self._schedule(_PLATFORM_DELAY_SECONDS, self._answer_of(node))
            return
        self._watches.append(node)
        self._schedule(_WATCH_TIMEOUT_SECONDS, lambda: self._end_watch(node))

    def _end_watch(self, node: Node) -> None:
        if node in self._watches:
            self._watches.remove(node)
            self._answer_of(node)()

    def _send(
        self,
        sender: Node,
        name: str,
        event: Record,
        message: Record,
    ) -> None:
        sender.sent_bytes += wire_bytes(message) + _ENVELOPE_BYTES
        receiver = self.by_name[name]
        if not self._arrives(sender, receiver):
            silent = PeerSilent(name)
            self._schedule(_TIMEOUT_SECONDS, lambda: self.tell(sender, silent))
            return
        is_same_region = receiver.own.region == sender.own.region
        delay = (
            _SAME_REGION_DELAY_SECONDS
            if is_same_region
            else _CROSS_REGION_DELAY_SECONDS
        )
        self._schedule(delay, lambda: self.tell(receiver, event))
        answered = PeerAnswered(name, receiver.own.incarnation)
        self._schedule(2 * delay, lambda: self.tell(sender, answered))

    def _arrives(self, sender: Node, receiver: Node) -> bool:
        is_cut = (
            self.regions_are_cut and sender.own.region != receiver.own.region
        )
        is_lost = self.rng.random() < self.loss
        return receiver.is_up and not is_cut and not is_lost

    def _schedule(self, delay: float, step: Step) -> None:
        self._steps.put(self.now + delay, step)


def _listed(own: Announcement) -> ListedVm:
    return ListedVm(
        name=own.name,
        service=own.service,
        failure_domain=own.failure_domain,
        region=own.region,
        address=own.address,
        admin_address=own.admin_address,
    )
