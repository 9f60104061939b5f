"""A minimal HTTP proxy: uvicorn receives requests, aiohttp forwards them.

Run ``python -m bench._cost_hop LISTEN TARGET``, both as IP:PORT. It is the
reference for the latency that a proxy adds.
"""

import sys
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import uvicorn

Message = dict[str, Any]


class MinimalProxy:
    """ASGI application that forwards requests to one target.

    Request headers are not forwarded; of the response, only the status and
    the body are returned.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Forward one request and return the response of the target."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = (await receive()).get('body', b'')
        url = f'http://{self._target}{scope["path"]}'
        async with self._session.request(
            scope['method'], url, data=body or None
        ) as response:
            content = await response.read()
            status = response.status
        length = (b'content-length', str(len(content)).encode())
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [length],
            },
        )
        await send({'type': 'http.response.body', 'body': content})


if __name__ == '__main__':
    host, port = sys.argv[1].rsplit(':', 1)
    uvicorn.run(
        MinimalProxy(sys.argv[2]),
        host=host,
        port=int(port),
        loop='asyncio',
        http='httptools',
        lifespan='off',
        log_config=None,
        access_log=False,
    )
