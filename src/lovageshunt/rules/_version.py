"""Versions of the rules, their order, and manifests of digests."""

from functools import total_ordering

from lovageshunt._record import Record
from lovageshunt.rules._document import RulesDocument, digest_of_parts


@total_ordering
class Version(Record):
    """Identifies one published document; ordered by its three fields in turn.

    ``generation`` comes from the document and ``revision`` from the platform.
    ``digest`` breaks ties, so that every node chooses the same winner of a
    conflict.
    """

    __slots__ = ('generation', 'revision', 'digest')

    def __init__(self, *, generation: int, revision: int, digest: str) -> None:
        self.generation = generation
        self.revision = revision
        self.digest = digest

    def __lt__(self, other: object) -> bool:
        """Compare by generation, then revision, then digest."""
        if not isinstance(other, Version):
            return NotImplemented
        return self._key() < other._key()

    def __hash__(self) -> int:  # type: ignore[override]
        """Return a hash consistent with the order."""
        return hash(self._key())

    def _key(self) -> tuple[int, int, str]:
        return (self.generation, self.revision, self.digest)


class Manifest(Record):
    """A version with the digest of the rules of each service."""

    __slots__ = ('version', 'deployment', 'digest_by_service')

    def __init__(
        self,
        *,
        version: Version,
        deployment: str,
        digest_by_service: dict[str, str],
    ) -> None:
        self.version = version
        self.deployment = deployment
        self.digest_by_service = digest_by_service

    @property
    def is_consistent(self) -> bool:
        """Return whether the version's digest matches those of the services."""
        digest = digest_of_parts(
            self.deployment,
            self.version.generation,
            self.digest_by_service,
        )
        return digest == self.version.digest


def version_of(document: RulesDocument, revision: int) -> Version:
    """Return the version of a document that was read at ``revision``."""
    return Version(
        generation=document.generation,
        revision=revision,
        digest=document.digest,
    )


def manifest_of(document: RulesDocument, version: Version) -> Manifest:
    """Return the manifest of a complete document."""
    return Manifest(
        version=version,
        deployment=document.deployment,
        digest_by_service=document.digest_by_service(),
    )
