"""Sends messages about rules to peers and handles those of peers."""

from random import Random
from typing import Any

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt.rules._events import DocumentRead, RulesGossipTicked
from lovageshunt.rules._gossip_settings import RulesGossipSettings
from lovageshunt.rules._in_force import RulesInForce, Verdict
from lovageshunt.rules._manifest_messages import (
    apply_manifest_message,
    full_manifest_message,
    manifest_delta_message,
)
from lovageshunt.rules._messages import (
    ManifestAsked,
    ManifestTold,
    PartsAsked,
    PartsTold,
    VersionTold,
)
from lovageshunt.rules._send_queue import SendQueue
from lovageshunt.rules._sources import PartSources
from lovageshunt.rules._version import Manifest, Version


class PeerExchange:
    """Propagates new versions at once and answers peers.

    Outgoing messages are put into the send queue. ``last_tick`` holds the
    latest names of peers and members.
    """

    __slots__ = (
        'last_tick',
        '_rng',
        '_settings',
        '_rules',
        '_send_queue',
        '_sources',
        '_delta_base',
    )

    def __init__(
        self,
        rng: Random,
        settings: RulesGossipSettings,
        rules: RulesInForce,
        send_queue: SendQueue,
    ) -> None:
        self.last_tick = RulesGossipTicked(peers=())
        self._rng = rng
        self._settings = settings
        self._rules = rules
        self._send_queue = send_queue
        self._sources = PartSources(rng, settings.name)
        self._delta_base: Manifest | None = None

    def handle_document(self, read: DocumentRead, now: float) -> None:
        """Offer a document that this node read from the platform."""
        previous = self._rules.latest
        name = self._settings.name
        offer = self._rules.offer(read.version, read.document, now)
        self._propagate_update(previous, reader=name, source='')
        if offer.verdict is not Verdict.ADOPTED:
            return
        # The reader named by peers may have left; this node now has all parts.
        self._sources.set_reader(name)
        for peer in self._sample_peers(self._settings.fanout, exclude=''):
            self._send_manifest(peer, read.version)

    def announce_version(self) -> None:
        """Send the latest version to one peer, which answers if it differs."""
        latest = self._rules.latest
        version = None if latest is None else latest.version
        for peer in self._sample_peers(1, exclude=''):
            self._send_queue.put(peer, VersionTold(version=version))

    def request_manifest(self, count: int) -> None:
        """Request the latest manifest from up to ``count`` peers."""
        for peer in self._sample_peers(count, exclude=''):
            self._send_queue.put(peer, ManifestAsked())

    def request_parts(self) -> None:
        """Request the missing parts of the latest version."""
        latest = self._rules.latest
        if latest is None:
            return
        missing = self._rules.missing_services()
        services_by_peer = self._sources.select(missing, self.last_tick)
        for peer, services in services_by_peer.items():
            request = PartsAsked(version=latest.version, services=services)
            self._send_queue.put(peer, request)

    @DispatchedMethod
    def handle(self, message: Any, peer: str, now: float) -> None:
        """Handle a message of a peer; raise ``TypeError`` on other types."""
        raise TypeError(f'{type(message).__name__} is not a rules message')

    @handle.register
    def _handle_version(
        self,
        message: VersionTold,
        peer: str,
        now: float,
    ) -> None:
        self._compare_version(message.version, peer, now)

    @handle.register
    def _handle_manifest_request(
        self,
        message: ManifestAsked,
        peer: str,
        now: float,
    ) -> None:
        if self._rules.latest is None:
            self._send_queue.put(peer, VersionTold(version=None))
            return
        full = full_manifest_message(self._rules.latest, self._sources.reader)
        self._send_queue.put(peer, full)

    @handle.register
    def _handle_manifest(
        self,
        message: ManifestTold,
        peer: str,
        now: float,
    ) -> None:
        previous = self._rules.latest
        manifest = apply_manifest_message(message, previous)
        if manifest is None:
            self._compare_version(message.version, peer, now)
            return
        verdict = self._rules.offer_manifest(manifest, now).verdict
        if verdict is Verdict.OLDER:
            self._send_manifest(peer, message.version)
            return
        if verdict is Verdict.INCONSISTENT:
            return
        self._propagate_update(previous, reader=message.reader, source=peer)
        self._sources.set_reader(message.reader)
        self._sources.add_announcer(peer)

    @handle.register
    def _handle_parts_request(
        self,
        message: PartsAsked,
        peer: str,
        now: float,
    ) -> None:
        self._compare_version(message.version, peer, now)
        latest = self._rules.latest
        parts = self._rules.available_parts(message.services)
        if latest is not None and parts:
            self._send_queue.put(
                peer,
                PartsTold(version=latest.version, parts=parts),
            )

    @handle.register
    def _handle_parts(
        self,
        message: PartsTold,
        peer: str,
        now: float,
    ) -> None:
        self._compare_version(message.version, peer, now)
        if self._rules.latest is not None:
            self._rules.offer_parts(self._rules.latest, message.parts, now)

    def _compare_version(
        self, version: Version | None, peer: str, now: float
    ) -> None:
        if version is None:
            self._send_manifest(peer, None)
            return
        self._rules.note_version(version, now)
        latest = self._rules.latest
        if latest is None or version > latest.version:
            self._send_queue.put(peer, ManifestAsked())
        elif version < latest.version:
            self._send_manifest(peer, version)
        else:
            self._sources.add_announcer(peer)

    def _send_manifest(self, peer: str, known: Version | None) -> None:
        latest = self._rules.latest
        if latest is not None:
            manifest_message = self._manifest_message(latest, known)
            self._send_queue.put(peer, manifest_message)

    def _manifest_message(
        self,
        latest: Manifest,
        known: Version | None,
    ) -> ManifestTold:
        base = self._delta_base
        reader = self._sources.reader
        if known is not None and known.digest == latest.version.digest:
            return manifest_delta_message(latest, latest, reader)
        if base is not None and known == base.version:
            return manifest_delta_message(latest, base, reader)
        return full_manifest_message(latest, reader)

    def _propagate_update(
        self,
        previous: Manifest | None,
        *,
        reader: str,
        source: str,
    ) -> None:
        latest = self._rules.latest
        if latest is None or _have_same_rules(previous, latest):
            return
        self._delta_base = previous
        self._sources.reset(reader)
        # Most peers know the previous version, so a delta is sent.
        known = None if previous is None else previous.version
        manifest_message = self._manifest_message(latest, known)
        for peer in self._sample_peers(self._settings.fanout, exclude=source):
            self._send_queue.put(peer, manifest_message)
        self.request_parts()

    def _sample_peers(self, count: int, *, exclude: str) -> list[str]:
        excluded = {exclude, self._settings.name}
        peers = [peer for peer in self.last_tick.peers if peer not in excluded]
        return self._rng.sample(peers, min(count, len(peers)))


def _have_same_rules(previous: Manifest | None, latest: Manifest) -> bool:
    return (
        previous is not None
        and previous.version.digest == latest.version.digest
    )
