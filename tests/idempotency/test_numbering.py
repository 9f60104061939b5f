"""The attempt number that a hop sends."""

from lovageshunt.idempotency import next_attempt_number


class TestAttemptToSend:
    """A hop never counts on by itself."""

    def test_keeps_the_number_after_not_run(self):
        """What is proved not run leaves the next send a first one."""
        assert next_attempt_number(1, is_proved_not_run=True) == 1

    def test_drops_the_number_in_doubt(self):
        """An earlier send may still arrive."""
        assert next_attempt_number(2, is_proved_not_run=False) == 0
