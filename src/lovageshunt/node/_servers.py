"""uvicorn servers that share the daemon's loop."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from uvicorn import Config, Server

from lovageshunt.client import AsgiApp

#: Longer than clients keep idle connections, so that the client closes first.
_KEEP_ALIVE_SECONDS: Final = 75


class EmbeddedServer(Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield


class ServerTls:
    """The files that make a listener speak TLS; empty names mean none."""

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
        http='httptools',
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
    )
    return EmbeddedServer(config)
