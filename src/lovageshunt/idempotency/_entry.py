"""What a node keeps of one call that must run at most once."""

from collections.abc import Iterable
from typing import Final

from lovageshunt._record import Record
from lovageshunt.charts import Life, load_chart
from lovageshunt.idempotency._records import (
    Claim,
    Ending,
    Identity,
    InquiryAnswer,
    identity_of,
)

_CHART: Final = load_chart('run_once')


class Arrival(Record):
    """One attempt that waits at this node for its answer."""

    __slots__ = ('call_id', 'attempt', 'deadline', 'is_stamped_here')

    def __init__(
        self,
        *,
        call_id: str,
        attempt: int,
        deadline: float,
        is_stamped_here: bool,
    ) -> None:
        """Take what the attempt said."""
        self.call_id = call_id
        self.attempt = attempt
        self.deadline = deadline
        self.is_stamped_here = is_stamped_here


class Inquiry:
    """The nodes asked about one call, and what is still missing.

    It is proof that the call ran nowhere and will not run elsewhere when
    every node asked gave its promise, or handed its calls to one that did,
    and one of them, or the asker, was settled before the call began: only
    such a witness knows all the nodes to ask.
    """

    __slots__ = (
        'number',
        'due_at',
        'digest',
        'is_witnessed',
        'pending',
        '_by_claim',
    )

    def __init__(
        self,
        *,
        number: int,
        due_at: float,
        is_witnessed: bool,
        digest: int,
    ) -> None:
        """Begin with nobody asked."""
        self.number = number
        self.due_at = due_at
        self.is_witnessed = is_witnessed
        self.digest = digest
        self.pending: set[Identity] = set()
        self._by_claim: dict[str, set[Identity]] = {
            'asked': set(),
            'failed': set(),
            'witness': set(),
            'covered': set(),
            'named': set(),
        }

    def ask(self, identities: Iterable[Identity]) -> list[Identity]:
        """Add nodes and return those that were not asked before."""
        fresh = sorted(set(identities) - self._by_claim['asked'])
        self._by_claim['asked'].update(fresh)
        self.pending.update(fresh)
        return fresh

    def require(self, identity: Identity) -> None:
        """Demand the word of the node that a stamp or a promise names."""
        self._by_claim['named'].add(identity)

    def take(self, peer: Identity, answer: InquiryAnswer) -> None:
        """Take the promise of a node, or its lack of one."""
        self.pending.discard(peer)
        if answer.claim is Claim.CANNOT_SAY:
            self._by_claim['failed'].add(peer)
        if answer.is_witness:
            self.is_witnessed = True
            self._by_claim['witness'].add(peer)
        self._by_claim['covered'].update(map(identity_of, answer.covered))

    def cover(self, identities: Iterable[Identity]) -> None:
        """Count departed nodes whose calls were handed to this one."""
        self._by_claim['covered'].update(identities)

    def replace(self, identity: Identity) -> None:
        """Count a node whose presence shows that earlier ones had ended."""
        self._by_claim['witness'].add(identity)

    def fail(self, identities: Iterable[Identity]) -> None:
        """Count nodes that could not be asked."""
        missed = set(identities)
        self.pending -= missed
        self._by_claim['failed'] |= missed

    def is_proof(self) -> bool:
        """Return whether no node is left that might run the call."""
        missing = self._by_claim['failed'] - self._by_claim['covered']
        return self.is_witnessed and all(map(self._is_replaced, missing))

    def _is_replaced(self, missing: Identity) -> bool:
        # A later incarnation was there before the call began, so the
        # missing one had ended by then.
        if missing in self._by_claim['named']:
            return False
        witnesses = self._by_claim['witness']
        return any(
            node == missing[0] and incarnation != missing[1]
            for node, incarnation in witnesses
        )


class Entry:
    """One call that must run at most once, as this node knows it.

    ``home`` is the node that has this one's promise, or whose word is still
    wanted before the call may run here. Attempts up to
    ``refused_through`` were told *not run* and never run here.
    ``is_exclusive`` holds when every other node gave its promise.
    """

    __slots__ = (
        'key',
        'life',
        'born_at',
        'expires_at',
        'home',
        'refused_through',
        'is_exclusive',
        'epoch',
        'runner',
        'by_call_id',
        'ending',
        'inquiry',
    )

    def __init__(self, *, key: str, born_at: float, expires_at: float) -> None:
        """Begin a life that nothing has happened to."""
        self.key = key
        self.life = Life(_CHART)
        self.born_at = born_at
        self.expires_at = expires_at
        self.home: Identity | None = None
        self.refused_through = 0
        self.is_exclusive = False
        self.epoch = 0
        self.runner: str | None = None
        self.by_call_id: dict[str, Arrival] = {}
        self.ending: Ending | None = None
        self.inquiry: Inquiry | None = None

    @property
    def state(self) -> str:
        """Return the state of the chart ``run_once``."""
        return self.life.state

    def is_blocked(self, attempt: int) -> bool:
        """Return whether an attempt was, or counts as, told *not run*."""
        return self.refused_through > 0 and attempt <= self.refused_through
