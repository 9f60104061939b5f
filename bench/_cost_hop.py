"""A bare hop: uvicorn takes a request and aiohttp sends it on.

``python -m bench._cost_hop LISTEN TARGET``, both IP:PORT.
"""

import sys
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import uvicorn

Message = dict[str, Any]


class BareHop:
    """Passes each request on and its answer back, and does nothing else."""

    def __init__(self, target: str) -> None:
        """Take the target's address."""
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Serve one request."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        body = (await receive()).get('body', b'')
        url = f'http://{self._target}{scope["path"]}'
        async with self._session.request(
            scope['method'], url, data=body or None
        ) as response:
            answer = await response.read()
            status = response.status
        length = (b'content-length', str(len(answer)).encode())
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [length],
            },
        )
        await send({'type': 'http.response.body', 'body': answer})


if __name__ == '__main__':
    host, port = sys.argv[1].rsplit(':', 1)
    uvicorn.run(
        BareHop(sys.argv[2]),
        host=host,
        port=int(port),
        loop='asyncio',
        http='httptools',
        lifespan='off',
        log_config=None,
        access_log=False,
    )
