"""Ordinary clients: each sends one request after the other and records it."""

import asyncio
import random
import time
from collections import Counter

from review.deployment.server import parse_head

#: Clients begin within this time, so that they are not in step.
_SPREAD_SECONDS = 0.5


class Attempt:
    """A request and what its client saw.

    ``end`` is its status, ``closed`` or ``silent``, empty while it waits.
    ``is_kept`` is true if its connection had carried an answer before.
    """

    def __init__(self, path: str, *, is_kept: bool) -> None:
        self.request_id = f'{random.getrandbits(64):016x}'
        self.path = path
        self.is_kept = is_kept
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.end = ''
        self.body = b''

    def finish(self, end: str) -> None:
        """Note how the attempt ended."""
        self.end = end
        self.ended_at = time.monotonic()

    def as_line(self, started_at: float) -> str:
        """Return a line of the record."""
        kind = 'kept' if self.is_kept else 'new'
        end = 'still waits'
        if self.end:
            end = f'{self.end} after {self.ended_at - self.sent_at:.3f} s'
        return (
            f'{self.sent_at - started_at:8.3f} {self.request_id} {self.path} '
            f'on a {kind} connection: {end}'
        )


class Client:
    """Sends requests to one node over a connection that it keeps."""

    def __init__(
        self,
        address: tuple[str, int],
        attempts: list[Attempt],
        *,
        host: str,
        path: str,
        method: str = 'GET',
        limit_seconds: float = 5.0,
        pause_seconds: float = 0.1,
        key: str = '',
    ) -> None:
        self._address = address
        self._attempts = attempts
        self._host = host
        self._path = path
        self._method = method
        self._limit_seconds = limit_seconds
        self._pause_seconds = pause_seconds
        self._key = key
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        await asyncio.sleep(random.random() * _SPREAD_SECONDS)
        try:
            while True:
                await self.send()
                await asyncio.sleep(random.random() * 2 * self._pause_seconds)
        finally:
            self._drop()

    async def send(self, body: bytes = b'') -> Attempt | None:
        """Send one request; ``None`` if no connection can be made."""
        is_kept = self._streams is not None
        if self._streams is None:
            try:
                async with asyncio.timeout(1):
                    self._streams = await asyncio.open_connection(
                        *self._address
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                return None
        attempt = Attempt(self._path, is_kept=is_kept)
        self._attempts.append(attempt)
        try:
            async with asyncio.timeout(self._limit_seconds):
                status, is_last = await self._exchange(attempt, body)
            attempt.finish(str(status))
            if is_last:
                self._drop()
        except TimeoutError:
            attempt.finish('silent')
            self._drop()
        except (OSError, asyncio.IncompleteReadError):
            attempt.finish('closed')
            self._drop()
        return attempt

    async def _exchange(
        self, attempt: Attempt, body: bytes
    ) -> tuple[int, bool]:
        assert self._streams is not None
        reader, writer = self._streams
        head = (
            f'{self._method} {self._path} HTTP/1.1\r\nHost: {self._host}\r\n'
            f'Lovageshunt-Attempt-Id: {attempt.request_id}\r\n'
            'Lovageshunt-Deadline-Remaining-Ms: '
            f'{round(self._limit_seconds * 1000)}\r\n'
        )
        if self._key:
            head += f'Lovageshunt-Credential: {self._key}\r\n'
        if self._method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        writer.write(f'{head}\r\n'.encode() + body)
        await writer.drain()
        line, fields = parse_head(await reader.readuntil(b'\r\n\r\n'))
        count = int(fields.get('content-length', 0))
        attempt.body = await reader.readexactly(count)
        is_last = fields.get('connection', '').lower() == 'close'
        return int(line.split(' ')[1]), is_last

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def ends_of(attempts: list[Attempt]) -> str:
    """Return how many attempts ended in which way."""
    counts = Counter(each.end or 'waits' for each in attempts)
    return ', '.join(f'{end}: {count}' for end, count in sorted(counts.items()))
