"""How many connections of clients are open at a time."""

from lovageshunt.http1 import ServerConnection
from lovageshunt.settings import SidecarClientsSection
from lovageshunt.sidecar._listeners import Listeners
from tests.http1.test_server import GET, Handler
from tests.http1.wire import FakeTransport

MOST = 3


def connected(listeners: Listeners, sent: bytes = b'') -> FakeTransport:
    """Accept a connection that has sent something."""
    transport = FakeTransport()
    new: ServerConnection = listeners._new_connection(
        Handler(), listeners.clients
    )
    new.connection_made(transport)
    if sent:
        new.data_received(sent)
    return transport


class TestConnections:
    """The bound on the connections of clients."""

    def test_closes_an_idle_one_first(self) -> None:
        """A request that is not whole may still become so."""
        listeners = Listeners(SidecarClientsSection(connections=MOST))
        partial = connected(listeners, b'GET / HT')
        idle = connected(listeners)
        connected(listeners, GET)
        connected(listeners)
        assert idle.is_closed
        assert not partial.is_closed

    def test_bounds_a_crowd_that_stalls_in_its_requests(self) -> None:
        """Guards against a node that runs out of descriptors: none is idle."""
        listeners = Listeners(SidecarClientsSection(connections=MOST))
        crowd = [connected(listeners, b'GET / HT') for _ in range(20)]
        assert sum(not each.is_closed for each in crowd) == MOST
        assert crowd[0].written.startswith(b'HTTP/1.1 503 ')
        assert listeners.account.refused_by_cause['connections'] == 17

    def test_keeps_requests_in_progress(self) -> None:
        """What is whole may run already."""
        listeners = Listeners(SidecarClientsSection(connections=MOST))
        whole = [connected(listeners, GET) for _ in range(MOST + 2)]
        assert not any(each.is_closed for each in whole)

    def test_looks_at_few_of_them(self) -> None:
        """Accepting stays cheap, however many requests are in progress."""
        listeners = Listeners(SidecarClientsSection(connections=MOST))
        idle = connected(listeners)
        for _ in range(500):
            connected(listeners, GET)
        assert idle.is_closed
        looked_at = listeners.clients.longest_stalled(1000)
        assert len(looked_at) == 500
