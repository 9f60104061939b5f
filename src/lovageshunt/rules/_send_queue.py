"""Messages that wait until the budget of bytes allows them."""

from typing import Final

from lovageshunt.rules._events import SendMessage
from lovageshunt.rules._messages import Message, PartsTold
from lovageshunt.rules._wire import encode_message

#: What HTTP adds to a message on a connection that is kept, in bytes.
MESSAGE_OVERHEAD_BYTES: Final = 200

#: How long parts wait to be sent; the asker asks elsewhere after a second.
PARTS_WAIT_SECONDS: Final = 1

_Key = tuple[str, type[Message]]


class Outbox:
    """Keeps the latest message of each kind for each peer.

    Bytes are earned at a steady rate up to a burst. A message may be sent
    while any are left and may overdraw them, so that one larger than the
    burst is sent too; it is paid for before the next.
    """

    __slots__ = (
        'sent_bytes',
        '_bytes_per_second',
        '_burst_bytes',
        '_left_bytes',
        '_earned_at',
        '_message_by_key',
        '_waiting_since',
    )

    def __init__(self, *, bytes_per_second: float, burst_bytes: float) -> None:
        """Start with a full burst."""
        self.sent_bytes = 0
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._left_bytes = burst_bytes
        self._earned_at: float | None = None
        self._message_by_key: dict[_Key, Message] = {}
        self._waiting_since: dict[_Key, float] = {}

    def put(self, peer: str, message: Message) -> None:
        """Add a message; one of its kind that still waits is dropped."""
        self._message_by_key[(peer, type(message))] = message

    def take(self, now: float) -> list[SendMessage]:
        """Return what may be sent now: parts go last, as they are large."""
        self._earn(now)
        self._drop_late(now)
        taken: list[SendMessage] = []
        for key in sorted(self._message_by_key, key=_is_large):
            if self._left_bytes <= 0:
                break
            message = self._message_by_key.pop(key)
            taken.append(SendMessage(peer=key[0], message=message))
            self._pay(len(encode_message(message)) + MESSAGE_OVERHEAD_BYTES)
        return taken

    def _drop_late(self, now: float) -> None:
        # Whoever asked for parts has asked another peer since.
        for key in self._message_by_key:
            self._waiting_since.setdefault(key, now)
        for key, since in list(self._waiting_since.items()):
            is_late = now - since > PARTS_WAIT_SECONDS
            if key not in self._message_by_key:
                self._waiting_since.pop(key)
            elif is_late and _is_large(key):
                self._message_by_key.pop(key)

    def _earn(self, now: float) -> None:
        if self._earned_at is not None:
            earned = (now - self._earned_at) * self._bytes_per_second
            self._left_bytes += max(earned, 0)
        self._left_bytes = min(self._left_bytes, self._burst_bytes)
        self._earned_at = now

    def _pay(self, cost: int) -> None:
        self._left_bytes -= cost
        self.sent_bytes += cost


def _is_large(key: _Key) -> bool:
    return key[1] is PartsTold
