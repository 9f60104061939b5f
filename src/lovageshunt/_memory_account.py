"""One account of what a process holds, and of who is given up for others.

Clients, nodes and servers that nobody controls send much and do not finish,
or do not read what they get. Each stays within its own limits, and all
together would exceed the memory. So each owner of received or unsent bytes
tells here what they take in memory, objects included, and what of it could be
released.
"""

from collections import Counter, OrderedDict
from enum import IntEnum
from typing import Final, Protocol

#: What a process may hold by default, in bytes: more than the largest
#: request, and two fifths of the smallest machine.
DEFAULT_HELD_BYTES: Final = 80 * 1024 * 1024
#: The share of the limit by which small holdings may exceed it, while no large
#: one can be given up.
_SMALL_SHARE: Final = 0.25
#: A holding that releases no more than this is small, in bytes.
_SMALL_BYTES: Final = 64 * 1024

#: What a header field takes besides its characters: a tuple, two strings and
#: its place in a list, in bytes.
FIELD_BYTES: Final = 144
#: What a request takes that waits on its connection, besides what it consists
#: of, in bytes.
REQUEST_BYTES: Final = 512
#: What a call takes that is being routed, queued or run, besides what it
#: consists of, in bytes.
CALL_BYTES: Final = 4096

#: The most of a body that is copied to be sent, in bytes.
COPIED_BYTES: Final = 256 * 1024


class Use(IntEnum):
    """What the releasable part of a holding is; the lowest is given up first.

    ``PARTIAL``: something that is not whole or that nobody reads. ``WAITING``:
    a whole call that was not started. ``INNER``: the same, made by a target
    for work in progress. ``ANSWER``: a part of an answer.
    """

    PARTIAL = 0
    WAITING = 1
    INNER = 2
    ANSWER = 3


#: Calls, which are served in the order in which they came.
_CALLS: Final = frozenset((Use.WAITING, Use.INNER))


class Owner(Protocol):
    """Holds what it has received, or not yet sent."""

    def give_up(self) -> None:
        """Release what can be released; the other side may be told.

        The holding is updated or closed within this call.
        """


class Holding:
    """What one owner holds.

    ``taken_bytes`` is what it takes in memory, ``releasable_bytes`` the part
    that giving up releases. ``group`` belongs to the account.
    """

    __slots__ = (
        'owner',
        'use',
        'taken_bytes',
        'releasable_bytes',
        'group',
        '_account',
    )

    def __init__(
        self, account: 'MemoryAccount', owner: Owner | None, use: Use
    ) -> None:
        self._account = account
        self.owner = owner
        self.use = use
        self.taken_bytes = 0
        self.releasable_bytes = 0
        self.group: OrderedDict[Holding, None] | None = None

    def update(self, taken_bytes: int, releasable_bytes: int = 0) -> None:
        """Tell what is held now; this counts as progress of the owner.

        If the process holds too much, owners are given up within this call,
        this one perhaps among them.
        """
        self._account.update(self, taken_bytes, releasable_bytes)

    def close(self) -> None:
        """Hold nothing any more; the owner can be freed then."""
        self._account.update(self, 0, 0)
        self.owner = None


class MemoryAccount:
    """Counts what all owners of a process hold, and decides who gives up.

    Above ``limit_bytes`` the holdings that can release something are given up
    one after the other: large ones before small ones, in each size by use, and
    of one use the one without progress for longest; of the calls that wait,
    which would be served in their order, the one that came last. Each step
    takes constant time, however many owners there are.

    ``held_bytes`` is what they hold now, ``refused_by_cause`` counts those that
    were given up or refused.
    """

    __slots__ = (
        'limit_bytes',
        'held_bytes',
        'refused_by_cause',
        '_releasable_by_order',
        '_is_making_room',
    )

    def __init__(self, limit_bytes: int = DEFAULT_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused_by_cause: Counter[str] = Counter()
        #: The holdings that can be given up, by size and use, each in the
        #: order of their last progress.
        self._releasable_by_order: dict[
            tuple[bool, Use], OrderedDict[Holding, None]
        ] = {
            (is_small, use): OrderedDict()
            for is_small in (False, True)
            for use in Use
        }
        self._is_making_room = False

    def open(
        self, owner: Owner | None = None, use: Use = Use.PARTIAL
    ) -> Holding:
        """Return an empty holding; without an owner it is never given up."""
        return Holding(self, owner, use)

    def update(
        self, holding: Holding, taken_bytes: int, releasable_bytes: int
    ) -> None:
        """Note what a holding takes now; see ``Holding.update``."""
        if holding.group is not None:
            self._ungroup(holding)
        growth = taken_bytes - holding.taken_bytes
        self.held_bytes += growth
        holding.taken_bytes = taken_bytes
        holding.releasable_bytes = releasable_bytes
        if releasable_bytes > 0 and holding.owner is not None:
            is_small = releasable_bytes <= _SMALL_BYTES
            group = self._releasable_by_order[is_small, holding.use]
            group[holding] = None
            holding.group = group
        if growth > 0 and self.held_bytes > self.limit_bytes:
            self._make_room()

    def _ungroup(self, holding: Holding) -> None:
        """Take a holding out of those that can be given up."""
        if holding.group is not None:
            holding.group.pop(holding)
            holding.group = None

    def _make_room(self) -> None:
        """Give up holdings until the limit is kept, or none is left."""
        if self._is_making_room:
            return
        self._is_making_room = True
        try:
            victim = self._victim()
            while victim is not None:
                self._give_up(victim)
                victim = self._victim()
        finally:
            self._is_making_room = False

    def _give_up(self, victim: Holding) -> None:
        before = self.held_bytes
        if victim.owner is not None:
            victim.owner.give_up()
        if self.held_bytes >= before:
            # It has nothing to release after all.
            self._ungroup(victim)
            victim.releasable_bytes = 0

    def _victim(self) -> Holding | None:
        """Return the holding to give up next, ``None`` if there is room."""
        for (is_small, use), holdings in self._releasable_by_order.items():
            limit = self.limit_bytes
            if is_small:
                limit = int(limit * (1 + _SMALL_SHARE))
            if self.held_bytes > limit and holdings:
                ends = reversed(holdings) if use in _CALLS else holdings
                return next(iter(ends))
        return None
