"""What is done with an attempt when it arrives."""

from lovageshunt.calls import HomeStamp, RefusalReason
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
    Ticked,
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
    """A first attempt is never refused for doubt."""

    def test_it_runs_at_once(self, node):
        """It passes to admission and is dispatched once."""
        assert node.handle(requested('x', 1), NOW) == [Run(call_id='x')]
        assert dispatch(node, 'x') == [Dispatch(call_id='x', key='k')]
        assert dispatch(node, 'x') == []

    def test_second_attempt_waits_for_the_first(self, node):
        """A resend that arrives meanwhile reads the first's outcome."""
        node.handle(requested('x', 1), NOW)
        dispatch(node, 'x')

        waiting = node.handle(requested('y', 2), NOW)
        ended = node.handle(Completed(key='k', ending=ANSWERED), NOW)
        later = node.handle(requested('z', 3), NOW)

        assert waiting == [Wait(call_id='y')]
        assert ended == [Replay(call_id='y', ending=ANSWERED)]
        assert later == [Replay(call_id='z', ending=ANSWERED)]

    def test_young_node_sends_it_elsewhere(self):
        """A node that peers may not know yet refuses as not run."""
        node = make_node(started_at=NOW - 1)

        refusal = only(node.handle(requested('x', 1), NOW))

        assert isinstance(refusal, AnswerNotRun)
        assert refusal.reason is RefusalReason.SETTLING

    def test_node_that_read_no_list_sends_it_elsewhere(self, node):
        """Without a list there is nobody to ask, and no proof."""
        refusal = only(node.handle(requested('x', 1, peers=None), NOW))

        assert refusal.reason is RefusalReason.SETTLING

    def test_only_node_runs_it_though_young(self):
        """There is nobody else to ask or to be asked by."""
        node = make_node(started_at=NOW - 1)

        assert node.handle(requested('x', 1, peers=()), NOW) == [
            Run(call_id='x'),
        ]

    def test_stamp_of_an_earlier_incarnation_is_not_run(self, node):
        """The one message is here, so its dead home did not run it."""
        stamp = HomeStamp(node='b', incarnation='0')

        refusal = only(node.handle(requested('x', 1, stamp=stamp), NOW))

        assert isinstance(refusal, AnswerNotRun)

    def test_full_table_refuses_it(self):
        """No entry is evicted for a new call."""
        node = make_node(max_entries=1)
        node.handle(requested('x', 1), NOW)

        refusal = only(node.handle(requested('y', 1, key='other'), NOW))

        assert isinstance(refusal, AnswerNotRun)
        assert refusal.reason is RefusalReason.TABLE_FULL
        assert node.entry_count == 1

    def test_late_dispatch_is_not_run(self, node):
        """A deadline that passed in the queue ends the call."""
        node.handle(requested('x', 1), NOW)

        refusal = only(node.handle(DispatchDue(call_id='x'), NOW + 6))

        assert isinstance(refusal, AnswerNotRun)

    def test_dispatch_after_a_pause_is_not_run(self, node):
        """What was queued before a suspension never runs after it."""
        node.handle(requested('x', 1), NOW)
        node.handle(Resumed(gap_seconds=1), NOW)

        refusal = only(dispatch(node, 'x'))

        assert refusal.reason is RefusalReason.STALE_PICTURE

    def test_arrival_after_a_pause_is_inquired_about(self, node):
        """It may have lain in a buffer while a resend ran elsewhere."""
        node.handle(Resumed(gap_seconds=1), NOW)

        wait, *asked = node.handle(requested('x', 1), NOW)

        assert wait == Wait(call_id='x')
        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_cancelled_one_leaves_the_right_to_a_waiter(self, node):
        """The next attempt that waits runs in its place."""
        node.handle(requested('x', 1), NOW)
        node.handle(requested('y', 2), NOW)

        assert node.handle(WaiterCancelled(call_id='x'), NOW) == [
            Run(call_id='y'),
        ]


