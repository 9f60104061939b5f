"""What nodes tell each other about rules."""

from lovageshunt._record import Record
from lovageshunt.rules._document import ServiceRules
from lovageshunt.rules._version import Version


class VersionTold(Record):
    """The greatest version that the sender heard, if any."""

    __slots__ = ('version',)

    def __init__(self, *, version: Version | None) -> None:
        """Take the version."""
        self.version = version


class ManifestAsked(Record):
    """The sender wants the whole manifest of the greatest version."""

    __slots__ = ()


class ManifestTold(Record):
    """A manifest, whole or as what changed since another one.

    ``base_digest`` is the digest of the document that ``changed`` and
    ``removed`` change; empty when ``changed`` is the whole manifest.
    ``reader`` names the node that read the document from the platform, and
    so has all parts of it.
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
        """Take every field by name."""
        self.version = version
        self.deployment = deployment
        self.reader = reader
        self.base_digest = base_digest
        self.changed = changed
        self.removed = removed


class PartsAsked(Record):
    """The sender lacks the rules of some services at a version."""

    __slots__ = ('version', 'services')

    def __init__(self, *, version: Version, services: list[str]) -> None:
        """Take the version and the services."""
        self.version = version
        self.services = services


class PartsTold(Record):
    """The rules of some services at a version."""

    __slots__ = ('version', 'parts')

    def __init__(
        self,
        *,
        version: Version,
        parts: dict[str, ServiceRules],
    ) -> None:
        """Take the version and the rules by service."""
        self.version = version
        self.parts = parts


#: Everything that a node may tell another about rules.
Message = VersionTold | ManifestAsked | ManifestTold | PartsAsked | PartsTold
