"""Reads HTTP/1.1 messages from asyncio streams."""

from asyncio import IncompleteReadError, StreamReader


class Message:
    """A message: its first line, header fields and body.

    ``headers`` have lower-case names. ``is_whole`` is false if the connection
    ended before the message did.
    """

    def __init__(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        *,
        is_whole: bool = True,
    ) -> None:
        self.line = line
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split(' ', 2)[1])

    @property
    def attempt_id(self) -> str:
        """The id of the client attempt, empty without one."""
        return self.headers.get('lovageshunt-attempt-id', '')


async def read_head(reader: StreamReader) -> Message | None:
    """Read a message without its body; ``None`` if the connection ended."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for field in lines[1:]:
        name, colon, text = field.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0], headers, b'')


async def read_message(reader: StreamReader) -> Message | None:
    """Read a message whose body has a length or comes in chunks.

    Return ``None`` if the connection ended before the end of the head.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get('transfer-encoding', '') == 'chunked':
            message.body = await _read_chunks(reader)
        else:
            length = int(message.headers.get('content-length', '0'))
            message.body = await reader.readexactly(length)
    except IncompleteReadError as error:
        message.body = error.partial
        message.is_whole = False
    except ConnectionError:
        message.is_whole = False
    return message


async def _read_chunks(reader: StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if size == 0:
            return body
