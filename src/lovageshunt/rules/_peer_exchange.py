"""What a node tells its peers about rules, and makes of what they say."""

from functools import singledispatchmethod
from random import Random
from typing import Any

from lovageshunt.rules._events import DocumentRead, RulesGossipTicked
from lovageshunt.rules._gossip_settings import RulesGossipSettings
from lovageshunt.rules._in_force import RulesInForce, Verdict
from lovageshunt.rules._manifest_messages import (
    manifest_told,
    tell_changes,
    tell_whole,
)
from lovageshunt.rules._messages import (
    ManifestAsked,
    ManifestTold,
    PartsAsked,
    PartsTold,
    VersionTold,
)
from lovageshunt.rules._send_queue import Outbox
from lovageshunt.rules._sources import Sources
from lovageshunt.rules._version import Manifest, Version


class Dialogue:
    """Passes news on at once and answers peers; messages go to the outbox."""

    __slots__ = (
        'ticked',
        '_rng',
        '_settings',
        '_rules',
        '_outbox',
        '_sources',
        '_base',
    )

    def __init__(
        self,
        rng: Random,
        settings: RulesGossipSettings,
        rules: RulesInForce,
        outbox: Outbox,
    ) -> None:
        """Start without peers; ``ticked`` brings them."""
        self.ticked = RulesGossipTicked(peers=())
        self._rng = rng
        self._settings = settings
        self._rules = rules
        self._outbox = outbox
        self._sources = Sources(rng, settings.name)
        self._base: Manifest | None = None

    def take_document(self, read: DocumentRead, now: float) -> None:
        """Take what this node read from the platform."""
        before = self._rules.heard
        name = self._settings.name
        offer = self._rules.offer(read.version, read.document, now)
        self._pass_on_news(before, reader=name, teller='')
        if offer.verdict is not Verdict.ADOPTED:
            return
        # The node that was said to hold every part may be gone since.
        self._sources.note_reader(name)
        for peer in self._draw(self._settings.fanout, but=''):
            self._tell_manifest(peer, read.version)

    def tell_version(self) -> None:
        """Tell one peer which version is known; it says if it knows better."""
        heard = self._rules.heard
        version = None if heard is None else heard.version
        for peer in self._draw(1, but=''):
            self._outbox.put(peer, VersionTold(version=version))

    def ask_manifest(self, count: int) -> None:
        """Ask some peers what they know."""
        for peer in self._draw(count, but=''):
            self._outbox.put(peer, ManifestAsked())

    def ask_parts(self) -> None:
        """Ask for what is missing of the greatest version."""
        heard = self._rules.heard
        if heard is None:
            return
        missing = self._rules.missing_now()
        services_by_peer = self._sources.choose(missing, self.ticked)
        for peer, services in services_by_peer.items():
            asked = PartsAsked(version=heard.version, services=services)
            self._outbox.put(peer, asked)

    @singledispatchmethod
    def take(self, message: Any, peer: str, now: float) -> None:
        """Take a message of a peer."""
        raise TypeError(f'{type(message).__name__} is no message about rules')

    @take.register
    def _take_version(
        self,
        message: VersionTold,
        peer: str,
        now: float,
    ) -> None:
        self._compare(message.version, peer, now)

    @take.register
    def _take_question(
        self,
        message: ManifestAsked,
        peer: str,
        now: float,
    ) -> None:
        if self._rules.heard is None:
            self._outbox.put(peer, VersionTold(version=None))
            return
        whole = tell_whole(self._rules.heard, self._sources.reader)
        self._outbox.put(peer, whole)

    @take.register
    def _take_manifest(
        self,
        message: ManifestTold,
        peer: str,
        now: float,
    ) -> None:
        before = self._rules.heard
        manifest = manifest_told(message, before)
        if manifest is None:
            self._compare(message.version, peer, now)
            return
        verdict = self._rules.hear(manifest, now).verdict
        if verdict is Verdict.OLDER:
            self._tell_manifest(peer, message.version)
            return
        if verdict is Verdict.INCONSISTENT:
            return
        self._pass_on_news(before, reader=message.reader, teller=peer)
        self._sources.note_reader(message.reader)
        self._sources.note_teller(peer)

    @take.register
    def _take_request(
        self,
        message: PartsAsked,
        peer: str,
        now: float,
    ) -> None:
        self._compare(message.version, peer, now)
        heard = self._rules.heard
        parts = self._rules.held(message.services)
        if heard is not None and parts:
            self._outbox.put(
                peer,
                PartsTold(version=heard.version, parts=parts),
            )

    @take.register
    def _take_parts(
        self,
        message: PartsTold,
        peer: str,
        now: float,
    ) -> None:
        self._compare(message.version, peer, now)
        if self._rules.heard is not None:
            self._rules.offer_parts(self._rules.heard, message.parts, now)

    def _compare(self, version: Version | None, peer: str, now: float) -> None:
        if version is None:
            self._tell_manifest(peer, None)
            return
        self._rules.note_version(version, now)
        heard = self._rules.heard
        if heard is None or version > heard.version:
            self._outbox.put(peer, ManifestAsked())
        elif version < heard.version:
            self._tell_manifest(peer, version)
        else:
            self._sources.note_teller(peer)

    def _tell_manifest(self, peer: str, known: Version | None) -> None:
        heard = self._rules.heard
        if heard is not None:
            told = self._manifest_for(heard, known)
            self._outbox.put(peer, told)

    def _manifest_for(
        self,
        heard: Manifest,
        known: Version | None,
    ) -> ManifestTold:
        base = self._base
        reader = self._sources.reader
        if known is not None and known.digest == heard.version.digest:
            return tell_changes(heard, heard, reader)
        if base is not None and known == base.version:
            return tell_changes(heard, base, reader)
        return tell_whole(heard, reader)

    def _pass_on_news(
        self,
        before: Manifest | None,
        *,
        reader: str,
        teller: str,
    ) -> None:
        heard = self._rules.heard
        if heard is None or _has_same_rules(before, heard):
            return
        self._base = before
        self._sources.start(reader)
        # Most peers know the version before, so only what changed is told.
        known = None if before is None else before.version
        told = self._manifest_for(heard, known)
        for peer in self._draw(self._settings.fanout, but=teller):
            self._outbox.put(peer, told)
        self.ask_parts()

    def _draw(self, count: int, *, but: str) -> list[str]:
        excluded = {but, self._settings.name}
        peers = [peer for peer in self.ticked.peers if peer not in excluded]
        return self._rng.sample(peers, min(count, len(peers)))


def _has_same_rules(before: Manifest | None, heard: Manifest) -> bool:
    return before is not None and before.version.digest == heard.version.digest
