"""The table of one node for calls that must run at most once."""

from collections.abc import Iterable

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency._entry import Attempt, Entry
from lovageshunt.idempotency._records import (
    DepartedNode,
    Ending,
    Identity,
    identity_of,
)
from lovageshunt.idempotency._settings import RunOnceSettings

MS_PER_SECOND = 1000
_ANSWER_NOT_STORED = Ending(
    outcome=Outcome.FAILED,
    reason=RefusalReason.CONNECTION_LOST,
)


class NodeState:
    """A bounded table of entries and the state of the node itself.

    No entry is evicted before it expires; a full table accepts no new call.
    Entries expire in the order of their creation. Times are in seconds of
    the node's clock.

    - ``settled_at``: when every peer had confirmed this node, if they did.
    - ``epoch``: incremented when queued calls must no longer be dispatched.
    - ``cautious_until``: until then first attempts need an inquiry.
    - ``expiry_by_leaver``: peers that handed over their entries, with the
      time at which this is forgotten.
    - ``inquiring``: the entries with an open inquiry, by key.
    """

    __slots__ = (
        'identity',
        'started_at',
        'settled_at',
        'settings',
        'epoch',
        'cautious_until',
        'is_leaving',
        'expiry_by_leaver',
        'inquiring',
        'entry_by_key',
        'entry_by_call_id',
        '_last_inquiry_number',
        '_answer_bytes',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        started_at: float,
        settings: RunOnceSettings,
    ) -> None:
        self.identity = identity
        self.started_at = started_at
        self.settled_at: float | None = None
        self.settings = settings
        self.epoch = 0
        self.cautious_until = started_at
        self.is_leaving = False
        self.expiry_by_leaver: dict[Identity, float] = {}
        self.inquiring: dict[str, Entry] = {}
        self.entry_by_key: dict[str, Entry] = {}
        self.entry_by_call_id: dict[str, Entry] = {}
        self._last_inquiry_number = 0
        self._answer_bytes = 0

    def find(self, key: str, now: float) -> Entry | None:
        """Drop expired entries; return the entry of a call, if any."""
        self.expire(now)
        return self.entry_by_key.get(key)

    def create(self, key: str, *, began_at: float, now: float) -> Entry | None:
        """Return a new entry, or ``None`` when the table is full."""
        if len(self.entry_by_key) >= self.settings.max_entries:
            return None
        entry = Entry(
            key=key,
            began_at=began_at,
            expires_at=self.expiry_from(now),
        )
        self.entry_by_key[key] = entry
        return entry

    def store_ending(self, entry: Entry, ending: Ending) -> None:
        """Store the result of a call, with its answer if the limits allow.

        Without a stored answer later attempts get *failed*: the call ran, but
        no complete answer is available.
        """
        size = _body_bytes(ending)
        settings = self.settings
        fits_table = self._answer_bytes + size <= settings.max_table_bytes
        lacks_answer = (
            ending.outcome is Outcome.ANSWERED and ending.answer is None
        )
        if lacks_answer or size > settings.max_answer_bytes or not fits_table:
            ending = _ANSWER_NOT_STORED
        self._answer_bytes += _body_bytes(ending)
        entry.ending = ending

    def expiry_from(self, now: float) -> float:
        """Return the expiry time of information received now."""
        settings = self.settings
        return now + settings.retention_seconds + settings.transit_seconds

    def drop(self, entry: Entry) -> None:
        """Remove an entry that is no longer needed; release its waiters."""
        if self.entry_by_key.pop(entry.key, None) is not None:
            self._answer_bytes -= _body_bytes(entry.ending)
        self.inquiring.pop(entry.key, None)
        self.release_waiters(entry)

    def expire(self, now: float) -> None:
        """Remove expired entries and expired hand-over records."""
        while self.entry_by_key:
            oldest = next(iter(self.entry_by_key.values()))
            if now < oldest.expires_at:
                break
            self.drop(oldest)
        for leaver, expiry in list(self.expiry_by_leaver.items()):
            if expiry <= now:
                self.expiry_by_leaver.pop(leaver)

    def add_waiter(self, entry: Entry, attempt: Attempt) -> None:
        """Make an attempt wait for the result of an entry."""
        entry.waiting_by_call_id[attempt.call_id] = attempt
        self.entry_by_call_id[attempt.call_id] = entry

    def remove_waiter(self, entry: Entry, call_id: str) -> None:
        entry.waiting_by_call_id.pop(call_id, None)
        self.entry_by_call_id.pop(call_id, None)

    def release_waiters(self, entry: Entry) -> list[Attempt]:
        """Remove all waiting attempts of an entry and return them."""
        attempts = list(entry.waiting_by_call_id.values())
        for attempt in attempts:
            self.entry_by_call_id.pop(attempt.call_id, None)
        entry.waiting_by_call_id = {}
        entry.runner = None
        return attempts

    def next_inquiry_number(self) -> int:
        self._last_inquiry_number += 1
        return self._last_inquiry_number

    def earliest_start(self, age_ms: int | None, now: float) -> float:
        """Return the earliest time at which a root request may have begun.

        The age was stated when the message was sent, so the maximum transit
        time is added.
        """
        if age_ms is None:
            age_ms = self.settings.unstated_age_ms
        return now - age_ms / MS_PER_SECOND - self.settings.transit_seconds

    def is_settled_for(self, began_at: float) -> bool:
        """Return whether all peers listed this node before the call began."""
        return self.settled_at is not None and self.settled_at <= began_at

    def ruled_out(
        self,
        gone: Iterable[DepartedNode],
        *,
        began_at: float,
        now: float,
    ) -> set[Identity]:
        """Return the departed nodes that cannot have run a call."""
        homes = {identity_of(departed.home) for departed in gone}
        return homes - self.possible_runners(gone, began_at=began_at, now=now)

    def possible_runners(
        self,
        gone: Iterable[DepartedNode],
        *,
        began_at: float,
        now: float,
    ) -> set[Identity]:
        """Return the departed nodes that may have run a call."""
        return {
            identity_of(departed.home)
            for departed in gone
            if not departed.is_proved_dead
            or began_at <= now - departed.seconds_ago
        }


def _body_bytes(ending: Ending | None) -> int:
    if ending is None or ending.answer is None:
        return 0
    return len(ending.answer.body)
