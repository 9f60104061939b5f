"""Which nodes read the platform and sum up reports, as seen here."""

from logging import getLogger
from typing import Final

from xxhash import xxh3_64_intdigest

from lovageshunt.membership import CoordinatorElection
from lovageshunt.sidecar._fleet import Fleet
from lovageshunt.sidecar._peers import Peers

_log = getLogger(__name__)
#: How many nodes read the platform: with three, any two may fail at once.
_COORDINATORS: Final = 3
#: A reader that was silent for this long is passed over, in seconds. It sends
#: a pulse at least each time its watch of the platform ends.
_PULSE_TIMEOUT_SECONDS: Final = 1.6


class CoordinatorView:
    """Elects nodes by the list, by links that are down and by silence.

    ``readers`` read the platform. ``coordinators`` sum up reports; they are
    the first of the same ranking that are up, whether they can read or not.
    ``own_reader`` sends changes here, and this node reports to
    ``own_coordinator``. Each is one of the own failure domain if there is one,
    else one drawn by hash, and empty without any.
    """

    __slots__ = (
        '_own_host',
        '_fleet',
        '_peers',
        '_election',
        '_elected_at_by_host',
        '_heard_at_by_host',
        'readers',
        'coordinators',
        'own_reader',
        'own_coordinator',
    )

    def __init__(self, own_host: str, fleet: Fleet, peers: Peers) -> None:
        self._own_host = own_host
        self._fleet = fleet
        self._peers = peers
        self._election = CoordinatorElection(_COORDINATORS)
        self._elected_at_by_host: dict[str, float] = {}
        self._heard_at_by_host: dict[str, float] = {}
        self.readers: tuple[str, ...] = ()
        self.coordinators: tuple[str, ...] = ()
        self.own_reader = ''
        self.own_coordinator = ''

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the platform."""
        return self._own_host in self.readers

    @property
    def is_coordinator(self) -> bool:
        """Whether this node sums up reports."""
        return self._own_host in self.coordinators

    @property
    def others(self) -> set[str]:
        """All readers and coordinators but this node."""
        return {*self.readers, *self.coordinators} - {self._own_host}

    def apply_list(self, now: float) -> None:
        """Elect among the listed nodes anew."""
        domain_by_host = {
            entry.host: entry.failure_domain
            for entry in self._fleet.entry_by_id.values()
            if not entry.is_leaving
        }
        self._election.set_nodes(domain_by_host)
        for host in self._elected_at_by_host.keys() - domain_by_host.keys():
            self._elected_at_by_host.pop(host)
            self._heard_at_by_host.pop(host, None)
        self._elect(now)
        self._choose_own()

    def advance(self, now: float) -> None:
        """Pass over the nodes that are down or silent by now."""
        watched = self.others.union(self._elected_at_by_host)
        for host in watched:
            self._check(host, now)
        self._elect(now)

    def note_pulse(self, host: str, now: float, *, is_reader: bool) -> None:
        """Record that a node has read the platform, or could not."""
        self._heard_at_by_host[host] = now
        if is_reader:
            self._election.note_fit(host)
        else:
            self._election.note_unfit(host, now)

    def note_own_read(self, now: float, *, is_answered: bool) -> None:
        """Record how a read of this node ended."""
        if is_answered:
            self._election.note_fit(self._own_host)
            return
        self._election.note_unfit(self._own_host, now)
        self._elect(now)

    def _check(self, host: str, now: float) -> None:
        if self._peers.is_down(host):
            self._election.note_down(host)
            return
        self._election.note_up(host)
        if host not in self.readers:
            return
        heard_at = self._heard_at_by_host.get(host, float('-inf'))
        quiet_since = max(heard_at, self._elected_at_by_host[host])
        if now - quiet_since > _PULSE_TIMEOUT_SECONDS:
            _log.info('reader of the platform is silent', extra={'peer': host})
            self._election.note_unfit(host, now)

    def _elect(self, now: float) -> None:
        coordinators = self._election.standing()
        readers = self._election.elected(now)
        if coordinators != self.coordinators:
            self.coordinators = coordinators
            self._choose_own()
        if readers == self.readers:
            return
        for host in set(readers) - set(self.readers) - {self._own_host}:
            self._elected_at_by_host[host] = now
        self.readers = readers
        self._choose_own()
        _log.info(
            'readers of the platform elected',
            extra={'hosts': list(readers), 'is_own': self.is_reader},
        )

    def _choose_own(self) -> None:
        self.own_reader = max(self.readers, key=self._preference, default='')
        self.own_coordinator = max(
            self.coordinators, key=self._preference, default=''
        )

    def _preference(self, host: str) -> tuple[bool, int]:
        is_near = self._fleet.is_near(host)
        return is_near, xxh3_64_intdigest(f'{self._own_host} {host}'.encode())
