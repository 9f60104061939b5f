"""Which rules a node serves under; no version older than one heard enters."""

from collections.abc import Iterable
from enum import StrEnum

from lovageshunt._record import Record
from lovageshunt.rules._conflicts import Conflict, ConflictLog
from lovageshunt.rules._defaults import default_rule
from lovageshunt.rules._document import KindRule, RulesDocument, ServiceRules
from lovageshunt.rules._version import Manifest, Version, manifest_of


class Verdict(StrEnum):
    """What became of an offer.

    ``ADOPTED``: it is in force now. ``WAITING``: it is the greatest heard
    and parts of it are missing. ``SAME``: known already. ``OLDER``: a
    greater one was heard. ``INCONSISTENT``: its digests contradict each other.
    """

    ADOPTED = 'adopted'
    WAITING = 'waiting'
    SAME = 'same'
    OLDER = 'older'
    INCONSISTENT = 'unsound'


class OfferResult(Record):
    """The result of an offer; ``is_conflict`` when two share a generation."""

    __slots__ = ('verdict', 'version', 'is_conflict')

    def __init__(
        self,
        *,
        verdict: Verdict,
        version: Version,
        is_conflict: bool = False,
    ) -> None:
        """Take the verdict on one version."""
        self.verdict = verdict
        self.version = version
        self.is_conflict = is_conflict


class RulesInForce:
    """The greatest version heard, and the greatest that is whole.

    A version is in force only when every part that the node needs is there;
    until then the one before it stays whole. ``needed_services`` of ``None``
    means all.
    """

    __slots__ = (
        'current',
        'in_force_since',
        'heard',
        '_in_force',
        '_log',
        '_needed',
        '_part_by_service',
    )

    def __init__(self, needed_services: frozenset[str] | None = None) -> None:
        """Start without any rules."""
        self.current: RulesDocument | None = None
        self.in_force_since: float | None = None
        self._log = ConflictLog()
        self.heard: Manifest | None = None
        self._in_force: Manifest | None = None
        self._needed = needed_services
        self._part_by_service: dict[str, ServiceRules] = {}

    @property
    def version(self) -> Version | None:
        """Return the version in force, if any."""
        return None if self._in_force is None else self._in_force.version

    @property
    def conflicts(self) -> tuple[Conflict, ...]:
        """Return the conflicts on record, the oldest first."""
        return self._log.conflicts

    def manifest(self) -> Manifest | None:
        """Return the manifest of the version in force, if any."""
        return self._in_force

    def kind_for(self, service: str, method: str, path: str) -> KindRule:
        """Return the rule of a request, or the cautious default."""
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
        """Take a whole document, as read from the platform."""
        manifest = manifest_of(document, version)
        return self.offer_parts(manifest, document.by_service, now)

    def hear(self, manifest: Manifest, now: float) -> OfferResult:
        """Take a manifest; from now on nothing older is adopted."""
        return self.offer_parts(manifest, {}, now)

    def offer_parts(
        self,
        manifest: Manifest,
        parts: dict[str, ServiceRules],
        now: float,
    ) -> OfferResult:
        """Take a manifest with the rules of some of its services."""
        if not manifest.is_sound:
            return OfferResult(
                verdict=Verdict.INCONSISTENT, version=manifest.version
            )
        is_conflict = self._log.compare(self.heard, manifest.version, now)
        verdict = self._verdict(manifest, parts, now)
        return OfferResult(
            verdict=verdict,
            version=manifest.version,
            is_conflict=is_conflict,
        )

    def note_version(self, version: Version, now: float) -> None:
        """Take a version without its manifest.

        A conflict goes on record, and a later revision of the rules heard
        last counts as heard.
        """
        self._log.compare(self.heard, version, now)
        heard = self.heard
        if heard is None or heard.version.digest != version.digest:
            return
        manifest = Manifest(
            version=version,
            deployment=heard.deployment,
            digest_by_service=heard.digest_by_service,
        )
        self.hear(manifest, now)

    def missing(
        self,
        manifest: Manifest,
        needed_services: frozenset[str] | None,
    ) -> tuple[str, ...]:
        """Return the services whose rules must still be fetched."""
        return tuple(
            sorted(
                service
                for service, digest in manifest.digest_by_service.items()
                if _is_needed(service, needed_services)
                and not self._holds(service, digest)
            ),
        )

    def missing_now(self) -> tuple[str, ...]:
        """Return what this node lacks of the greatest version heard."""
        if self.heard is None:
            return ()
        return self.missing(self.heard, self._needed)

    def held(self, services: Iterable[str]) -> dict[str, ServiceRules]:
        """Return those of the greatest version's parts that are here."""
        if self.heard is None:
            return {}
        return {
            service: self._part_by_service[service]
            for service in services
            if self._holds(service, self.heard.digest_by_service.get(service))
        }

    def _verdict(
        self,
        manifest: Manifest,
        parts: dict[str, ServiceRules],
        now: float,
    ) -> Verdict:
        if self.heard is not None and manifest.version < self.heard.version:
            return Verdict.OLDER
        if self.heard is None or manifest.version > self.heard.version:
            self.heard = manifest
        self._keep(manifest, parts)
        if self.version == manifest.version:
            return Verdict.SAME
        if self.missing(manifest, self._needed):
            return Verdict.WAITING
        return self._adopt(manifest, now)

    def _keep(
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
            by_service=self.held(manifest.digest_by_service),
        )
        if has_same_rules:
            return Verdict.SAME
        self.in_force_since = now
        return Verdict.ADOPTED

    def _holds(self, service: str, digest: str | None) -> bool:
        rules = self._part_by_service.get(service)
        return rules is not None and rules.digest == digest


def _is_needed(service: str, needed: frozenset[str] | None) -> bool:
    return needed is None or service in needed
