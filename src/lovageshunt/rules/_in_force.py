"""The rules in force at a node; their version never goes backwards."""

from collections.abc import Iterable
from enum import StrEnum

from lovageshunt._record import Record
from lovageshunt.rules._conflicts import Conflict, ConflictLog
from lovageshunt.rules._defaults import default_rule
from lovageshunt.rules._document import KindRule, RulesDocument, ServiceRules
from lovageshunt.rules._version import Manifest, Version, manifest_of


class Verdict(StrEnum):
    """The outcome of offering a version.

    ``ADOPTED``: it is now in force. ``WAITING``: it is the latest known
    version and needed parts are missing. ``SAME``: these rules are already in
    force. ``OLDER``: a later version is known. ``INCONSISTENT``: its digest
    does not match those of its parts.
    """

    ADOPTED = 'adopted'
    WAITING = 'waiting'
    SAME = 'same'
    OLDER = 'older'
    INCONSISTENT = 'unsound'


class OfferResult(Record):
    """The verdict on an offered version.

    ``is_conflict`` is true if the latest known document has the same
    generation and a different digest.
    """

    __slots__ = ('verdict', 'version', 'is_conflict')

    def __init__(
        self,
        *,
        verdict: Verdict,
        version: Version,
        is_conflict: bool = False,
    ) -> None:
        self.verdict = verdict
        self.version = version
        self.is_conflict = is_conflict


class RulesInForce:
    """The latest known version and the version in force.

    The latest is the greatest in the order of ``Version``. A version comes
    into force when the node has every part that it needs; until then the
    previous one stays in force. ``needed_services`` lists the services whose
    parts the node needs; ``None`` means all. ``current`` is the document in
    force with the parts that are present, ``in_force_since`` the time of its
    adoption, in seconds of the node's clock. ``latest`` is the manifest of
    the latest known version.
    """

    __slots__ = (
        'current',
        'in_force_since',
        'latest',
        '_in_force',
        '_conflict_log',
        '_needed',
        '_part_by_service',
    )

    def __init__(self, needed_services: frozenset[str] | None = None) -> None:
        self.current: RulesDocument | None = None
        self.in_force_since: float | None = None
        self._conflict_log = ConflictLog()
        self.latest: Manifest | None = None
        self._in_force: Manifest | None = None
        self._needed = needed_services
        self._part_by_service: dict[str, ServiceRules] = {}

    @property
    def version(self) -> Version | None:
        """Return the version in force, if any."""
        return None if self._in_force is None else self._in_force.version

    @property
    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the logged conflicts in the order of detection."""
        return self._conflict_log.conflicts

    def manifest(self) -> Manifest | None:
        """Return the manifest of the version in force, if any."""
        return self._in_force

    def kind_for(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule that matches a request, or else the default rule."""
        rule = None
        if self.current is not None and service in self.current.by_service:
            rule = self.current.by_service[service].kind_for(method, path)
        return rule or default_rule(service, method, path)

    def offer(
        self,
        version: Version,
        document: RulesDocument,
        now: float,
    ) -> OfferResult:
        """Handle a complete document that was read from the platform."""
        manifest = manifest_of(document, version)
        return self.offer_parts(manifest, document.by_service, now)

    def offer_manifest(self, manifest: Manifest, now: float) -> OfferResult:
        """Handle a manifest; from now on no older version is adopted."""
        return self.offer_parts(manifest, {}, now)

    def offer_parts(
        self,
        manifest: Manifest,
        parts: dict[str, ServiceRules],
        now: float,
    ) -> OfferResult:
        """Handle a manifest with the rules of some of its services."""
        if not manifest.is_consistent:
            return OfferResult(
                verdict=Verdict.INCONSISTENT, version=manifest.version
            )
        is_conflict = self._conflict_log.record_if_conflict(
            self.latest, manifest.version, now
        )
        verdict = self._verdict(manifest, parts, now)
        return OfferResult(
            verdict=verdict,
            version=manifest.version,
            is_conflict=is_conflict,
        )

    def note_version(self, version: Version, now: float) -> None:
        """Handle a version that was received without its manifest.

        Logs a conflict. A version that has the digest of ``latest`` and a
        later revision replaces it.
        """
        self._conflict_log.record_if_conflict(self.latest, version, now)
        latest = self.latest
        if latest is None or latest.version.digest != version.digest:
            return
        manifest = Manifest(
            version=version,
            deployment=latest.deployment,
            digest_by_service=latest.digest_by_service,
        )
        self.offer_manifest(manifest, now)

    def missing(
        self,
        manifest: Manifest,
        needed_services: frozenset[str] | None,
    ) -> tuple[str, ...]:
        """Return the needed services whose rules are not present."""
        return tuple(
            sorted(
                service
                for service, digest in manifest.digest_by_service.items()
                if _is_needed(service, needed_services)
                and not self._has_part(service, digest)
            ),
        )

    def missing_services(self) -> tuple[str, ...]:
        """Return the services whose rules of ``latest`` are still missing."""
        if self.latest is None:
            return ()
        return self.missing(self.latest, self._needed)

    def available_parts(
        self, services: Iterable[str]
    ) -> dict[str, ServiceRules]:
        """Return the rules of ``latest`` that are present, by service."""
        if self.latest is None:
            return {}
        return {
            service: self._part_by_service[service]
            for service in services
            if self._has_part(
                service, self.latest.digest_by_service.get(service)
            )
        }

    def _verdict(
        self,
        manifest: Manifest,
        parts: dict[str, ServiceRules],
        now: float,
    ) -> Verdict:
        if self.latest is not None and manifest.version < self.latest.version:
            return Verdict.OLDER
        if self.latest is None or manifest.version > self.latest.version:
            self.latest = manifest
        self._store_parts(manifest, parts)
        if self.version == manifest.version:
            return Verdict.SAME
        if self.missing(manifest, self._needed):
            return Verdict.WAITING
        return self._adopt(manifest, now)

    def _store_parts(
        self,
        manifest: Manifest,
        parts: dict[str, ServiceRules],
    ) -> None:
        for service, rules in parts.items():
            if rules.digest == manifest.digest_by_service.get(service):
                self._part_by_service[service] = rules

    def _adopt(self, manifest: Manifest, now: float) -> Verdict:
        has_same_rules = (
            self._in_force is not None
            and self._in_force.version.digest == manifest.version.digest
        )
        self._in_force = manifest
        self._part_by_service = {
            service: rules
            for service, rules in self._part_by_service.items()
            if service in manifest.digest_by_service
        }
        self.current = RulesDocument(
            deployment=manifest.deployment,
            generation=manifest.version.generation,
            by_service=self.available_parts(manifest.digest_by_service),
        )
        if has_same_rules:
            return Verdict.SAME
        self.in_force_since = now
        return Verdict.ADOPTED

    def _has_part(self, service: str, digest: str | None) -> bool:
        rules = self._part_by_service.get(service)
        return rules is not None and rules.digest == digest


def _is_needed(service: str, needed: frozenset[str] | None) -> bool:
    return needed is None or service in needed
