"""Records and helpers that events, actions and table entries share."""

from collections.abc import Iterable
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from lovageshunt._record import Record
from lovageshunt.calls import HomeNode, Outcome, RefusalReason

#: Node name and incarnation; hashable, unlike ``HomeNode``.
Identity = tuple[str, str]


def identity_of(home: HomeNode) -> Identity:
    """Return a stamp as a hashable key for sets and dictionaries."""
    return (home.node, home.incarnation)


def stamp_of(identity: Identity) -> HomeNode:
    return HomeNode(node=identity[0], incarnation=identity[1])


def digest_of(identities: Iterable[Identity]) -> int:
    """Return a 64-bit digest of a set of nodes, stable across processes."""
    names = '\n'.join(' '.join(identity) for identity in sorted(identities))
    return xxh3_64_intdigest(names.encode())


class StoredAnswer(Record):
    """A complete HTTP response, stored to replay to later attempts."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Ending(Record):
    """The final result of a dispatched call, valid for all its attempts.

    ``reason`` says why there is no answer. ``answer`` is ``None`` when there
    is none or it was too large to store.
    """

    __slots__ = ('outcome', 'reason', 'answer')

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        answer: StoredAnswer | None = None,
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.answer = answer


class DepartedNode(Record):
    """A node that was removed from the member list within the retention time.

    ``seconds_ago`` is the time since it was first missing from the list.
    ``is_proved_dead`` is true only when its process is known to have ended,
    for example because another incarnation answers at its address; calls
    that began after that cannot have run there.
    """

    __slots__ = ('home', 'seconds_ago', 'is_proved_dead')

    def __init__(
        self,
        *,
        home: HomeNode,
        seconds_ago: float,
        is_proved_dead: bool = False,
    ) -> None:
        self.home = home
        self.seconds_ago = seconds_ago
        self.is_proved_dead = is_proved_dead


class Claim(StrEnum):
    """The status of a call at the node that answers an inquiry.

    - ``WILL_NOT_RUN``: it did not run the call and promises not to.
    - ``HELD_HERE``: it ran, runs or may yet run the call.
    - ``CANNOT_PROMISE``: its table is full, so it cannot store a promise.
    """

    WILL_NOT_RUN = 'will_not_run'
    HELD_HERE = 'mine'
    CANNOT_PROMISE = 'cannot_say'


class InquiryAnswer(Record):
    """The answer of one node to an inquiry.

    - ``answerer``: the node and incarnation that answers. A later incarnation
      at the address that was asked cannot promise for the earlier one.
    - ``home``: the node to which the answering one gave an earlier promise.
    - ``refused_through``: attempts up to this number were refused as
      *not run*.
    - ``known``: the nodes of the service that the answering one knows; empty
      when the asker's digest shows that it knows the same.
    - ``covered``: departed nodes that handed their entries to this one.
    - ``is_witness``: whether the node was settled before the call began, and
      so knows every node that may have accepted its first attempt.
    """

    __slots__ = (
        'claim',
        'answerer',
        'home',
        'refused_through',
        'known',
        'covered',
        'is_witness',
    )

    def __init__(
        self,
        *,
        claim: Claim,
        answerer: HomeNode,
        home: HomeNode | None = None,
        refused_through: int = 0,
        known: tuple[HomeNode, ...] = (),
        covered: tuple[HomeNode, ...] = (),
        is_witness: bool = False,
    ) -> None:
        self.claim = claim
        self.answerer = answerer
        self.home = home
        self.refused_through = refused_through
        self.known = known
        self.covered = covered
        self.is_witness = is_witness


class HandOverEntry(Record):
    """One call in the hand-over from a leaving node to its peers.

    ``ending`` is ``None`` for a call that was refused and did not run.
    Attempts up to ``refused_through`` were refused as *not run*.
    """

    __slots__ = ('key', 'ending', 'refused_through')

    def __init__(
        self,
        *,
        key: str,
        ending: Ending | None,
        refused_through: int,
    ) -> None:
        self.key = key
        self.ending = ending
        self.refused_through = refused_through


class RefusedCall(Record):
    """A refused arrival: the reason and the delay before a retry."""

    __slots__ = ('call_id', 'reason', 'retry_after_ms')

    def __init__(
        self,
        *,
        call_id: str,
        reason: RefusalReason,
        retry_after_ms: int,
    ) -> None:
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms
