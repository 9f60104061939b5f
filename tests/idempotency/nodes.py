"""A node with two peers, and functions that send it events."""

from lovageshunt.calls import HomeNode, Outcome, RefusalReason
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
ME = HomeNode(node='b', incarnation='1')
LOWER = HomeNode(node='a', incarnation='1')
HIGHER = HomeNode(node='c', incarnation='1')
PEERS = (LOWER, HIGHER)
ANSWERED = Ending(
    outcome=Outcome.ANSWERED,
    answer=StoredAnswer(status=200, headers=(), body=b'paid'),
)


def requested(call_id, attempt, *, key='k', peers=PEERS, **fields):
    """Return the event of an arriving attempt."""
    return AttemptReceived(
        call_id=call_id,
        key=key,
        attempt=attempt,
        deadline=NOW + 5,
        peers=peers,
        **{'age_ms': 100, **fields},
    )


def make_node(started_at=0, **settings):
    """Return a node that settles ``settle_seconds`` after its start."""
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
    """Answer the first inquiry of the node, by default with a promise."""
    answer = InquiryAnswer(claim=claim, answerer=by or peer, **fields)
    return node.handle(
        InquiryAnswered(key='k', peer=peer, number=1, answer=answer),
        NOW,
    )


def inquired(node, asker, age_ms=100):
    """Send an inquiry; return the answer and the node's other actions."""
    event = InquiryReceived(key='k', asker=asker, age_ms=age_ms, number=7)
    actions = node.handle(event, NOW)
    return actions[0].answer, actions[1:]


def dispatch(node, call_id):
    """Report to the node that admission accepted a call."""
    return node.handle(DispatchDue(call_id=call_id), NOW)


def refuse(node):
    """Report to the node that admission refused the attempt ``x``."""
    refused = Refused(
        call_id='x',
        reason=RefusalReason.OVERLOAD,
        retry_after_ms=50,
    )
    return node.handle(refused, NOW)
