"""What the spread of rules is told, and what it asks its daemon to do."""

from collections.abc import Sequence

from lovageshunt._record import Record
from lovageshunt.rules._document import RulesDocument
from lovageshunt.rules._messages import Message
from lovageshunt.rules._version import Version


class DocumentRead(Record):
    """This node read a document from the platform."""

    __slots__ = ('version', 'document')

    def __init__(self, *, version: Version, document: RulesDocument) -> None:
        """Take the document and the version that it was read at."""
        self.version = version
        self.document = document


class MessageReceived(Record):
    """A message of a peer arrived; ``peer`` is its name."""

    __slots__ = ('peer', 'message')

    def __init__(self, *, peer: str, message: Message) -> None:
        """Take the peer and what it said."""
        self.peer = peer
        self.message = message


class RulesGossipTicked(Record):
    """The timer turned; twice a second is enough.

    ``peers`` are candidates for the exchange and ``peers_by_service`` the
    members of the services that this node serves and calls. ``readers`` are
    the nodes that now read the platform, as far as this node knows.
    """

    __slots__ = ('peers', 'peers_by_service', 'readers')

    def __init__(
        self,
        *,
        peers: Sequence[str],
        peers_by_service: dict[str, Sequence[str]] | None = None,
        readers: Sequence[str] = (),
    ) -> None:
        """Take the names that the view of members supplies."""
        self.peers = peers
        self.peers_by_service = peers_by_service or {}
        self.readers = readers


class SendMessage(Record):
    """Send a message to a peer; nothing is expected back."""

    __slots__ = ('peer', 'message')

    def __init__(self, *, peer: str, message: Message) -> None:
        """Take the peer's name and the message."""
        self.peer = peer
        self.message = message


class ReadDocument(Record):
    """Read the document from the platform, once; it may fail."""

    __slots__ = ()


class RulesChanged(Record):
    """Another version is in force from now on."""

    __slots__ = ('version',)

    def __init__(self, *, version: Version) -> None:
        """Take the version."""
        self.version = version


#: What the spread of rules may be told.
RulesGossipEvent = DocumentRead | MessageReceived | RulesGossipTicked
#: What the spread of rules may ask for.
RulesGossipAction = SendMessage | ReadDocument | RulesChanged
