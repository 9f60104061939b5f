"""Divides the retry allowance of a root request among its attempts."""

from typing import Final

from lovageshunt._record import Record

#: One in this many retries of the bound is reserved for the caller's resends.
_RESEND_DIVISOR: Final = 3


class AllowanceShare(Record):
    """The retries that all calls below one attempt may use together.

    ``is_last`` is true when the bound allows no further resend.
    """

    __slots__ = ('retries', 'is_last')

    def __init__(self, *, retries: int, is_last: bool) -> None:
        self.retries = retries
        self.is_last = is_last


def allowance_for(bound: int, attempt: int) -> AllowanceShare | None:
    """Return the share of one attempt, fixed in advance for every attempt.

    ``bound`` is the number of retries that one root request may cause,
    including the caller's resends. Every node computes the same share, so a
    resend may enter at any of them. An ``attempt`` of 0 means that the number
    is unknown: its share is 0 retries. Returns ``None`` when the attempt is
    beyond the bound.
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
