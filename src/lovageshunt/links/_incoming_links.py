"""The links that other nodes opened to this one."""

from collections.abc import Iterator
from itertools import count
from typing import Final, Generic, Protocol, TypeVar

#: The largest number of links whose sender has not greeted: more than the
#: nodes that connect at once after a restart.
_MAX_UNNAMED: Final = 1000


class AbortableLink(Protocol):
    """A link that can be given up."""

    def abort(self) -> None:
        """Close the link at once; handle nothing more that arrives on it."""


LinkT = TypeVar('LinkT', bound=AbortableLink)


class IncomingLinks(Generic[LinkT]):
    """The open links that other nodes opened, one of each sender.

    A sender opens a link only when it has given up the one before. What is
    still to arrive on that one was sent again on the new link, or has been
    given up, so the older link is aborted.
    """

    __slots__ = (
        '_numbers',
        '_number_by_link',
        '_link_by_sender',
        '_unnamed',
    )

    def __init__(self) -> None:
        self._numbers = count()
        self._number_by_link: dict[LinkT, int] = {}
        self._link_by_sender: dict[str, LinkT] = {}
        #: The links whose sender has not greeted, in the order of accepting.
        self._unnamed: dict[LinkT, None] = {}

    def __iter__(self) -> Iterator[LinkT]:
        """Iterate over the links that are open now."""
        return iter(list(self._number_by_link))

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._number_by_link)

    def add(self, link: LinkT) -> None:
        """Add a link that was accepted, after those accepted before.

        Of too many whose sender has not greeted the oldest is aborted.
        """
        self._number_by_link[link] = next(self._numbers)
        self._unnamed[link] = None
        if len(self._unnamed) > _MAX_UNNAMED:
            oldest = next(iter(self._unnamed))
            self._unnamed.pop(oldest)
            oldest.abort()

    def discard(self, link: LinkT, sender: str) -> None:
        """Remove a link that is closed; ``sender`` is empty if not known."""
        self._number_by_link.pop(link, None)
        self._unnamed.pop(link, None)
        if self._link_by_sender.get(sender) is link:
            self._link_by_sender.pop(sender)

    def assign(self, link: LinkT, sender: str) -> None:
        """Note whose link it is; abort the older of two of one sender.

        ``sender`` is the incarnation of the node that opened it.
        """
        self._unnamed.pop(link, None)
        other = self._link_by_sender.get(sender)
        if other is None or other is link:
            self._link_by_sender[sender] = link
            return
        if self._number_by_link[other] < self._number_by_link[link]:
            self._link_by_sender[sender] = link
            other.abort()
        else:
            link.abort()
