"""Asking peers about a call, and answering them."""

from collections.abc import Iterable

from lovageshunt.calls import HomeStamp, RefusalReason
from lovageshunt.idempotency._actions import (
    Action,
    AnswerInquiry,
    Inquire,
    Run,
)
from lovageshunt.idempotency._deciding import decide
from lovageshunt.idempotency._entry import Entry, Inquiry
from lovageshunt.idempotency._events import (
    InquiryAnswered,
    InquiryFailed,
    InquiryReceived,
    Resumed,
    Settled,
    Ticked,
)
from lovageshunt.idempotency._records import (
    Claim,
    Identity,
    InquiryAnswer,
    digest_of,
    identity_of,
    stamp_of,
)
from lovageshunt.idempotency._refusing import (
    FIRST_ATTEMPT,
    doubt_all,
    refuse_all,
    refuse_one,
    settle_refused,
    yield_to,
)
from lovageshunt.idempotency._state import MS_PER_SECOND, NodeState

_HELD_STATES = frozenset(('queued', 'running', 'ended'))
_ASKING_STATES = frozenset(('inquiring', 'doubtful'))


def start_inquiry(
    state: NodeState,
    entry: Entry,
    *,
    asked: set[Identity],
    excused: set[Identity],
    named: Identity | None,
    now: float,
) -> list[Action]:
    """Ask every node that may have run a call, or may yet run it.

    ``named`` is a home that a stamp or an earlier promise names; without
    its word, or that of its heir, there is no proof. ``excused`` had ended
    before the call began.
    """
    inquiry = Inquiry(
        number=state.next_number(),
        due_at=now + state.settings.inquiry_seconds,
        is_witnessed=state.is_settled_for(entry.born_at),
        digest=digest_of(asked | {state.me}),
    )
    inquiry.cover(state.expiry_by_leaver)
    inquiry.cover(excused)
    entry.life.step('inquire')
    entry.home = named
    entry.inquiry = inquiry
    state.inquiring[entry.key] = entry
    if named is not None:
        inquiry.require(named)
        asked = asked | {named}
    return [
        *_ask(state, entry, inquiry, asked, now),
        *_conclude(state, entry, inquiry),
    ]


@decide.register
def _on_inquired(
    event: InquiryReceived,
    state: NodeState,
    now: float,
) -> list[Action]:
    # An answer that took longer than the inquiry may is not used.
    asked_at = now - state.settings.inquiry_seconds
    born_at = asked_at - event.age_ms / MS_PER_SECOND
    entry = state.find(event.key, now)
    if entry is None:
        entry = state.create(event.key, born_at=born_at, now=now)
    if entry is None:
        return [_reply(event, _plain_answer(state, Claim.CANNOT_SAY))]
    asker = identity_of(event.asker)
    if _is_held(state, entry, asker):
        return [_reply(event, _plain_answer(state, Claim.MINE))]
    before = _promised_before(entry, asker)
    moved = []
    if entry.state != 'elsewhere':
        moved = yield_to(state, entry, asker)
    suspects = state.suspects(event.gone, born_at=born_at, now=now)
    answer = InquiryAnswer(
        claim=Claim.WILL_NOT_RUN,
        answerer=stamp_of(state.me),
        home=before,
        refused_through=entry.refused_through,
        known=_unknown_to(event, state, suspects),
        covered=tuple(map(stamp_of, state.expiry_by_leaver)),
        is_witness=state.is_settled_for(min(born_at, entry.born_at)),
    )
    return [_reply(event, answer), *moved]


