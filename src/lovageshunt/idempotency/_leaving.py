"""Hand-over of entries from a leaving node to its peers."""

from lovageshunt.calls import Outcome, RefusalReason
from lovageshunt.idempotency._actions import Action, HandOver, Replay
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._entry import Entry
from lovageshunt.idempotency._events import Drained, HandOverReceived, Leaving
from lovageshunt.idempotency._records import Ending, HandOverEntry, identity_of
from lovageshunt.idempotency._state import NodeState

_HELD_STATES = frozenset(('queued', 'running', 'ended'))


@decide.register
def _on_leaving(event: Leaving, state: NodeState, now: float) -> list[Action]:
    state.is_leaving = True
    return []


@decide.register
def _on_drained(event: Drained, state: NodeState, now: float) -> list[Action]:
    state.is_leaving = True
    # Calls that are still queued must no longer be dispatched.
    state.epoch += 1
    state.expire(now)
    entries = tuple(
        _hand_over_entry(entry)
        for entry in state.entry_by_key.values()
        if entry.state in _HELD_STATES or entry.refused_through
    )
    return [HandOver(entries=entries)]


@decide.register
def _on_hand_over_received(
    event: HandOverReceived,
    state: NodeState,
    now: float,
) -> list[Action]:
    state.expire(now)
    fresh = [
        handed
        for handed in event.entries
        if handed.key not in state.entry_by_key
    ]
    spare_entries = state.settings.max_entries - len(state.entry_by_key)
    if spare_entries < len(fresh):
        return []
    actions: list[Action] = []
    for handed in event.entries:
        actions.extend(_import_entry(handed, state, now))
    state.expiry_by_leaver[identity_of(event.leaver)] = state.expiry_from(now)
    return actions


def _hand_over_entry(entry: Entry) -> HandOverEntry:
    ending = entry.ending
    if ending is None and entry.state in _HELD_STATES:
        ending = Ending(
            outcome=Outcome.UNKNOWN,
            reason=RefusalReason.LEAVING,
        )
    return HandOverEntry(
        key=entry.key,
        ending=ending,
        refused_through=entry.refused_through,
    )


def _import_entry(
    handed: HandOverEntry,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.entry_by_key.get(handed.key)
    is_new = entry is None
    if entry is None:
        entry = state.create(handed.key, began_at=now, now=now)
    if entry is None or entry.state in _HELD_STATES:
        return []
    entry.refused_through = max(entry.refused_through, handed.refused_through)
    if handed.ending is None:
        if is_new:
            entry.life.step('refuse')
        return []
    entry.life.step('end')
    state.store_ending(entry, handed.ending)
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    return [
        Replay(call_id=waiter.call_id, ending=handed.ending)
        for waiter in state.release_waiters(entry)
    ]
