"""Answers to inquiries of peers."""

import pytest

from lovageshunt.idempotency import (
    Claim,
    Redirect,
)
from tests.idempotency.nodes import (
    HIGHER,
    LOWER,
    NOW,
    inquired,
    make_node,
    requested,
)


class TestInquired:
    """The answer to an inquiry, and what it binds the node to."""

    def test_promise_outlasts_the_inquiry(self, node):
        """A late first attempt is redirected to the asker."""
        answer, _ = inquired(node, HIGHER)

        assert answer.claim is Claim.WILL_NOT_RUN
        assert node.handle(requested('x', 1), NOW) == [
            Redirect(call_id='x', home=HIGHER, stamp=None, attempt=0),
        ]

    def test_running_call_is_claimed(self, node):
        """The asker learns which node holds the call."""
        node.handle(requested('x', 1), NOW)

        answer, _ = inquired(node, LOWER)

        assert answer.claim is Claim.HELD_HERE

    @pytest.mark.parametrize(
        ('started_at', 'is_witness'),
        [(0, True), (NOW - 10, False)],
    )
    def test_settled_node_is_a_witness(self, started_at, is_witness):
        """A node that settled after the call began is not."""
        node = make_node(started_at=started_at)

        answer, _ = inquired(node, HIGHER, age_ms=10_001)

        assert answer.claim is Claim.WILL_NOT_RUN
        assert answer.is_witness is is_witness

    def test_full_table_cannot_promise(self):
        """Without a stored promise a late first attempt would run."""
        node = make_node(max_entries=0)

        answer, _ = inquired(node, HIGHER)

        assert answer.claim is Claim.CANNOT_PROMISE

    def test_lower_rank_wins_between_two_inquiries(self, node):
        """A node yields to an asker of lower rank, but not of higher rank."""
        node.handle(requested('x', 2), NOW)

        held, _ = inquired(node, HIGHER)
        yielded, moved = inquired(node, LOWER)

        assert held.claim is Claim.HELD_HERE
        assert yielded.claim is Claim.WILL_NOT_RUN
        assert moved == [
            Redirect(call_id='x', home=LOWER, stamp=None, attempt=2),
        ]

    def test_earlier_promise_is_reported(self, node):
        """The next asker must also ask the node that has the promise."""
        inquired(node, HIGHER)

        answer, _ = inquired(node, LOWER)

        assert answer.home == HIGHER
