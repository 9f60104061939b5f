"""How a new version reaches every node: rumour, then slow exchange.

Whoever hears of a version first tells a few peers at once. Each second a node
also tells one peer the version that it knows, which finds those whom the
rumour missed. Then a node asks for the parts that it needs, by service.
"""

from functools import singledispatchmethod
from random import Random
from typing import Any

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
from lovageshunt.rules._peer_exchange import Dialogue
from lovageshunt.rules._request_interval import Pace
from lovageshunt.rules._send_queue import Outbox
from lovageshunt.rules._startup_hold import Settling


class RulesGossip:
    """One node's part in the spread; ``rules`` is what it serves under."""

    __slots__ = (
        'rules',
        '_settings',
        '_outbox',
        '_settling',
        '_dialogue',
        '_exchange_at',
        '_ask_at',
        '_pace',
        '_first_read',
    )

    def __init__(
        self,
        rng: Random,
        settings: RulesGossipSettings,
        rules: RulesInForce,
    ) -> None:
        """Start without peers; the first tick brings them."""
        self.rules = rules
        self._settings = settings
        self._outbox = Outbox(
            bytes_per_second=settings.bytes_per_second,
            burst_bytes=settings.burst_bytes,
        )
        self._settling = Settling(
            answers=settings.settle_answers,
            seconds=settings.settle_seconds,
        )
        self._dialogue = Dialogue(rng, settings, rules, self._outbox)
        self._exchange_at: float = 0
        self._ask_at: float = 0
        self._pace = Pace(settings.ask_seconds)
        self._first_read = FirstRead(rng, settings.read_seconds)

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent since the start."""
        return self._outbox.sent_bytes

    def handle(
        self, event: RulesGossipEvent, now: float
    ) -> list[RulesGossipAction]:
        """Take an event and return what follows from it."""
        before = self.rules.version
        self._take(event, now)
        actions: list[RulesGossipAction] = []
        actions.extend(self._outbox.take(now))
        if self._first_read.is_due(self.rules, now):
            actions.append(ReadDocument())
        version = self.rules.version
        if version is not None and version != before:
            actions.append(RulesChanged(version=version))
        return actions

    @singledispatchmethod
    def _take(self, event: Any, now: float) -> None:
        raise TypeError(f'{type(event).__name__} is no event of the spread')

    @_take.register
    def _take_document(self, event: DocumentRead, now: float) -> None:
        if self._settling.is_over:
            self._dialogue.take_document(event, now)
            return
        self._settling.hold(event)

    @_take.register
    def _take_message(self, event: MessageReceived, now: float) -> None:
        if isinstance(event.message, ManifestTold | VersionTold):
            self._settling.count_answer(event.peer)
        self._dialogue.take(event.message, event.peer, now)

    @_take.register
    def _take_tick(self, event: RulesGossipTicked, now: float) -> None:
        self._dialogue.ticked = event
        if not self._settling.is_over:
            self._settle(now)
        if now >= self._exchange_at:
            self._exchange_at = now + self._settings.exchange_seconds
            self._dialogue.tell_version()
        if now >= self._ask_at:
            self._ask_at = now + self._pace.next(self.rules.missing_now())
            self._ask()

    def _settle(self, now: float) -> None:
        held = self._settling.end(now)
        if held is not None:
            self._dialogue.take_document(held, now)

    def _ask(self) -> None:
        if not self._settling.is_over:
            self._dialogue.ask_manifest(self._settings.settle_answers)
        self._dialogue.ask_parts()
