"""A server of the platform: runs requests in slots and reports its load."""

import asyncio
from collections import Counter

_HEAD_LIMIT = 256 * 1024
_IDLE_SECONDS = 10
_READ_BYTES = 64 * 1024


class Server:
    """One server. ``began`` holds the ids of the requests that it has begun.

    ``fields_by_id`` holds the header fields that came with them. With
    ``read_per_second``, in bytes, it reads bodies that
    slowly.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        *,
        slots: int,
        work_seconds: float,
        read_per_second: float | None = None,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.work_seconds = work_seconds
        self.read_per_second = read_per_second
        self.running = 0
        self.began: Counter[str] = Counter()
        self.fields_by_id: dict[str, dict[str, str]] = {}
        self._listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(
            self._serve, host, port, limit=_HEAD_LIMIT
        )

    def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        async with asyncio.timeout(_IDLE_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
        line, fields = parse_head(head)
        await self._read_body(reader, int(fields.get('content-length', 0)))
        request_id = fields.get('lovageshunt-attempt-id', '')
        if line.split(' ')[1] == '/health':
            writer.write(self._answer(200, request_id, b'ok'))
        elif fields.get('lovageshunt-target-instance') != self.server_id:
            writer.write(self._answer(421, request_id, b''))
        elif self.running >= self.slots:
            writer.write(
                self._answer(
                    503, request_id, b'', b'Lovageshunt-Not-Executed: 1\r\n'
                )
            )
        else:
            await self._run(request_id, fields, writer)
        return True

    async def _read_body(
        self, reader: asyncio.StreamReader, count: int
    ) -> None:
        while count:
            data = await reader.read(min(count, _READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b'', count)
            count -= len(data)
            if self.read_per_second is not None:
                await asyncio.sleep(len(data) / self.read_per_second)

    async def _run(
        self,
        request_id: str,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        self.running += 1
        self.began[request_id] += 1
        self.fields_by_id[request_id] = fields
        try:
            await self.answer_run(request_id, writer)
        finally:
            self.running -= 1

    async def answer_run(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_seconds)
        writer.write(
            self._answer(200, request_id, b'done ' + request_id.encode())
        )

    def _answer(
        self, status: int, request_id: str, body: bytes, more: bytes = b''
    ) -> bytes:
        return (
            b'HTTP/1.1 %d S\r\n'
            b'Lovageshunt-Attempt-Id: %b\r\n'
            b'Lovageshunt-Instance-Id: %b\r\n'
            b'Lovageshunt-Instance-Load: %d,0,%d\r\n'
            b'%b%b'
            b'Keep-Alive: timeout=%d\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (
                status,
                request_id.encode(),
                self.server_id.encode(),
                self.running,
                self.slots,
                b'Lovageshunt-Response-Seal: 3e1b.07\r\n'
                if status == 200
                else b'',
                more,
                _IDLE_SECONDS,
                len(body),
                body,
            )
        )


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a head, and its fields by lower-case name."""
    lines = head.decode('latin-1').split('\r\n')
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return lines[0], fields
