"""Recognises orders that arrive again, and keeps their answers for a time."""

from collections import Counter
from heapq import heappop, heappush
from typing import Any, Final

from lovageshunt._memory_account import MemoryAccount
from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.links._frames import encode_answer
from lovageshunt.links._messages import RunAnswer, RunOrder

#: How long an answer is kept at least: longer than a sender that runs takes
#: to detect a silent link and to reconnect.
_MIN_RETENTION_SECONDS: Final = 4.0
#: How long after its deadline an answer is of no use: the sender has
#: responded to the client by then.
_LATE_ANSWER_SECONDS: Final = 0.5
#: The most that kept answers hold together; the earliest to expire go first.
_MAX_KEPT_BYTES: Final = 8 * 1024 * 1024
#: The most answers that are kept, however small.
_MAX_KEPT_ANSWERS: Final = 16384
#: What a kept answer takes besides its bytes, in bytes.
_ENTRY_BYTES: Final = 512
#: The largest number of senders whose last forgotten order is known; when it
#: is exceeded, the one that was forgotten first is dropped.
_MAX_SENDERS: Final = 16384

#: The incarnation of an order's sender, and its stream number there.
OrderKey = tuple[str, int]

_ANSWER_IF_FORGOTTEN: Final = encode_answer(
    RunAnswer(
        outcome=Outcome.UNKNOWN,
        reason=RefusalReason.CONNECTION_LOST,
    ),
)


class AcceptedOrder:
    """An order that was accepted from a sender.

    ``order`` is ``None`` if it was refused before it was whole.
    ``token`` is the handler's while the order runs, ``answer`` the encoded
    answer afterwards. ``link`` is the one that the sender used last.
    ``keep_until`` is in seconds on the process's clock.
    """

    __slots__ = ('token', 'answer', 'link', 'keep_until')

    def __init__(self, link: Any, order: RunOrder | None) -> None:
        self.token: Any = None
        self.answer: bytes | None = None
        self.link = link
        self.keep_until = float(0)
        if order is not None and not order.is_repeatable:
            self.keep_until = order.deadline + _LATE_ANSWER_SECONDS


class RecentOrders:
    """The orders that run or were answered recently, to detect repeats.

    The answer to an order that must not run twice is kept until its sender
    has no use for it. No retention is long enough for every pause of the
    sender, of this process and of the network together, so an order that was
    forgotten is told from a new one by its stream number: a sender numbers its
    orders in the order in which it sends them. Times are in seconds on the
    process's clock. ``again_by_state`` counts the orders that arrived again, by
    what had become of them; ``account`` counts what is kept.
    """

    __slots__ = (
        'by_key',
        '_answered',
        '_kept_bytes',
        '_holding',
        '_last_forgotten_by_sender',
        'again_by_state',
    )

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self._holding = (account or MemoryAccount()).open()
        self.by_key: dict[OrderKey, AcceptedOrder] = {}
        self._answered: list[tuple[float, OrderKey]] = []
        self._kept_bytes = 0
        self._last_forgotten_by_sender: dict[str, int] = {}
        self.again_by_state: Counter[str] = Counter()

    def find(self, key: OrderKey) -> AcceptedOrder | None:
        """Return an order that arrives again; count it by its state."""
        earlier = self.by_key.get(key)
        if earlier is not None:
            is_over = earlier.answer is not None
            self.again_by_state['answered' if is_over else 'in_progress'] += 1
        return earlier

    def answer_if_forgotten(self, key: OrderKey) -> bytes | None:
        """Return the encoded answer to an order that may have run before.

        Return ``None`` for one that is known, or that has not arrived before.
        """
        sender, stream = key
        last = self._last_forgotten_by_sender.get(sender, 0)
        if key in self.by_key or stream > last:
            return None
        self.again_by_state['forgotten'] += 1
        return _ANSWER_IF_FORGOTTEN

    def note_answered(self, key: OrderKey, answer: bytes, now: float) -> None:
        """Keep the encoded answer to an order; forget those kept too long."""
        accepted = self.by_key[key]
        accepted.answer = answer
        accepted.token = None
        self._kept_bytes += len(answer)
        keep_until = max(accepted.keep_until, now + _MIN_RETENTION_SECONDS)
        heappush(self._answered, (keep_until, key))
        while self._is_first_due(now):
            self._forget(heappop(self._answered)[1])
        entries = len(self._answered) * _ENTRY_BYTES
        self._holding.update(self._kept_bytes + entries)

    def _is_first_due(self, now: float) -> bool:
        if not self._answered:
            return False
        if len(self._answered) > _MAX_KEPT_ANSWERS:
            return True
        return self._answered[0][0] < now or self._kept_bytes > _MAX_KEPT_BYTES

    def _forget(self, key: OrderKey) -> None:
        self._kept_bytes -= len(self.by_key.pop(key).answer or b'')
        sender, stream = key
        last = self._last_forgotten_by_sender.pop(sender, 0)
        self._last_forgotten_by_sender[sender] = max(last, stream)
        if len(self._last_forgotten_by_sender) > _MAX_SENDERS:
            oldest = next(iter(self._last_forgotten_by_sender))
            self._last_forgotten_by_sender.pop(oldest)
