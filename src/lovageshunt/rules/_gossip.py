"""Gossip that brings a new version of the rules to every node.

A node that learns of a new version sends its manifest to a few peers at once
(rumour mongering). Each node also sends the version that it knows to one
random peer every second, which reaches the nodes that the rumour missed
(anti-entropy). A node then requests the parts that it needs, by service.
"""

from random import Random
from typing import Any

from lovageshunt._dispatch import DispatchedMethod
from lovageshunt.rules._events import (
    DocumentRead,
    MessageReceived,
    ReadDocument,
    RulesChanged,
    RulesGossipAction,
    RulesGossipEvent,
    RulesGossipTicked,
)
from lovageshunt.rules._first_read import FirstRead
from lovageshunt.rules._gossip_settings import RulesGossipSettings
from lovageshunt.rules._in_force import RulesInForce
from lovageshunt.rules._messages import ManifestTold, VersionTold
from lovageshunt.rules._peer_exchange import PeerExchange
from lovageshunt.rules._request_interval import RequestInterval
from lovageshunt.rules._send_queue import SendQueue
from lovageshunt.rules._startup_hold import StartupHold


class RulesGossip:
    """The gossip state machine of one node.

    ``handle`` returns the actions to perform and does no I/O. ``rules`` holds
    the version in force. Until the first tick no peers are known.
    """

    __slots__ = (
        'rules',
        '_settings',
        '_send_queue',
        '_startup_hold',
        '_peer_exchange',
        '_exchange_at',
        '_request_at',
        '_request_interval',
        '_first_read',
    )

    def __init__(
        self,
        rng: Random,
        settings: RulesGossipSettings,
        rules: RulesInForce,
    ) -> None:
        self.rules = rules
        self._settings = settings
        self._send_queue = SendQueue(
            bytes_per_second=settings.bytes_per_second,
            burst_bytes=settings.burst_bytes,
        )
        self._startup_hold = StartupHold(
            min_responses=settings.startup_responses,
            timeout_seconds=settings.startup_timeout_seconds,
        )
        self._peer_exchange = PeerExchange(
            rng, settings, rules, self._send_queue
        )
        self._exchange_at: float = 0
        self._request_at: float = 0
        self._request_interval = RequestInterval(settings.request_seconds)
        self._first_read = FirstRead(rng, settings.first_read_seconds)

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent since the start, with HTTP overhead."""
        return self._send_queue.sent_bytes

    def handle(
        self, event: RulesGossipEvent, now: float
    ) -> list[RulesGossipAction]:
        """Handle an event and return the resulting actions."""
        before = self.rules.version
        self._handle(event, now)
        actions: list[RulesGossipAction] = []
        actions.extend(self._send_queue.take_sendable(now))
        if self._first_read.is_due(self.rules, now):
            actions.append(ReadDocument())
        version = self.rules.version
        if version is not None and version != before:
            actions.append(RulesChanged(version=version))
        return actions

    @DispatchedMethod
    def _handle(self, event: Any, now: float) -> None:
        raise TypeError(f'{type(event).__name__} is not a rules gossip event')

    @_handle.register
    def _handle_document(self, event: DocumentRead, now: float) -> None:
        if self._startup_hold.is_over:
            self._peer_exchange.handle_document(event, now)
            return
        self._startup_hold.hold(event)

    @_handle.register
    def _handle_message(self, event: MessageReceived, now: float) -> None:
        if isinstance(event.message, ManifestTold | VersionTold):
            self._startup_hold.record_response(event.peer)
        self._peer_exchange.handle(event.message, event.peer, now)

    @_handle.register
    def _handle_tick(self, event: RulesGossipTicked, now: float) -> None:
        self._peer_exchange.last_tick = event
        if not self._startup_hold.is_over:
            self._release_held(now)
        if now >= self._exchange_at:
            self._exchange_at = now + self._settings.exchange_seconds
            self._peer_exchange.announce_version()
        if now >= self._request_at:
            self._request_at = now + self._request_interval.next_seconds(
                self.rules.missing_services()
            )
            self._request_missing()

    def _release_held(self, now: float) -> None:
        document_read = self._startup_hold.release(now)
        if document_read is not None:
            self._peer_exchange.handle_document(document_read, now)

    def _request_missing(self) -> None:
        if not self._startup_hold.is_over:
            self._peer_exchange.request_manifest(
                self._settings.startup_responses
            )
        self._peer_exchange.request_parts()
