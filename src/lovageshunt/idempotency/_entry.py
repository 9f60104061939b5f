"""The state that a node keeps for one call that must run at most once."""

from collections.abc import Iterable
from typing import Final

from lovageshunt._record import Record
from lovageshunt.charts import ChartInstance, load_chart
from lovageshunt.idempotency._records import (
    Claim,
    Ending,
    Identity,
    InquiryAnswer,
    identity_of,
)

_CHART: Final = load_chart('run_once')


class Attempt(Record):
    """One arrived attempt of a call.

    ``number`` is the attempt number, 0 if unknown. ``deadline`` is in seconds
    of the node's clock. ``is_stamped_here`` is true when the sender's stamp
    names this incarnation of this node.
    """

    __slots__ = ('call_id', 'number', 'deadline', 'is_stamped_here')

    def __init__(
        self,
        *,
        call_id: str,
        number: int,
        deadline: float,
        is_stamped_here: bool,
    ) -> None:
        self.call_id = call_id
        self.number = number
        self.deadline = deadline
        self.is_stamped_here = is_stamped_here


class Inquiry:
    """An inquiry to other nodes about one call, and its answers so far.

    The inquiry proves that the call ran nowhere and will not run elsewhere
    if every node asked gave its promise, or handed its entries to one that
    did, and one of them, or the asker, was settled before the call began:
    only such a witness knows every node to ask.

    ``due_at`` is the deadline in seconds of the node's clock, ``digest``
    covers the nodes known at the start and ``pending`` holds the nodes that
    have not answered yet.
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

    def add_asked(self, identities: Iterable[Identity]) -> list[Identity]:
        """Mark nodes as asked; return those that were not asked before."""
        fresh = sorted(set(identities) - self._by_claim['asked'])
        self._by_claim['asked'].update(fresh)
        self.pending.update(fresh)
        return fresh

    def require_answer(self, identity: Identity) -> None:
        """Require proof from a node that a stamp or a promise names.

        A later incarnation of it is not enough.
        """
        self._by_claim['named'].add(identity)

    def record_answer(self, peer: Identity, answer: InquiryAnswer) -> None:
        """Record whether a node gave its promise, and what else it reported."""
        self.pending.discard(peer)
        if answer.claim is Claim.CANNOT_PROMISE:
            self._by_claim['failed'].add(peer)
        if answer.is_witness:
            self.is_witnessed = True
            self._by_claim['witness'].add(peer)
        self._by_claim['covered'].update(map(identity_of, answer.covered))

    def add_covered(self, identities: Iterable[Identity]) -> None:
        """Mark departed nodes for which no answer is needed."""
        self._by_claim['covered'].update(identities)

    def add_witness(self, identity: Identity) -> None:
        """Add a node that was running before the call began.

        Its earlier incarnations had ended by then.
        """
        self._by_claim['witness'].add(identity)

    def add_failed(self, identities: Iterable[Identity]) -> None:
        """Mark nodes that could not be asked or did not answer in time."""
        failed = set(identities)
        self.pending -= failed
        self._by_claim['failed'] |= failed

    def is_conclusive(self) -> bool:
        """Return whether no other node can have run or may yet run the call."""
        missing = self._by_claim['failed'] - self._by_claim['covered']
        return self.is_witnessed and all(map(self._is_superseded, missing))

    def _is_superseded(self, missing: Identity) -> bool:
        # A later incarnation was running before the call began, so the
        # missing one had ended by then.
        if missing in self._by_claim['named']:
            return False
        witnesses = self._by_claim['witness']
        return any(
            node == missing[0] and incarnation != missing[1]
            for node, incarnation in witnesses
        )


class Entry:
    """The table entry of one call.

    - ``began_at``: earliest time at which the call may have begun, in seconds
      of the node's clock, as is ``expires_at``.
    - ``home``: the node that has this node's promise, or from which an
      answer is required before the call may run here.
    - ``refused_through``: attempts up to this number were refused as
      *not run* and never run here.
    - ``is_exclusive``: whether every other node gave its promise.
    - ``epoch``: ``NodeState.epoch`` when the call was queued.
    - ``runner``: the ``call_id`` of the attempt that is queued or running.
    - ``waiting_by_call_id``: the attempts that wait for an answer, with the
      runner among them.
    """

    __slots__ = (
        'key',
        'life',
        'began_at',
        'expires_at',
        'home',
        'refused_through',
        'is_exclusive',
        'epoch',
        'runner',
        'waiting_by_call_id',
        'ending',
        'inquiry',
    )

    def __init__(self, *, key: str, began_at: float, expires_at: float) -> None:
        self.key = key
        self.life = ChartInstance(_CHART)
        self.began_at = began_at
        self.expires_at = expires_at
        self.home: Identity | None = None
        self.refused_through = 0
        self.is_exclusive = False
        self.epoch = 0
        self.runner: str | None = None
        self.waiting_by_call_id: dict[str, Attempt] = {}
        self.ending: Ending | None = None
        self.inquiry: Inquiry | None = None

    @property
    def state(self) -> str:
        """Return the current state in the chart ``run_once``."""
        return self.life.state

    def is_blocked(self, attempt: int) -> bool:
        """Return whether an attempt may never run here.

        It, or a later attempt, was refused as *not run*.
        """
        return self.refused_through > 0 and attempt <= self.refused_through
