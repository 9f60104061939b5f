"""Messages about rules that nodes send to each other."""

from lovageshunt._record import Record
from lovageshunt.rules._document import ServiceRules
from lovageshunt.rules._version import Version


class VersionTold(Record):
    """The latest version that the sender knows, or ``None``."""

    __slots__ = ('version',)

    def __init__(self, *, version: Version | None) -> None:
        self.version = version


class ManifestAsked(Record):
    """Requests the full manifest of the latest version."""

    __slots__ = ()


class ManifestTold(Record):
    """A full manifest, or a delta against an earlier one.

    ``base_digest`` is the digest of the document that a delta applies to;
    empty if the manifest is full. ``changed`` maps services to their new
    digests and ``removed`` lists services that no longer have rules.
    ``reader`` names the node that read the document from the platform and
    therefore has all parts of it.
    """

    __slots__ = (
        'version',
        'deployment',
        'reader',
        'base_digest',
        'changed',
        'removed',
    )

    def __init__(
        self,
        *,
        version: Version,
        deployment: str,
        reader: str,
        base_digest: str,
        changed: dict[str, str],
        removed: list[str],
    ) -> None:
        self.version = version
        self.deployment = deployment
        self.reader = reader
        self.base_digest = base_digest
        self.changed = changed
        self.removed = removed


class PartsAsked(Record):
    """Requests the rules of ``services`` at ``version``."""

    __slots__ = ('version', 'services')

    def __init__(self, *, version: Version, services: list[str]) -> None:
        self.version = version
        self.services = services


class PartsTold(Record):
    """The rules of some services at ``version``, by service."""

    __slots__ = ('version', 'parts')

    def __init__(
        self,
        *,
        version: Version,
        parts: dict[str, ServiceRules],
    ) -> None:
        self.version = version
        self.parts = parts


#: Every message about rules.
Message = VersionTold | ManifestAsked | ManifestTold | PartsAsked | PartsTold
