"""What one node remembers of the calls that must run at most once."""

from collections.abc import Iterable

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency._entry import Arrival, Entry
from lovageshunt.idempotency._records import (
    DepartedNode,
    Ending,
    Identity,
    identity_of,
)
from lovageshunt.idempotency._settings import RunOnceSettings

MS_PER_SECOND = 1000
_NOT_KEPT = Ending(
    outcome=Outcome.FAILED,
    reason=RefusalReason.CONNECTION_LOST,
)


class NodeState:
    """A bounded table of entries and the node's own circumstances.

    No entry is dropped before its time; a full table takes no new call.
    Entries expire in the order in which they were made.
    """

    __slots__ = (
        'me',
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
        '_last_number',
        '_answer_bytes',
    )

    def __init__(
        self,
        *,
        me: Identity,
        started_at: float,
        settings: RunOnceSettings,
    ) -> None:
        """Begin with an empty table."""
        self.me = me
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
        self._last_number = 0
        self._answer_bytes = 0

    def find(self, key: str, now: float) -> Entry | None:
        """Return the entry of a call, unless it expired."""
        self.expire(now)
        return self.entry_by_key.get(key)

    def create(self, key: str, *, born_at: float, now: float) -> Entry | None:
        """Return a new entry, or ``None`` when the table is full."""
        if len(self.entry_by_key) >= self.settings.max_entries:
            return None
        entry = Entry(
            key=key,
            born_at=born_at,
            expires_at=self.expiry_from(now),
        )
        self.entry_by_key[key] = entry
        return entry

    def keep(self, entry: Entry, ending: Ending) -> None:
        """Keep how a call ended, with its answer if there is room.

        An answer that is not kept is *failed* for later attempts: the call
        ran, and no whole answer will come.
        """
        size = _size_of(ending)
        settings = self.settings
        has_room = self._answer_bytes + size <= settings.max_table_bytes
        is_cut = ending.outcome is Outcome.ANSWERED and ending.answer is None
        if is_cut or size > settings.max_answer_bytes or not has_room:
            ending = _NOT_KEPT
        self._answer_bytes += _size_of(ending)
        entry.ending = ending

    def expiry_from(self, now: float) -> float:
        """Return until when something learned now is kept."""
        settings = self.settings
        return now + settings.retention_seconds + settings.transit_seconds

    def drop(self, entry: Entry) -> None:
        """Forget an entry that binds nobody."""
        if self.entry_by_key.pop(entry.key, None) is not None:
            self._answer_bytes -= _size_of(entry.ending)
        self.inquiring.pop(entry.key, None)
        self.release(entry)

    def expire(self, now: float) -> None:
        """Forget the entries whose time is over."""
        while self.entry_by_key:
            oldest = next(iter(self.entry_by_key.values()))
            if now < oldest.expires_at:
                break
            self.drop(oldest)
        for leaver, expiry in list(self.expiry_by_leaver.items()):
            if expiry <= now:
                self.expiry_by_leaver.pop(leaver)

    def join(self, entry: Entry, arrival: Arrival) -> None:
        """Let an attempt wait at an entry."""
        entry.by_call_id[arrival.call_id] = arrival
        self.entry_by_call_id[arrival.call_id] = entry

    def leave(self, entry: Entry, call_id: str) -> None:
        """Let an attempt wait no longer."""
        entry.by_call_id.pop(call_id, None)
        self.entry_by_call_id.pop(call_id, None)

    def release(self, entry: Entry) -> list[Arrival]:
        """Return the attempts that waited, who wait no longer."""
        arrivals = list(entry.by_call_id.values())
        for arrival in arrivals:
            self.entry_by_call_id.pop(arrival.call_id, None)
        entry.by_call_id = {}
        entry.runner = None
        return arrivals

    def next_number(self) -> int:
        """Return the number of a new inquiry."""
        self._last_number += 1
        return self._last_number

    def born_at(self, age_ms: int | None, now: float) -> float:
        """Return the earliest time at which a root request began.

        Its age was stated when the message left, so its way is added.
        """
        if age_ms is None:
            age_ms = self.settings.unstated_age_ms
        return now - age_ms / MS_PER_SECOND - self.settings.transit_seconds

    def is_settled_for(self, born_at: float) -> bool:
        """Return whether all peers knew this node before the call began."""
        return self.settled_at is not None and self.settled_at <= born_at

    def excused(
        self,
        gone: Iterable[DepartedNode],
        *,
        born_at: float,
        now: float,
    ) -> set[Identity]:
        """Return the departed nodes that cannot have run a call."""
        homes = {identity_of(departed.home) for departed in gone}
        return homes - self.suspects(gone, born_at=born_at, now=now)

    def suspects(
        self,
        gone: Iterable[DepartedNode],
        *,
        born_at: float,
        now: float,
    ) -> set[Identity]:
        """Return the departed nodes that may have run a call."""
        return {
            identity_of(departed.home)
            for departed in gone
            if not departed.is_proved_dead
            or born_at <= now - departed.seconds_ago
        }


def _size_of(ending: Ending | None) -> int:
    if ending is None or ending.answer is None:
        return 0
    return len(ending.answer.body)
