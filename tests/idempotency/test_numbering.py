"""Attempt numbers that a hop sends."""

from lovageshunt.idempotency import next_attempt_number


class TestNextAttemptNumber:
    """A hop never increments the attempt number."""

    def test_keeps_the_number_after_not_run(self):
        """The next send may be a first attempt again."""
        assert next_attempt_number(1, is_proved_not_run=True) == 1

    def test_drops_the_number_in_doubt(self):
        """An earlier send may still arrive."""
        assert next_attempt_number(2, is_proved_not_run=False) == 0
