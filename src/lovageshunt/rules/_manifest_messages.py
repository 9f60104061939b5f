"""What changed between two manifests."""

from lovageshunt.rules._messages import ManifestTold
from lovageshunt.rules._version import Manifest


def tell_whole(manifest: Manifest, reader: str) -> ManifestTold:
    """Return the message with a whole manifest."""
    return ManifestTold(
        version=manifest.version,
        deployment=manifest.deployment,
        reader=reader,
        base_digest='',
        changed=manifest.digest_by_service,
        removed=[],
    )


def tell_changes(
    manifest: Manifest,
    base: Manifest,
    reader: str,
) -> ManifestTold:
    """Return the message with what changed since ``base``."""
    old = base.digest_by_service
    new = manifest.digest_by_service
    return ManifestTold(
        version=manifest.version,
        deployment=manifest.deployment,
        reader=reader,
        base_digest=base.version.digest,
        changed={
            service: digest
            for service, digest in new.items()
            if old.get(service) != digest
        },
        removed=sorted(old.keys() - new.keys()),
    )


def manifest_told(
    told: ManifestTold, heard: Manifest | None
) -> Manifest | None:
    """Return the manifest that a message makes of the one heard before.

    ``None`` when the message tells changes of another one.
    """
    digest_by_service: dict[str, str] = {}
    if told.base_digest:
        if heard is None or heard.version.digest != told.base_digest:
            return None
        digest_by_service.update(heard.digest_by_service)
    digest_by_service.update(told.changed)
    for service in told.removed:
        digest_by_service.pop(service, None)
    return Manifest(
        version=told.version,
        deployment=told.deployment,
        digest_by_service=digest_by_service,
    )
