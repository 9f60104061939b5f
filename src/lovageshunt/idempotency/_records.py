"""What events, actions and entries are made of."""

from collections.abc import Iterable
from enum import StrEnum

from xxhash import xxh3_64_intdigest

from lovageshunt._record import Record
from lovageshunt.calls import HomeStamp, Outcome, RefusalReason

#: A node's name and its incarnation.
Identity = tuple[str, str]


def identity_of(home: HomeStamp) -> Identity:
    """Return a stamp as a key that sets and dictionaries take."""
    return (home.node, home.incarnation)


def stamp_of(identity: Identity) -> HomeStamp:
    """Return the stamp of an identity."""
    return HomeStamp(node=identity[0], incarnation=identity[1])


def digest_of(identities: Iterable[Identity]) -> int:
    """Return a digest of a set of nodes, the same in every process."""
    names = '\n'.join(' '.join(identity) for identity in sorted(identities))
    return xxh3_64_intdigest(names.encode())


class StoredAnswer(Record):
    """A whole answer, kept for later attempts of the same call."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Take the parts of the answer."""
        self.status = status
        self.headers = headers
        self.body = body


class Ending(Record):
    """How a call that was dispatched ended, for every attempt of it.

    ``answer`` is ``None`` when there is none or it was too large to keep.
    """

    __slots__ = ('outcome', 'reason', 'answer')

    def __init__(
        self,
        *,
        outcome: Outcome,
        reason: RefusalReason | None = None,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Take the outcome and what is kept of the answer."""
        self.outcome = outcome
        self.reason = reason
        self.answer = answer


class DepartedNode(Record):
    """A node that was listed lately and no longer is.

    ``seconds_ago`` tells since when it is missed. ``is_proved_dead`` is true
    only when its process is known to have ended, as when another incarnation
    answers at its address; then calls younger than that cannot be its own.
    """

    __slots__ = ('home', 'seconds_ago', 'is_proved_dead')

    def __init__(
        self,
        *,
        home: HomeStamp,
        seconds_ago: float,
        is_proved_dead: bool = False,
    ) -> None:
        """Name the node and what is known of its end."""
        self.home = home
        self.seconds_ago = seconds_ago
        self.is_proved_dead = is_proved_dead


class Claim(StrEnum):
    """What an inquired node says of a call.

    ``WILL_NOT_RUN``: it did not run the call and promises not to.
    ``MINE``: the call is, was or may be run there. ``CANNOT_SAY``: it is too
    full to promise.
    """

    WILL_NOT_RUN = 'will_not_run'
    MINE = 'mine'
    CANNOT_SAY = 'cannot_say'


class InquiryAnswer(Record):
    """The answer of one node to an inquiry.

    ``answerer`` is the node and incarnation that answers. A later one at the
    address of the one that was asked has no word to give for it.
    ``home`` names the node to which the answering one gave its promise
    before. Attempts up to ``refused_through`` were told *not run*.
    ``known`` lists the nodes of the service that the answering one knows,
    unless the asker's digest of them is the same, and ``covered`` the
    departed ones whose keys were handed to it. ``is_witness`` is true when
    it was settled before the call began, and so knows of every node that may
    have taken its first attempt.
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
        answerer: HomeStamp,
        home: HomeStamp | None = None,
        refused_through: int = 0,
        known: tuple[HomeStamp, ...] = (),
        covered: tuple[HomeStamp, ...] = (),
        is_witness: bool = False,
    ) -> None:
        """Take the claim and what the answering node knows beside."""
        self.claim = claim
        self.answerer = answerer
        self.home = home
        self.refused_through = refused_through
        self.known = known
        self.covered = covered
        self.is_witness = is_witness


class HandOverEntry(Record):
    """What a leaving node tells its heirs of one call.

    ``ending`` is ``None`` for a call that was refused and did not run.
    """

    __slots__ = ('key', 'ending', 'refused_through')

    def __init__(
        self,
        *,
        key: str,
        ending: Ending | None,
        refused_through: int,
    ) -> None:
        """Take the key and what became of it."""
        self.key = key
        self.ending = ending
        self.refused_through = refused_through


class RefusedCall(Record):
    """One arrival that is not run now: why, and when to come back."""

    __slots__ = ('call_id', 'reason', 'retry_after_ms')

    def __init__(
        self,
        *,
        call_id: str,
        reason: RefusalReason,
        retry_after_ms: int,
    ) -> None:
        """Name the arrival, why, and when to come back."""
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms
