"""The links that this node opens to other nodes."""

from collections.abc import Callable

from lovageshunt.clock import now as clock_now
from lovageshunt.links import Dialer


class Peers:
    """One link to each node that this node has sent something, by address.

    ``make_dialer`` returns an unconnected link to the node on a host.
    """

    __slots__ = (
        '_own_host',
        '_make_dialer',
        '_dialer_by_host',
        '_leaving_hosts',
    )

    def __init__(
        self, own_host: str, make_dialer: Callable[[str], Dialer]
    ) -> None:
        self._own_host = own_host
        self._make_dialer = make_dialer
        self._dialer_by_host: dict[str, Dialer] = {}
        self._leaving_hosts: set[str] = set()

    @property
    def open_count(self) -> int:
        """The number of links that are established."""
        return sum(dialer.is_up for dialer in self._dialer_by_host.values())

    def dialer(self, host: str) -> Dialer:
        """Return the link to the node on ``host``, created if missing."""
        dialer = self._dialer_by_host.get(host)
        if dialer is None:
            dialer = self._make_dialer(host)
            self._dialer_by_host[host] = dialer
        return dialer

    def open(self, hosts: set[str]) -> None:
        """Open the links to some hosts, except to this node itself."""
        for host in hosts - {self._own_host}:
            self.dialer(host).open()

    def is_down(self, host: str) -> bool:
        """Return whether the node on ``host`` is unreachable or stops."""
        if host == self._own_host:
            return False
        if host in self._leaving_hosts:
            return True
        dialer = self._dialer_by_host.get(host)
        return dialer is not None and dialer.is_down

    def note_leaving(self, host: str) -> None:
        """Record a node's shutdown; its target becomes the last choice."""
        self._leaving_hosts.add(host)

    def note_connected(self, host: str) -> None:
        """Record that a node serves, so that its target is used normally."""
        self._leaving_hosts.discard(host)

    def check_silence(self) -> None:
        """Ping the nodes on quiet links; give up links that are silent."""
        now = clock_now()
        for dialer in list(self._dialer_by_host.values()):
            dialer.check_silence(now)

    def close_unused(self, listed_hosts: set[str]) -> None:
        """Close the idle links to nodes that are not listed any more."""
        for host in self._dialer_by_host.keys() - listed_hosts:
            if self._dialer_by_host[host].is_idle:
                self._dialer_by_host.pop(host).close()

    def close(self) -> None:
        """Close every link.

        A call that ends with its link may be sent on another one.
        """
        for dialer in list(self._dialer_by_host.values()):
            dialer.close()
