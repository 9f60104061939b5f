"""Queue of outgoing messages, limited by a token bucket of bytes."""

from typing import Final

from lovageshunt.rules._events import SendMessage
from lovageshunt.rules._messages import Message, PartsTold
from lovageshunt.rules._wire import encode_message

#: What HTTP adds to a message on a persistent connection.
MESSAGE_OVERHEAD_BYTES: Final = 200

#: Parts that wait longer are dropped: the requester asks another peer by then.
PARTS_MAX_WAIT_SECONDS: Final = 1

_Key = tuple[str, type[Message]]


class SendQueue:
    """Holds the latest message of each type for each peer.

    The bucket gains ``bytes_per_second`` up to ``burst_bytes`` and starts
    full. A message is sent while the bucket is not empty, even if the message
    is larger than the rest, so that one larger than ``burst_bytes`` can be
    sent; the next one waits until the debt is refilled. ``sent_bytes`` counts
    all bytes sent.
    """

    __slots__ = (
        'sent_bytes',
        '_bytes_per_second',
        '_burst_bytes',
        '_available_bytes',
        '_refilled_at',
        '_message_by_key',
        '_queued_at',
    )

    def __init__(self, *, bytes_per_second: float, burst_bytes: float) -> None:
        self.sent_bytes = 0
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._refilled_at: float | None = None
        self._message_by_key: dict[_Key, Message] = {}
        self._queued_at: dict[_Key, float] = {}

    def put(self, peer: str, message: Message) -> None:
        """Queue a message; replaces a queued one of its type for this peer."""
        self._message_by_key[(peer, type(message))] = message

    def take_sendable(self, now: float) -> list[SendMessage]:
        """Remove and return what may be sent now; large parts go last."""
        self._refill(now)
        self._drop_expired(now)
        actions: list[SendMessage] = []
        for key in sorted(self._message_by_key, key=_has_parts):
            if self._available_bytes <= 0:
                break
            message = self._message_by_key.pop(key)
            actions.append(SendMessage(peer=key[0], message=message))
            self._charge(len(encode_message(message)) + MESSAGE_OVERHEAD_BYTES)
        return actions

    def _drop_expired(self, now: float) -> None:
        # The requester of parts has asked another peer in the meantime.
        for key in self._message_by_key:
            self._queued_at.setdefault(key, now)
        for key, queued_at in list(self._queued_at.items()):
            is_expired = now - queued_at > PARTS_MAX_WAIT_SECONDS
            if key not in self._message_by_key:
                self._queued_at.pop(key)
            elif is_expired and _has_parts(key):
                self._message_by_key.pop(key)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._bytes_per_second
            self._available_bytes += max(earned, 0)
        self._available_bytes = min(self._available_bytes, self._burst_bytes)
        self._refilled_at = now

    def _charge(self, size_bytes: int) -> None:
        self._available_bytes -= size_bytes
        self.sent_bytes += size_bytes


def _has_parts(key: _Key) -> bool:
    return key[1] is PartsTold
