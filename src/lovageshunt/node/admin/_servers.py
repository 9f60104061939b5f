"""uvicorn servers that share the daemon's loop."""

from collections.abc import Iterator
from contextlib import contextmanager
from ssl import CERT_NONE, CERT_OPTIONAL
from typing import Final

from uvicorn import Config, Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lovageshunt.client import AsgiApp

#: Longer than clients keep idle connections, so that the client closes first.
_KEEP_ALIVE_SECONDS: Final = 75
#: Beside ``tls`` in a scope: whether the peer's certificate was checked.
PEER_IS_KNOWN: Final = 'peer_is_known'


class EmbeddedServer(Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield


class TlsProtocol(HttpToolsProtocol):
    """Tells the application who showed a certificate, as ASGI says."""

    def on_message_begin(self) -> None:
        """Begin a request with the peer's certificate in its scope."""
        super().on_message_begin()
        tls = self.transport.get_extra_info('ssl_object')
        if tls is None:
            return
        # Only a certificate that was checked against the authority is here.
        is_known = bool(tls.getpeercert())
        self.scope['extensions'] = {'tls': {PEER_IS_KNOWN: is_known}}


class ServerTls:
    """The files that make a listener speak TLS; empty names mean none.

    With an authority, who shows a certificate is checked against it.
    """

    __slots__ = ('certificate_file', 'key_file', 'authority_file')

    def __init__(
        self,
        *,
        certificate_file: str = '',
        key_file: str = '',
        authority_file: str = '',
    ) -> None:
        """Take the names of the files."""
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file


def make_server(
    app: AsgiApp,
    address: str,
    tls: ServerTls,
    drain_seconds: int,
) -> EmbeddedServer:
    """Return a server for ``address`` (IP:PORT), not yet started."""
    host, port = address.rsplit(':', 1)
    config = Config(
        app,
        host=host,
        port=int(port),
        loop='asyncio',
        http=TlsProtocol if tls.authority_file else 'httptools',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=drain_seconds,
        ssl_certfile=tls.certificate_file or None,
        ssl_keyfile=tls.key_file or None,
        ssl_ca_certs=tls.authority_file or None,
        ssl_cert_reqs=CERT_OPTIONAL if tls.authority_file else CERT_NONE,
    )
    return EmbeddedServer(config)
