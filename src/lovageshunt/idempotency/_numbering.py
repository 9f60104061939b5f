"""The attempt number that a hop sends with a call that must run once."""


def next_attempt_number(root_attempt: int, *, is_proved_not_run: bool) -> int:
    """Return the number for the next send of one call by one hop.

    ``root_attempt`` is the number that the hop itself was called with. While
    every earlier send of the call is proved *not run*, the next one is again
    the root's own attempt, and may be stamped with a new home. Otherwise it
    goes without a number, to the same home. A hop never counts on by itself:
    its numbers would pass those of the person's later attempts, and a home
    that refused one of these as *not run* would let the hop's through.
    """
    return root_attempt if is_proved_not_run else 0
