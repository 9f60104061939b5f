"""Events that the gossip of rules handles, and actions that it requests."""

from collections.abc import Sequence

from lovageshunt._record import Record
from lovageshunt.rules._document import RulesDocument
from lovageshunt.rules._messages import Message
from lovageshunt.rules._version import Version


class DocumentRead(Record):
    """This node read ``document`` from the platform at ``version``."""

    __slots__ = ('version', 'document')

    def __init__(self, *, version: Version, document: RulesDocument) -> None:
        self.version = version
        self.document = document


class MessageReceived(Record):
    """A message arrived from the peer with the name ``peer``."""

    __slots__ = ('peer', 'message')

    def __init__(self, *, peer: str, message: Message) -> None:
        self.peer = peer
        self.message = message


class RulesGossipTicked(Record):
    """The periodic timer expired; a period of 0.5 s is short enough.

    All fields hold node names from the membership view. ``peers`` are the
    candidates for gossip, ``peers_by_service`` the members of the services
    that this node serves and calls. ``readers`` are the nodes that read the
    platform at present, as far as this node knows.
    """

    __slots__ = ('peers', 'peers_by_service', 'readers')

    def __init__(
        self,
        *,
        peers: Sequence[str],
        peers_by_service: dict[str, Sequence[str]] | None = None,
        readers: Sequence[str] = (),
    ) -> None:
        self.peers = peers
        self.peers_by_service = peers_by_service or {}
        self.readers = readers


class SendMessage(Record):
    """Send a one-way message to the peer with the name ``peer``."""

    __slots__ = ('peer', 'message')

    def __init__(self, *, peer: str, message: Message) -> None:
        self.peer = peer
        self.message = message


class ReadDocument(Record):
    """Try once to read the document from the platform; no retry on failure."""

    __slots__ = ()


class RulesChanged(Record):
    """A different version is now in force."""

    __slots__ = ('version',)

    def __init__(self, *, version: Version) -> None:
        self.version = version


#: Every event that ``RulesGossip`` handles.
RulesGossipEvent = DocumentRead | MessageReceived | RulesGossipTicked
#: Every action that ``RulesGossip`` returns.
RulesGossipAction = SendMessage | ReadDocument | RulesChanged
