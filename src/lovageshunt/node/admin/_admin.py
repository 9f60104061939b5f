"""The admin API: reports for operators, control messages from peers."""

from collections.abc import Awaitable, Callable
from hmac import compare_digest
from typing import Any, Final

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lovageshunt.errors import MalformedEnvelopeError, MalformedSnapshotError
from lovageshunt.idempotency import InquiryAnswer
from lovageshunt.node._runtime import Runtime
from lovageshunt.node.admin._reports import Reports
from lovageshunt.node.admin._servers import PEER_IS_KNOWN
from lovageshunt.node.control._envelope import (
    MAX_ENVELOPE_BYTES,
    decode_envelope,
)
from lovageshunt.node.control._inquiry_codec import (
    decode_hand_over,
    decode_inquiry,
    encode_inquiry_answer,
)
from lovageshunt.node.control._peer_link import (
    EXCHANGE_PATH,
    HAND_OVER_PATH,
    INQUIRY_PATH,
)

_JSON: Final = 'application/json'
_UNAUTHORIZED: Final = 401
_FORBIDDEN: Final = 403
_BAD_REQUEST: Final = 400
_UNAVAILABLE: Final = 503
_ACCEPTED: Final = 202

#: Paths that only peer nodes may post to.
_PEER_PATHS: Final = frozenset((EXCHANGE_PATH, INQUIRY_PATH, HAND_OVER_PATH))

_Handler = Callable[[Request], Awaitable[Response]]


class Admin:
    """Serves the admin API, in which drain is an operator's only write.

    An empty ``token`` disables authentication. With
    ``requires_peer_certificate``, the paths for peers accept only clients
    that present a certificate signed by the configured authority.
    """

    def __init__(
        self,
        runtime: Runtime,
        reports: Reports,
        *,
        token: str,
        requires_peer_certificate: bool,
    ) -> None:
        self._requires_peer_certificate = requires_peer_certificate
        self._runtime = runtime
        self._reports = reports
        self._token = f'Bearer {token}' if token else ''

    def app(self) -> Starlette:
        """Return the application to serve on the admin address."""
        read = ('GET',)
        write = ('POST',)
        routes = (
            ('/v1/ready', self._ready, read),
            ('/v1/status', self._status, read),
            ('/v1/rules', self._rules, read),
            ('/v1/account', self._account, read),
            ('/v1/traces/{some_id}', self._traces, read),
            ('/metrics', self._metrics, read),
            ('/v1/drain', self._drain, write),
            (EXCHANGE_PATH, self._exchange, write),
            (INQUIRY_PATH, self._inquiry, write),
            (HAND_OVER_PATH, self._hand_over, write),
        )
        return Starlette(
            routes=[
                Route(path, self._authorized(handler), methods=list(methods))
                for path, handler, methods in routes
            ],
        )

    def _authorized(self, handler: _Handler) -> _Handler:
        async def authorized(request: Request) -> Response:  # noqa: WPS430
            if not self._has_valid_token(request):
                return _problem(
                    _UNAUTHORIZED,
                    'the token is missing or wrong; send "authorization: '
                    'Bearer TOKEN" with the token of admin_token_file',
                )
            if not self._is_allowed_peer(request):
                return _problem(
                    _FORBIDDEN,
                    'only nodes may send this; show a certificate of the '
                    'authority_file',
                )
            try:
                return await handler(request)
            except (MalformedEnvelopeError, MalformedSnapshotError) as error:
                return _problem(_BAD_REQUEST, str(error))

        return authorized

    def _has_valid_token(self, request: Request) -> bool:
        presented = request.headers.get('authorization', '')
        return compare_digest(presented.encode(), self._token.encode()) or (
            not self._token
        )

    def _is_allowed_peer(self, request: Request) -> bool:
        if (
            not self._requires_peer_certificate
            or request.url.path not in _PEER_PATHS
        ):
            return True
        tls = request.scope.get('extensions', {}).get('tls', {})
        return bool(tls.get(PEER_IS_KNOWN))

    async def _ready(self, request: Request) -> Response:
        if self._runtime.is_serving:
            return _json({'state': self._runtime.state})
        return _json({'state': self._runtime.state}, _UNAVAILABLE)

    async def _status(self, request: Request) -> Response:
        return _json(self._reports.status())

    async def _rules(self, request: Request) -> Response:
        return _json(self._reports.rules())

    async def _account(self, request: Request) -> Response:
        return _json(self._reports.account())

    async def _traces(self, request: Request) -> Response:
        return _json(self._reports.traces(request.path_params['some_id']))

    async def _metrics(self, request: Request) -> Response:
        exposition, headers = self._reports.metrics(
            request.headers.getlist('accept'),
        )
        return Response(exposition, headers=headers)

    async def _drain(self, request: Request) -> Response:
        self._runtime.begin_leave()
        return _json({'state': self._runtime.state}, _ACCEPTED)

    async def _exchange(self, request: Request) -> Response:
        self._runtime.handle_envelope(decode_envelope(await _body(request)))
        home = self._runtime.identity.home
        return _json({'node': home.node, 'incarnation': home.incarnation})

    async def _inquiry(self, request: Request) -> Response:
        inquiry = decode_inquiry(await _body(request))
        try:
            answer: InquiryAnswer = await self._runtime.answer_inquiry(inquiry)
        except TimeoutError:
            return _problem(_UNAVAILABLE, 'no answer in time; ask again')
        return Response(encode_inquiry_answer(answer), media_type=_JSON)

    async def _hand_over(self, request: Request) -> Response:
        self._runtime.handle(decode_hand_over(await _body(request)))
        return _json({})


async def _body(request: Request) -> bytes:
    chunks = []
    size = 0
    async for chunk in request.stream():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_ENVELOPE_BYTES:
            raise MalformedEnvelopeError(
                f'body exceeds {MAX_ENVELOPE_BYTES} bytes'
            )
    return b''.join(chunks)


def _json(content: Any, status: int = 200) -> Response:
    return Response(orjson.dumps(content), status, media_type=_JSON)


def _problem(status: int, message: str) -> Response:
    return _json({'error': message}, status)
