"""A node with two peers, and what may happen to it."""

from lovageshunt.calls import HomeStamp, Outcome, RefusalReason
from lovageshunt.idempotency import (
    AttemptReceived,
    Claim,
    DispatchDue,
    Ending,
    InquiryAnswer,
    InquiryAnswered,
    InquiryReceived,
    Refused,
    RunOnce,
    RunOnceSettings,
    Settled,
    StoredAnswer,
)

NOW = 1000
ME = HomeStamp(node='b', incarnation='1')
LOWER = HomeStamp(node='a', incarnation='1')
HIGHER = HomeStamp(node='c', incarnation='1')
PEERS = (LOWER, HIGHER)
ANSWERED = Ending(
    outcome=Outcome.ANSWERED,
    answer=StoredAnswer(status=200, headers=(), body=b'paid'),
)


def requested(call_id, attempt, *, key='k', peers=PEERS, **fields):
    """Return an attempt that arrives."""
    return AttemptReceived(
        call_id=call_id,
        key=key,
        attempt=attempt,
        deadline=NOW + 5,
        peers=peers,
        **{'age_ms': 100, **fields},
    )


def make_node(started_at=0, **settings):
    """Return the node under test; it settled when it was old enough."""
    node = RunOnce(
        node=ME.node,
        incarnation=ME.incarnation,
        service='payments',
        started_at=started_at,
        settings=RunOnceSettings(**settings),
    )
    node.handle(Settled(), started_at)
    return node


def promise(node, peer, *, claim=Claim.WILL_NOT_RUN, by=None, **fields):
    """Give the node the answer to its first inquiry, a promise or other."""
    answer = InquiryAnswer(claim=claim, answerer=by or peer, **fields)
    return node.handle(
        InquiryAnswered(key='k', peer=peer, number=1, answer=answer),
        NOW,
    )


def inquired(node, asker, age_ms=100):
    """Ask the node; return its answer and what else it does."""
    event = InquiryReceived(key='k', asker=asker, age_ms=age_ms, number=7)
    actions = node.handle(event, NOW)
    return actions[0].answer, actions[1:]


def dispatch(node, call_id):
    """Tell the node that admission let a call through."""
    return node.handle(DispatchDue(call_id=call_id), NOW)


def refuse(node):
    """Let admission refuse the attempt ``x``."""
    refused = Refused(
        call_id='x',
        reason=RefusalReason.OVERLOAD,
        retry_after_ms=50,
    )
    return node.handle(refused, NOW)