@decide.register
def _on_inquiry_answered(
    event: InquiryAnswered,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.inquiring.get(event.key)
    inquiry = None if entry is None else entry.inquiry
    if entry is None or inquiry is None or inquiry.number != event.number:
        return []
    answer = event.answer
    peer = identity_of(answer.answerer)
    if answer.claim is Claim.MINE:
        return yield_to(state, entry, peer)
    if answer.answerer != event.peer:
        inquiry.fail([identity_of(event.peer)])
        inquiry.ask([peer])
    inquiry.take(peer, answer)
    entry.refused_through = max(entry.refused_through, answer.refused_through)
    widened = set(map(identity_of, answer.known))
    if answer.home is not None:
        named = identity_of(answer.home)
        inquiry.require(named)
        widened.add(named)
    return [
        *_ask(state, entry, inquiry, widened, now),
        *_conclude(state, entry, inquiry),
    ]


@decide.register
def _on_inquiry_failed(
    event: InquiryFailed,
    state: NodeState,
    now: float,
) -> list[Action]:
    entry = state.inquiring.get(event.key)
    inquiry = None if entry is None else entry.inquiry
    if entry is None or inquiry is None or inquiry.number != event.number:
        return []
    inquiry.fail([identity_of(event.peer)])
    return _conclude(state, entry, inquiry)


@decide.register
def _on_ticked(event: Ticked, state: NodeState, now: float) -> list[Action]:
    state.expire(now)
    actions: list[Action] = []
    for entry in list(state.inquiring.values()):
        inquiry = entry.inquiry
        if inquiry is not None and inquiry.due_at <= now:
            inquiry.fail(tuple(inquiry.pending))
            actions.extend(_conclude(state, entry, inquiry))
    return actions


@decide.register
def _on_settled(event: Settled, state: NodeState, now: float) -> list[Action]:
    if state.settled_at is None:
        earliest = state.started_at + state.settings.settle_seconds
        state.settled_at = max(now, earliest)
    return []


@decide.register
def _on_woke(event: Resumed, state: NodeState, now: float) -> list[Action]:
    """Trust nothing that was read before the gap.

    Messages may have waited in the process's own buffers, so entries are
    kept for as long as it was suspended beyond their time. After a gap as
    long as peers remember who departed, the node must settle anew.
    """
    state.epoch += 1
    if state.settings.retention_seconds <= event.gap_seconds:
        state.settled_at = None
    state.cautious_until = now + state.settings.caution_seconds
    for entry in state.entry_by_key.values():
        entry.expires_at += event.gap_seconds
    for leaver in state.expiry_by_leaver:
        state.expiry_by_leaver[leaver] += event.gap_seconds
    actions: list[Action] = []
    for inquiring in list(state.inquiring.values()):
        actions.extend(doubt_all(state, inquiring))
    return actions


def _ask(
    state: NodeState,
    entry: Entry,
    inquiry: Inquiry,
    asked: Iterable[Identity],
    now: float,
) -> list[Action]:
    fresh = inquiry.ask(set(asked) - {state.me})
    # This incarnation answers at the address of the earlier ones.
    earlier = [each for each in fresh if each[0] == state.me[0]]
    inquiry.fail(earlier)
    if state.started_at < entry.born_at:
        inquiry.replace(state.me)
    return [
        Inquire(
            key=entry.key,
            peer=stamp_of(peer),
            age_ms=round((now - entry.born_at) * MS_PER_SECOND),
            number=inquiry.number,
            digest=inquiry.digest,
        )
        for peer in fresh
        if peer not in earlier
    ]


def _conclude(
    state: NodeState,
    entry: Entry,
    inquiry: Inquiry,
) -> list[Action]:
    if inquiry.pending:
        return []
    if not inquiry.is_proof():
        return doubt_all(state, entry)
    return _win(state, entry)


def _win(state: NodeState, entry: Entry) -> list[Action]:
    entry.is_exclusive = True
    entry.home = None
    entry.epoch = state.epoch
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    actions = _answer_blocked(state, entry)
    runner = next(iter(entry.by_call_id), None)
    if runner is None:
        settle_refused(state, entry)
        return actions
    if state.is_leaving:
        retry_after_ms = state.settings.refusal_retry_ms
        leaving = RefusalReason.LEAVING
        return actions + refuse_all(state, entry, leaving, retry_after_ms)
    entry.life.step('win')
    entry.runner = runner
    return [*actions, Run(call_id=runner)]


def _answer_blocked(state: NodeState, entry: Entry) -> list[Action]:
    actions: list[Action] = []
    for arrival in list(entry.by_call_id.values()):
        if not entry.is_blocked(arrival.attempt):
            continue
        state.leave(entry, arrival.call_id)
        actions.extend(
            refuse_one(
                arrival,
                is_proved=arrival.attempt >= FIRST_ATTEMPT,
                reason=RefusalReason.CANCELLED,
                retry_after_ms=state.settings.refusal_retry_ms,
            ),
        )
    return actions


def _is_held(state: NodeState, entry: Entry, asker: Identity) -> bool:
    if entry.state in _ASKING_STATES:
        return state.me < asker
    return entry.state in _HELD_STATES


def _unknown_to(
    event: InquiryReceived,
    state: NodeState,
    suspects: set[Identity],
) -> tuple[HomeStamp, ...]:
    """Return the nodes known here, unless the asker knows the same."""
    known = suspects.union(map(identity_of, event.peers), (state.me,))
    if digest_of(known) == event.digest:
        return ()
    return tuple(map(stamp_of, sorted(known)))


def _promised_before(entry: Entry, asker: Identity) -> HomeStamp | None:
    if entry.home is None or entry.home == asker:
        return None
    return stamp_of(entry.home)


def _plain_answer(state: NodeState, claim: Claim) -> InquiryAnswer:
    return InquiryAnswer(claim=claim, answerer=stamp_of(state.me))


def _reply(event: InquiryReceived, answer: InquiryAnswer) -> AnswerInquiry:
    return AnswerInquiry(
        key=event.key,
        asker=event.asker,
        number=event.number,
        answer=answer,
    )
