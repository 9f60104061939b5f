"""The order of versions, and the manifest that two nodes compare first."""

from functools import total_ordering

from lovageshunt._record import Record
from lovageshunt.rules._document import RulesDocument, digest_of_parts


@total_ordering
class Version(Record):
    """One published document: generation, then revision, then digest.

    ``generation`` stands in the document, ``revision`` is the platform's and
    ``digest`` decides between equals, so every node finds the same winner.
    """

    __slots__ = ('generation', 'revision', 'digest')

    def __init__(self, *, generation: int, revision: int, digest: str) -> None:
        """Take the three parts of the order."""
        self.generation = generation
        self.revision = revision
        self.digest = digest

    def __lt__(self, other: object) -> bool:
        """Compare by generation, then revision, then digest."""
        if not isinstance(other, Version):
            return NotImplemented
        return self._key() < other._key()

    def __hash__(self) -> int:  # type: ignore[override]
        """Hash the three parts."""
        return hash(self._key())

    def _key(self) -> tuple[int, int, str]:
        return (self.generation, self.revision, self.digest)


class Manifest(Record):
    """A version with the digest of each service's rules."""

    __slots__ = ('version', 'deployment', 'digest_by_service')

    def __init__(
        self,
        *,
        version: Version,
        deployment: str,
        digest_by_service: dict[str, str],
    ) -> None:
        """Take the version and the digests of its parts."""
        self.version = version
        self.deployment = deployment
        self.digest_by_service = digest_by_service

    @property
    def is_sound(self) -> bool:
        """Say whether the version's digest is that of the parts."""
        digest = digest_of_parts(
            self.deployment,
            self.version.generation,
            self.digest_by_service,
        )
        return digest == self.version.digest


def version_of(document: RulesDocument, revision: int) -> Version:
    """Return the version of a document read at a platform's revision."""
    return Version(
        generation=document.generation,
        revision=revision,
        digest=document.digest,
    )


def manifest_of(document: RulesDocument, version: Version) -> Manifest:
    """Return the manifest of a whole document."""
    return Manifest(
        version=version,
        deployment=document.deployment,
        digest_by_service=document.digest_by_service(),
    )
