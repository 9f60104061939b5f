"""Handling of attempts when they arrive."""

from lovageshunt.calls import HomeNode, RefusalReason
from lovageshunt.idempotency import (
    AnswerNotRun,
    AnswerUnknown,
    Claim,
    Completed,
    DepartedNode,
    Dispatch,
    DispatchDue,
    Inquire,
    InquiryFailed,
    Redirect,
    Replay,
    Resumed,
    Run,
    RunOnceTicked,
    Wait,
    WaiterCancelled,
)
from tests.idempotency.nodes import (
    ANSWERED,
    HIGHER,
    LOWER,
    ME,
    NOW,
    PEERS,
    dispatch,
    make_node,
    promise,
    requested,
)
from tests.only import only


class TestFirstAttempt:
    """A first attempt is never refused as in doubt."""

    def test_it_runs_at_once(self, node):
        """It is passed to admission and dispatched once."""
        assert node.handle(requested('x', 1), NOW) == [Run(call_id='x')]
        assert dispatch(node, 'x') == [Dispatch(call_id='x', key='k')]
        assert dispatch(node, 'x') == []

    def test_second_attempt_waits_for_the_first(self, node):
        """A resend that arrives meanwhile gets the first one's result."""
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')

        waiting = node.handle(requested('y', 2), NOW)
        ended = node.handle(Completed(key='k', ending=ANSWERED), NOW)
        later = node.handle(requested('z', 3), NOW)

        assert waiting == [Wait(call_id='y')]
        assert ended == [Replay(call_id='y', ending=ANSWERED)]
        assert later == [Replay(call_id='z', ending=ANSWERED)]

    def test_unsettled_node_refuses_it(self):
        """A node that peers may not list yet refuses it as not run."""
        node = make_node(started_at=NOW - 1)

        refusal = only(node.handle(requested('x', 1), NOW))

        assert isinstance(refusal, AnswerNotRun)
        assert refusal.reason is RefusalReason.SETTLING

    def test_node_without_member_list_refuses_it(self, node):
        """Without a list it is unknown which nodes to ask."""
        refusal = only(node.handle(requested('x', 1, peers=None), NOW))

        assert refusal.reason is RefusalReason.SETTLING

    def test_only_node_runs_it_before_it_settled(self):
        """There are no peers to ask or to be asked by."""
        node = make_node(started_at=NOW - 1)

        assert node.handle(requested('x', 1, peers=()), NOW) == [
            Run(call_id='x'),
        ]

    def test_stamp_of_an_earlier_incarnation_is_not_run(self, node):
        """The single message arrived here, so its old home did not run it."""
        stamp = HomeNode(node='b', incarnation='0')

        refusal = only(node.handle(requested('x', 1, stamp=stamp), NOW))

        assert isinstance(refusal, AnswerNotRun)

    def test_full_table_refuses_it(self):
        """No entry is evicted to store a new call."""
        node = make_node(max_entries=1)
        node.handle(requested('x', 1), NOW)

        refusal = only(node.handle(requested('y', 1, key='other'), NOW))

        assert isinstance(refusal, AnswerNotRun)
        assert refusal.reason is RefusalReason.TABLE_FULL
        assert node.entry_count == 1

    def test_late_dispatch_is_not_run(self, node):
        """A call whose deadline passed in the queue is not dispatched."""
        node.handle(requested('x', 1), NOW)

        refusal = only(node.handle(DispatchDue(call_id='x'), NOW + 6))

        assert isinstance(refusal, AnswerNotRun)

    def test_dispatch_after_a_pause_is_not_run(self, node):
        """A call queued before a suspension never runs after it."""
        node.handle(requested('x', 1), NOW)
        node.handle(Resumed(gap_seconds=1), NOW)

        refusal = only(dispatch(node, 'x'))

        assert refusal.reason is RefusalReason.STALE_PICTURE

    def test_arrival_after_a_pause_is_inquired_about(self, node):
        """It may have waited in a buffer while a resend ran elsewhere."""
        node.handle(Resumed(gap_seconds=1), NOW)

        wait, *asked = node.handle(requested('x', 1), NOW)

        assert wait == Wait(call_id='x')
        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_waiter_runs_in_place_of_a_cancelled_one(self, node):
        """The oldest waiting attempt is passed to admission."""
        node.handle(requested('x', 1), NOW)
        node.handle(requested('y', 2), NOW)

        assert node.handle(WaiterCancelled(call_id='x'), NOW) == [
            Run(call_id='y'),
        ]


