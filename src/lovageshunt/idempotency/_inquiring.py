"""Inquiries to peers about a call, and answers to theirs."""

from collections.abc import Iterable

from lovageshunt.calls import HomeNode, RefusalReason
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
    RunOnceTicked,
    Settled,
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
    end_in_doubt,
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
    ruled_out: set[Identity],
    named: Identity | None,
    now: float,
) -> list[Action]:
    """Ask every node that may have run a call, or may yet run it.

    ``named`` is a home that a stamp or an earlier promise names; the inquiry
    proves nothing without an answer from it or from a peer that received its
    hand-over. ``ruled_out`` are departed nodes that ended before the call
    began.
    """
    inquiry = Inquiry(
        number=state.next_inquiry_number(),
        due_at=now + state.settings.inquiry_seconds,
        is_witnessed=state.is_settled_for(entry.began_at),
        digest=digest_of(asked | {state.identity}),
    )
    inquiry.add_covered(state.expiry_by_leaver)
    inquiry.add_covered(ruled_out)
    entry.life.step('inquire')
    entry.home = named
    entry.inquiry = inquiry
    state.inquiring[entry.key] = entry
    if named is not None:
        inquiry.require_answer(named)
        asked = asked | {named}
    return [
        *_send_inquiries(state, entry, inquiry, asked, now),
        *_conclude_if_done(state, entry, inquiry),
    ]