class TestResend:
    """A resend without a stamp is inquired about."""

    def test_it_runs_when_every_node_promises(self, node):
        """The last promise gives the right to run."""
        node.handle(requested('x', 2), NOW)

        assert promise(node, LOWER) == []
        assert promise(node, HIGHER) == [Run(call_id='x')]

    def test_it_goes_to_the_node_that_has_it(self, node):
        """The attempt is sent there without a stamp."""
        node.handle(requested('x', 2), NOW)
        actions = promise(node, HIGHER, claim=Claim.HELD_HERE)

        assert actions == [
            Redirect(call_id='x', home=HIGHER, stamp=None, attempt=2),
        ]

    def test_it_is_unknown_when_one_cannot_be_asked(self, node):
        """One silent node leaves the call in doubt."""
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)
        failed = InquiryFailed(key='k', peer=HIGHER, number=1)

        answer = only(node.handle(failed, NOW))

        assert isinstance(answer, AnswerUnknown)
        assert answer.reason is RefusalReason.IN_DOUBT

    def test_it_is_unknown_when_one_cannot_promise(self, node):
        """A full node would run a late first attempt."""
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER, claim=Claim.CANNOT_PROMISE))

        assert isinstance(answer, AnswerUnknown)

    def test_later_incarnation_has_no_word_for_the_one_asked(self, node):
        """What answers at an address may not be what ran the call."""
        later = HomeStamp(node='c', incarnation='2')
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER, by=later))

        assert isinstance(answer, AnswerUnknown)

    def test_silence_ends_in_doubt(self, node):
        """Nodes that did not answer in time count as failed."""
        node.handle(requested('x', 2), NOW)

        answer = only(node.handle(Ticked(), NOW + 1))

        assert isinstance(answer, AnswerUnknown)

    def test_node_known_to_a_peer_only_is_asked_too(self, node):
        """A list that lags is widened by the answers."""
        newer = HomeStamp(node='d', incarnation='1')
        node.handle(requested('x', 2), NOW)

        asked = only(promise(node, LOWER, known=(ME, newer)))

        assert isinstance(asked, Inquire)
        assert asked.peer == newer
        assert promise(node, HIGHER) == []

    def test_departed_node_leaves_doubt(self, node):
        """One that is unlisted but not proved dead may still run it."""
        gone = (DepartedNode(home=HIGHER, seconds_ago=60),)
        _, *asked = node.handle(
            requested('x', 2, peers=(LOWER,), gone=gone),
            NOW,
        )

        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_dead_node_leaves_none_for_younger_calls(self, node):
        """A call that began after a process ended is not its own."""
        dead = DepartedNode(home=HIGHER, seconds_ago=60, is_proved_dead=True)
        node.handle(
            requested('x', 2, peers=(LOWER,), gone=(dead,)),
            NOW,
        )

        assert promise(node, LOWER) == [Run(call_id='x')]

    def test_later_incarnation_vouches_for_the_earlier(self, node):
        """One that settled before the call proves the earlier had ended."""
        earlier = HomeStamp(node='c', incarnation='0')
        node.handle(requested('x', 2, peers=(*PEERS, earlier)), NOW)
        node.handle(InquiryFailed(key='k', peer=earlier, number=1), NOW)
        promise(node, LOWER)

        actions = promise(node, HIGHER, is_witness=True)

        assert actions == [Run(call_id='x')]

    def test_it_is_unknown_without_a_witness(self):
        """No node that is older than the call knows whom to ask."""
        node = make_node(started_at=NOW - 1)
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER)

        answer = only(promise(node, HIGHER))

        assert isinstance(answer, AnswerUnknown)

    def test_one_witness_is_enough(self):
        """It names the nodes that the younger ones do not know."""
        node = make_node(started_at=NOW - 1)
        node.handle(requested('x', 2), NOW)
        promise(node, LOWER, is_witness=True)

        assert promise(node, HIGHER) == [Run(call_id='x')]

    def test_stamped_one_runs_at_its_home(self, node):
        """A stamp says that no other node may run it."""
        stamped = requested('x', 2, stamp=ME)

        assert node.handle(stamped, NOW) == [Run(call_id='x')]

    def test_stamp_of_another_listed_home_is_followed(self, node):
        """It runs at its home or nowhere."""
        stamped = requested('x', 2, stamp=HIGHER)

        assert node.handle(stamped, NOW) == [
            Redirect(call_id='x', home=HIGHER, stamp=HIGHER, attempt=2),
        ]

    def test_stamp_of_a_lost_home_is_unknown(self, node):
        """The home's own word is wanted, and it is gone."""
        lost = HomeStamp(node='d', incarnation='1')
        node.handle(requested('x', 2, stamp=lost), NOW)
        promise(node, LOWER)
        promise(node, HIGHER)

        failed = InquiryFailed(key='k', peer=lost, number=1)
        answer = only(node.handle(failed, NOW))

        assert isinstance(answer, AnswerUnknown)


class TestDoubtful:
    """A call that was left in doubt here before."""

    def test_next_resend_asks_anew(self, node):
        """The node that was silent may answer now."""
        node.handle(requested('x', 2), NOW)
        node.handle(Ticked(), NOW + 1)

        _, *asked = node.handle(requested('y', 3), NOW + 1)

        assert [each.peer for each in asked] == [LOWER, HIGHER]

    def test_old_resend_is_not_asked_about(self, node):
        """Those who knew of it may have forgotten it by then."""
        node.handle(requested('x', 2, age_ms=800_000), NOW)
        node.handle(Ticked(), NOW + 1)
        later = requested('y', 3, age_ms=901_000)

        answer = only(node.handle(later, NOW + 101))

        assert isinstance(answer, AnswerUnknown)
