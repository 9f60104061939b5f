"""A fake admin API with canned answers."""

from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from ssl import PROTOCOL_TLS_SERVER, SSLContext
from threading import Thread

import orjson


class AdminServer(ThreadingHTTPServer):
    """Serves bodies by path on loopback; requires the token if one is set."""

    def __init__(self, body_by_path, token):
        super().__init__(('127.0.0.1', 0), _Handler)
        self.body_by_path = body_by_path
        self.authorization = f'Bearer {token}' if token else None


class _Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        if self.headers.get('authorization') != self.server.authorization:
            self.send_error(401)
            return
        body = self.server.body_by_path.get(self.path)
        if body is None:
            self.send_error(404)
            return
        raw = body if isinstance(body, bytes) else orjson.dumps(body)
        self.send_response(200)
        self.send_header('content-length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def log_message(self, *args):
        """Keep requests out of the test output."""


@contextmanager
def admin_server(body_by_path, token='', certificate=None):
    """Yield the address of a running server; TLS if ``certificate`` is set."""
    with AdminServer(body_by_path, token) as server:
        if certificate is not None:
            tls = SSLContext(PROTOCOL_TLS_SERVER)
            tls.load_cert_chain(*certificate)
            server.socket = tls.wrap_socket(server.socket, server_side=True)
        thread = Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield f'127.0.0.1:{server.server_port}'
        finally:
            server.shutdown()
            thread.join()
