"""The division of a root request's retries over its attempts."""

from typing import Final

from lovageshunt._record import Record

#: One in so many retries of the bound is kept for the caller's resends.
_RESEND_DIVISOR: Final = 3


class AllowanceShare(Record):
    """What one attempt of a root request may spend below it.

    ``is_last`` is true when the bound leaves no further resend.
    """

    __slots__ = ('retries', 'is_last')

    def __init__(self, *, retries: int, is_last: bool) -> None:
        """Take the retries and whether a resend may follow."""
        self.retries = retries
        self.is_last = is_last


def allowance_for(bound: int, attempt: int) -> AllowanceShare | None:
    """Return the share of one attempt, fixed in advance for every attempt.

    ``bound`` is the number of retries that one root request may cause, the
    caller's resends among them. Any node that a resend enters comes to the
    same share. An ``attempt`` of 0 is unknown: it gets nothing to spend.
    Returns ``None`` when the attempt is beyond the bound.
    """
    resends = _resends_within(bound)
    if attempt > resends + 1:
        return None
    if attempt <= 0 or attempt > resends:
        return AllowanceShare(retries=0, is_last=True)
    left = bound - resends
    share, remainder = divmod(left, resends)
    if attempt <= remainder:
        share += 1
    return AllowanceShare(retries=share, is_last=False)


def _resends_within(bound: int) -> int:
    if bound <= 0:
        return 0
    return max(1, bound // _RESEND_DIVISOR)
