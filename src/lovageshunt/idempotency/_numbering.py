"""Attempt numbers that a hop sends with calls that must run at most once."""


def next_attempt_number(root_attempt: int, *, is_proved_not_run: bool) -> int:
    """Return the attempt number for a hop's next send of one call.

    ``root_attempt`` is the number that the hop was called with. While every
    earlier send of the call is proved *not run*, the next one repeats the
    root's attempt and may be stamped with a new home. Otherwise it is sent
    to the same home without a number, that is 0. A hop never increments the
    number: it would exceed the numbers of the root caller's later attempts,
    and a home that refused one of those as *not run* would run the hop's.
    """
    return root_attempt if is_proved_not_run else 0
