"""A stand-in for an application instance, as the users' pages describe it.

It runs requests in slots, echoes their ids, proves its answers, rejects
requests that name another instance, and drops a request whose connection
closes. Cases derive from it to make an instance refuse or err.
"""

import asyncio
import contextlib
import time
from asyncio import StreamReader, StreamWriter

from review.harness.http import Message, read_message
from review.harness.record import CaseRecord

_NOT_EXECUTED = 'Lovageshunt-Not-Executed: 1\r\n'


class Run:
    """One execution of a request by an instance."""

    def __init__(self, instance_id: str, message: Message) -> None:
        self.instance_id = instance_id
        self.attempt_id = message.attempt_id
        self.line = message.line
        self.headers = message.headers
        self.body = message.body
        self.started_at = time.monotonic()


class Instance:
    """One instance at an address; ``runs`` are shared by all instances."""

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        host: str,
        port: int,
        zone: str,
        slots: int,
        work_seconds: float,
        body: bytes,
        runs: list[Run],
        record: CaseRecord,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.body = body
        self.runs = runs
        self.record = record
        self.running = 0
        self.running_ids: set[str] = set()
        self.born_ms = int(time.time() * 1000)
        self.heartbeats = 0
        self._server: asyncio.Server | None = None
        self._writers: set[StreamWriter] = set()

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return what the instance publishes of itself."""
        self.heartbeats += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': '1',
            'slots': self.slots,
            'state': state,
            'cold_left_s': 0,
            'seq': self.heartbeats,
            'born': self.born_ms,
        }

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def refuses(self, message: Message) -> bool:
        """Return whether the request is rejected, without having run."""
        return self.running >= self.slots

    def before_answer(self, writer: StreamWriter) -> None:
        """Do what precedes the answer to a request that has just arrived."""

    def after_answer(self, writer: StreamWriter, answer: bytes) -> None:
        """Do what follows an answer that was written."""

    def answer(
        self, message: Message, status: int, body: bytes, extra: str = ''
    ) -> bytes:
        """Encode an answer."""
        head = (
            f'HTTP/1.1 {status} X\r\n'
            f'Lovageshunt-Attempt-Id: {message.attempt_id}\r\n'
            f'Lovageshunt-Response-Seal: {self.instance_id}.'
            f'{message.attempt_id}\r\n'
            f'Lovageshunt-Instance-Load: {self.running},0,{self.slots}\r\n'
            f'Keep-Alive: timeout=10\r\n'
            f'Content-Length: {len(body)}\r\n{extra}\r\n'
        )
        return head.encode() + body

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(
        self, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        message = await read_message(reader)
        if message is None or not message.is_whole:
            return False
        self.before_answer(writer)
        answer = await self._answer_to(message, reader)
        if answer is None:
            return False
        writer.write(answer)
        await writer.drain()
        self.after_answer(writer, answer)
        return True

    async def _answer_to(
        self, message: Message, reader: StreamReader
    ) -> bytes | None:
        """Run a request or reject it; ``None`` if its connection closed."""
        wanted = message.headers.get('lovageshunt-target-instance', '')
        if wanted not in {'', self.instance_id}:
            return self.answer(message, 421, b'', _NOT_EXECUTED)
        if self.refuses(message):
            self.record.write(
                f'instance {self.instance_id} refuses {message.attempt_id}'
                ' (503, Lovageshunt-Not-Executed)'
            )
            return self.answer(message, 503, b'', _NOT_EXECUTED)
        self.runs.append(Run(self.instance_id, message))
        self.record.write(
            f'instance {self.instance_id} runs {message.attempt_id}'
            f' {message.line} body={len(message.body)}'
        )
        self.running += 1
        self.running_ids.add(message.attempt_id)
        try:
            return await self._run(message, reader)
        finally:
            self.running -= 1
            self.running_ids.discard(message.attempt_id)

    async def _run(
        self, message: Message, reader: StreamReader
    ) -> bytes | None:
        left_ms = message.headers.get('lovageshunt-deadline-remaining-ms', '')
        left = int(left_ms) / 1000 if left_ms else 60.0
        ends_at = time.monotonic() + min(self.work_seconds, left)
        while time.monotonic() < ends_at:
            if reader.at_eof():
                self.record.write(
                    f'instance {self.instance_id} drops {message.attempt_id}:'
                    ' its connection closed'
                )
                return None
            pause = ends_at - time.monotonic()
            await asyncio.sleep(max(0, min(0.02, pause)))
        if left < self.work_seconds:
            return self.answer(message, 504, b'')
        return self.answer(message, 200, self.body)
