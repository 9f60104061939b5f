"""A client of the platform: sends requests to a node, reads the answers."""

import asyncio
import secrets
from asyncio import StreamReader, StreamWriter

from review.harness.http import Message, read_message
from review.harness.record import CaseRecord


class Sent:
    """A request that a client sent, and how it ended.

    ``answer`` is ``None`` if the connection ended without one.
    """

    def __init__(self, attempt_id: str, method: str, body: bytes) -> None:
        self.attempt_id = attempt_id
        self.method = method
        self.body = body
        self.answer: Message | None = None

    @property
    def status(self) -> int:
        """The status of the answer, 0 without a whole one."""
        if self.answer is None or not self.answer.is_whole:
            return 0
        return self.answer.status


class Client:
    """Sends requests of one route through the node on its own machine."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        host: str,
        prefix: str,
        limit_ms: int,
        record: CaseRecord,
    ) -> None:
        self.address = address
        self.host = host
        self.prefix = prefix
        self.limit_ms = limit_ms
        self.record = record
        self.sent: list[Sent] = []

    def encode(
        self, sent: Sent, extra: str = '', connection: str = 'close'
    ) -> bytes:
        """Encode a request."""
        length = f'Content-Length: {len(sent.body)}\r\n' if sent.body else ''
        head = (
            f'{sent.method} {self.prefix}{sent.attempt_id[:4]} HTTP/1.1\r\n'
            f'Host: {self.host}\r\n'
            f'Lovageshunt-Attempt-Id: {sent.attempt_id}\r\n'
            f'Lovageshunt-Deadline-Remaining-Ms: {self.limit_ms}\r\n'
            f'Connection: {connection}\r\n{length}{extra}\r\n'
        )
        return head.encode() + sent.body

    def new(self, method: str, body: bytes = b'') -> Sent:
        """Return a request with an id of its own."""
        sent = Sent(secrets.token_hex(8), method, body)
        self.sent.append(sent)
        return sent

    async def open(self) -> tuple[StreamReader, StreamWriter]:
        """Open a connection to the node."""
        async with asyncio.timeout(1):
            return await asyncio.open_connection(*self.address)

    async def request(
        self, method: str, body: bytes = b'', extra: str = ''
    ) -> Sent:
        """Send one request on a connection of its own; wait for its end."""
        sent = self.new(method, body)
        try:
            reader, writer = await self.open()
        except OSError as error:
            self.record.write(f'client cannot connect: {error!r}')
            return sent
        self.record.write(f'client sends {sent.attempt_id} {method}')
        writer.write(self.encode(sent, extra))
        try:
            async with asyncio.timeout(self.limit_ms / 1000 + 1):
                sent.answer = await read_message(reader)
        except (TimeoutError, ConnectionError) as error:
            self.record.write(f'client: {sent.attempt_id}: {error!r}')
        writer.close()
        self.record.write(f'client gets {sent.status} for {sent.attempt_id}')
        return sent
