"""Manifest messages: building full ones and deltas, and applying them."""

from lovageshunt.rules._messages import ManifestTold
from lovageshunt.rules._version import Manifest


def full_manifest_message(manifest: Manifest, reader: str) -> ManifestTold:
    """Return a message that does not depend on an earlier manifest."""
    return ManifestTold(
        version=manifest.version,
        deployment=manifest.deployment,
        reader=reader,
        base_digest='',
        changed=manifest.digest_by_service,
        removed=[],
    )


def manifest_delta_message(
    manifest: Manifest,
    base: Manifest,
    reader: str,
) -> ManifestTold:
    """Return a message with the changes of ``manifest`` against ``base``."""
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


def apply_manifest_message(
    message: ManifestTold, latest: Manifest | None
) -> Manifest | None:
    """Return the manifest that results from applying a message.

    Returns ``None`` if the message is a delta and its base is not ``latest``.
    """
    digest_by_service: dict[str, str] = {}
    if message.base_digest:
        if latest is None or latest.version.digest != message.base_digest:
            return None
        digest_by_service.update(latest.digest_by_service)
    digest_by_service.update(message.changed)
    for service in message.removed:
        digest_by_service.pop(service, None)
    return Manifest(
        version=message.version,
        deployment=message.deployment,
        digest_by_service=digest_by_service,
    )
