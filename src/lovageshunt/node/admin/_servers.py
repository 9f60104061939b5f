"""uvicorn servers that share the event loop of the daemon."""

from collections.abc import Iterator
from contextlib import contextmanager
from ssl import CERT_NONE, CERT_OPTIONAL
from typing import Final

from uvicorn import Config, Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from lovageshunt.client import AsgiApp

#: Longer than the idle timeout of clients, so that the client closes first.
_KEEP_ALIVE_SECONDS: Final = 75
#: Key in the ``tls`` extension of an ASGI scope: whether the client presented
#: a certificate that was verified.
PEER_IS_KNOWN: Final = 'peer_is_known'


class EmbeddedServer(Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class TlsProtocol(HttpToolsProtocol):
    """Reports in the ASGI scope whether the client certificate is verified."""

    def on_message_begin(self) -> None:
        """Add the ``tls`` extension to the scope of a new request."""
        super().on_message_begin()
        tls = self.transport.get_extra_info('ssl_object')
        if tls is None:
            return
        # getpeercert() is non-empty only for a certificate that was verified.
        is_known = bool(tls.getpeercert())
        self.scope['extensions'] = {'tls': {PEER_IS_KNOWN: is_known}}


class ServerTls:
    """Paths of the TLS files of a listener; an empty path means no file.

    With an authority, client certificates are optional, and those presented
    are verified against it.
    """

    __slots__ = ('certificate_file', 'key_file', 'authority_file')

    def __init__(
        self,
        *,
        certificate_file: str = '',
        key_file: str = '',
        authority_file: str = '',
    ) -> None:
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file


def make_server(
    app: AsgiApp,
    address: str,
    tls: ServerTls,
    drain_seconds: int,
) -> EmbeddedServer:
    """Return a server for ``address`` (IP:PORT) that is not started yet."""
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