@decide.register
def _on_inquiry_received(
    event: InquiryReceived,
    state: NodeState,
    now: float,
) -> list[Action]:
    # An inquiry that was sent earlier has already timed out at the asker.
    asked_at = now - state.settings.inquiry_seconds
    began_at = asked_at - event.age_ms / MS_PER_SECOND
    entry = state.find(event.key, now)
    if entry is None:
        entry = state.create(event.key, began_at=began_at, now=now)
    if entry is None:
        return [_reply(event, _claim_only(state, Claim.CANNOT_PROMISE))]
    asker = identity_of(event.asker)
    if _is_held_here(state, entry, asker):
        return [_reply(event, _claim_only(state, Claim.HELD_HERE))]
    earlier_home = _earlier_promise(entry, asker)
    redirects = []
    if entry.state != 'elsewhere':
        redirects = yield_to(state, entry, asker)
    possible_runners = state.possible_runners(
        event.gone,
        began_at=began_at,
        now=now,
    )
    answer = InquiryAnswer(
        claim=Claim.WILL_NOT_RUN,
        answerer=stamp_of(state.identity),
        home=earlier_home,
        refused_through=entry.refused_through,
        known=_nodes_to_report(event, state, possible_runners),
        covered=tuple(map(stamp_of, state.expiry_by_leaver)),
        is_witness=state.is_settled_for(min(began_at, entry.began_at)),
    )
    return [_reply(event, answer), *redirects]


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
    if answer.claim is Claim.HELD_HERE:
        return yield_to(state, entry, peer)
    if answer.answerer != event.peer:
        inquiry.add_failed([identity_of(event.peer)])
        inquiry.add_asked([peer])
    inquiry.record_answer(peer, answer)
    entry.refused_through = max(entry.refused_through, answer.refused_through)
    to_ask = set(map(identity_of, answer.known))
    if answer.home is not None:
        named = identity_of(answer.home)
        inquiry.require_answer(named)
        to_ask.add(named)
    return [
        *_send_inquiries(state, entry, inquiry, to_ask, now),
        *_conclude_if_done(state, entry, inquiry),
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
    inquiry.add_failed([identity_of(event.peer)])
    return _conclude_if_done(state, entry, inquiry)


@decide.register
def _on_ticked(
    event: RunOnceTicked, state: NodeState, now: float
) -> list[Action]:
    state.expire(now)
    actions: list[Action] = []
    for entry in list(state.inquiring.values()):
        inquiry = entry.inquiry
        if inquiry is not None and inquiry.due_at <= now:
            inquiry.add_failed(tuple(inquiry.pending))
            actions.extend(_conclude_if_done(state, entry, inquiry))
    return actions


@decide.register
def _on_settled(event: Settled, state: NodeState, now: float) -> list[Action]:
    if state.settled_at is None:
        earliest = state.started_at + state.settings.settle_seconds
        state.settled_at = max(now, earliest)
    return []


@decide.register
def _on_resumed(event: Resumed, state: NodeState, now: float) -> list[Action]:
    """Invalidate what was read before the suspension.

    Messages may have waited in this process's own buffers, so every expiry is
    extended by the length of the suspension. After a suspension of
    ``retention_seconds`` peers no longer remember this node as departed, so
    it must settle again.
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
        actions.extend(end_in_doubt(state, inquiring))
    return actions


def _send_inquiries(
    state: NodeState,
    entry: Entry,
    inquiry: Inquiry,
    asked: Iterable[Identity],
    now: float,
) -> list[Action]:
    fresh = inquiry.add_asked(set(asked) - {state.identity})
    # Earlier incarnations of this node cannot be asked: this one answers at
    # their address.
    earlier = [each for each in fresh if each[0] == state.identity[0]]
    inquiry.add_failed(earlier)
    if state.started_at < entry.began_at:
        inquiry.add_witness(state.identity)
    return [
        Inquire(
            key=entry.key,
            peer=stamp_of(peer),
            age_ms=round((now - entry.began_at) * MS_PER_SECOND),
            number=inquiry.number,
            digest=inquiry.digest,
        )
        for peer in fresh
        if peer not in earlier
    ]


def _conclude_if_done(
    state: NodeState,
    entry: Entry,
    inquiry: Inquiry,
) -> list[Action]:
    if inquiry.pending:
        return []
    if not inquiry.is_conclusive():
        return end_in_doubt(state, entry)
    return _grant_run(state, entry)


def _grant_run(state: NodeState, entry: Entry) -> list[Action]:
    entry.is_exclusive = True
    entry.home = None
    entry.epoch = state.epoch
    entry.inquiry = None
    state.inquiring.pop(entry.key, None)
    actions = _refuse_blocked(state, entry)
    runner = next(iter(entry.waiting_by_call_id), None)
    if runner is None:
        settle_refused(state, entry)
        return actions
    if state.is_leaving:
        retry_after_ms = state.settings.refusal_retry_ms
        reason = RefusalReason.LEAVING
        return actions + refuse_all(state, entry, reason, retry_after_ms)
    entry.life.step('win')
    entry.runner = runner
    return [*actions, Run(call_id=runner)]


def _refuse_blocked(state: NodeState, entry: Entry) -> list[Action]:
    actions: list[Action] = []
    for attempt in list(entry.waiting_by_call_id.values()):
        if not entry.is_blocked(attempt.number):
            continue
        state.remove_waiter(entry, attempt.call_id)
        actions.extend(
            refuse_one(
                attempt,
                is_proved_not_run=attempt.number >= FIRST_ATTEMPT,
                reason=RefusalReason.CANCELLED,
                retry_after_ms=state.settings.refusal_retry_ms,
            ),
        )
    return actions


def _is_held_here(state: NodeState, entry: Entry, asker: Identity) -> bool:
    if entry.state in _ASKING_STATES:
        return state.identity < asker
    return entry.state in _HELD_STATES


def _nodes_to_report(
    event: InquiryReceived,
    state: NodeState,
    possible_runners: set[Identity],
) -> tuple[HomeNode, ...]:
    """Return the nodes known here; empty if the asker knows the same."""
    known = possible_runners.union(
        map(identity_of, event.peers),
        (state.identity,),
    )
    if digest_of(known) == event.digest:
        return ()
    return tuple(map(stamp_of, sorted(known)))


def _earlier_promise(entry: Entry, asker: Identity) -> HomeNode | None:
    if entry.home is None or entry.home == asker:
        return None
    return stamp_of(entry.home)


def _claim_only(state: NodeState, claim: Claim) -> InquiryAnswer:
    return InquiryAnswer(claim=claim, answerer=stamp_of(state.identity))


def _reply(event: InquiryReceived, answer: InquiryAnswer) -> AnswerInquiry:
    return AnswerInquiry(
        key=event.key,
        asker=event.asker,
        number=event.number,
        answer=answer,
    )