class TestResend:
    """A resend without a stamp needs an inquiry."""

    def test_it_runs_when_every_node_promises(self, node):
        """It is passed to admission with the last promise."""
        node.handle(requested('x', 2), NOW)

        assert promise(node, LOWER) == []
        assert promise(node, HIGHER) == [Run(call_id='x')]

    def test_it_is_redirected_to_the_node_that_holds_it(self, node):
        """The attempt is redirected without a stamp."""
        node.handle(requested('x', 2), NOW)
        actions = promise(node, HIGHER, claim=Claim.HELD_HERE)

        assert actions == [
            Redirect(call_id='x', home=HIGHER, stamp=None, attempt=2),
        ]

    def test_it_is_unknown_when_one_cannot_be_asked(self, node):
        """One node that cannot be asked leaves the call in doubt."""
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)
        failed = InquiryFailed(key='k', peer=HIGHER, number=1)

        answer = only(node.handle(failed, NOW))

        assert isinstance(answer, AnswerUnknown)
        assert answer.reason is RefusalReason.IN_DOUBT

    def test_it_is_unknown_when_one_cannot_promise(self, node):
        """A node with a full table might run a late first attempt."""
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER, claim=Claim.CANNOT_PROMISE))

        assert isinstance(answer, AnswerUnknown)

    def test_later_incarnation_cannot_promise_for_the_one_asked(self, node):
        """The process that answers may not be the one that ran the call."""
        later = HomeNode(node='c', incarnation='2')
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER, by=later))

        assert isinstance(answer, AnswerUnknown)

    def test_it_is_unknown_after_the_inquiry_timeout(self, node):
        """Nodes that did not answer in time count as failed."""
        node.handle(requested('x', 2), NOW)

        answer = only(node.handle(RunOnceTicked(), NOW + 1))

        assert isinstance(answer, AnswerUnknown)

    def test_node_known_to_a_peer_only_is_asked_too(self, node):
        """The answers add nodes that are missing from an outdated list."""
        newer = HomeNode(node='d', incarnation='1')
        node.handle(requested('x', 2), NOW)

        asked = only(promise(node, LOWER, known=(ME, newer)))

        assert isinstance(asked, Inquire)
        assert asked.peer == newer
        assert promise(node, HIGHER) == []

    def test_departed_node_leaves_doubt(self, node):
        """One that is not listed but not proved dead may still run it."""
        gone = (DepartedNode(home=HIGHER, seconds_ago=60),)
        _, *asked = node.handle(
            requested('x', 2, peers=(LOWER,), gone=gone),
            NOW,
        )

        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_dead_node_leaves_no_doubt_for_later_calls(self, node):
        """A call that began after a process ended cannot have run there."""
        dead = DepartedNode(home=HIGHER, seconds_ago=60, is_proved_dead=True)
        node.handle(
            requested('x', 2, peers=(LOWER,), gone=(dead,)),
            NOW,
        )

        assert promise(node, LOWER) == [Run(call_id='x')]

    def test_later_incarnation_proves_the_earlier_ended(self, node):
        """It settled before the call, so the earlier one had ended by then."""
        earlier = HomeNode(node='c', incarnation='0')
        node.handle(requested('x', 2, peers=(*PEERS, earlier)), NOW)
        node.handle(InquiryFailed(key='k', peer=earlier, number=1), NOW)
        promise(node, LOWER)

        actions = promise(node, HIGHER, is_witness=True)

        assert actions == [Run(call_id='x')]

    def test_it_is_unknown_without_a_witness(self):
        """Only a node that settled before the call knows every node to ask."""
        node = make_node(started_at=NOW - 1)
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER))

        assert isinstance(answer, AnswerUnknown)

    def test_one_witness_is_enough(self):
        """It reports the nodes that later ones do not know."""
        node = make_node(started_at=NOW - 1)
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER, is_witness=True)

        assert promise(node, HIGHER) == [Run(call_id='x')]

    def test_stamped_one_runs_at_its_home(self, node):
        """The stamp states that no other node may run it."""
        stamped = requested('x', 2, stamp=ME)

        assert node.handle(stamped, NOW) == [Run(call_id='x')]

    def test_stamp_of_another_listed_home_is_followed(self, node):
        """It may run only at its home."""
        stamped = requested('x', 2, stamp=HIGHER)

        assert node.handle(stamped, NOW) == [
            Redirect(call_id='x', home=HIGHER, stamp=HIGHER, attempt=2),
        ]

    def test_stamp_of_a_lost_home_is_unknown(self, node):
        """Proof needs the home's own answer, and the home is gone."""
        lost = HomeNode(node='d', incarnation='1')
        node.handle(requested('x', 2, stamp=lost), NOW)
        promise(node, LOWER)
        promise(node, HIGHER)

        failed = InquiryFailed(key='k', peer=lost, number=1)
        answer = only(node.handle(failed, NOW))

        assert isinstance(answer, AnswerUnknown)


class TestDoubtful:
    """A call that was left in doubt here before."""

    def test_next_resend_starts_a_new_inquiry(self, node):
        """The nodes that did not answer before may answer now."""
        node.handle(requested('x', 2), NOW)
        node.handle(RunOnceTicked(), NOW + 1)

        _, *asked = node.handle(requested('y', 3), NOW + 1)

        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_old_resend_is_not_asked_about(self, node):
        """The entries at other nodes may have expired by then."""
        node.handle(requested('x', 2, age_ms=800_000), NOW)
        node.handle(RunOnceTicked(), NOW + 1)
        later = requested('y', 3, age_ms=901_000)

        answer = only(node.handle(later, NOW + 101))

        assert isinstance(answer, AnswerUnknown)
