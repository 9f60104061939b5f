"""Generates lookups and purchases and records their outcomes."""

import asyncio
import time
from collections import Counter

import orjson
from expression import Result

from lovageshunt.client import Answer, Client
from lovageshunt.errors import CallError

_LOOKUP = 'lookup'
_PURCHASE = 'purchase'


class OutcomeLog:
    """Outcomes reported to callers.

    ``outcome_by_id`` and ``kind_by_id`` are keyed by request id;
    ``wrong_answers`` lists requests that got the answer of another one;
    ``latencies_ms`` are durations of all requests in ms. ``span_by_id`` is
    when each was sent and ended, in seconds after the first.
    """

    def __init__(self) -> None:
        self.outcome_by_id: dict[str, str] = {}
        self.kind_by_id: dict[str, str] = {}
        self.wrong_answers: list[str] = []
        self.latencies_ms: list[float] = []
        self.span_by_id: dict[str, tuple[float, float]] = {}
        self._first_sent_at: float | None = None

    def note_time(self, request_id: str, sent_at: float) -> None:
        """Record a request that ends now; ``sent_at`` is monotonic time."""
        if self._first_sent_at is None:
            self._first_sent_at = sent_at
        ended_at = time.monotonic()
        self.latencies_ms.append((ended_at - sent_at) * 1000)
        self.span_by_id[request_id] = (
            sent_at - self._first_sent_at,
            ended_at - self._first_sent_at,
        )

    def described(self, request_ids: list[str]) -> str:
        """Return what became of requests, and when they were in progress."""
        return '; '.join(map(self._describe, request_ids))

    def record(
        self,
        kind: str,
        request_id: str,
        result: Result[Answer, CallError],
    ) -> None:
        """Record the outcome of a request and check the request id."""
        self.kind_by_id[request_id] = kind
        if result.is_error():
            name = type(result.error).__name__
            self.outcome_by_id[request_id] = f'{name}: {result.error.reason}'
            return
        self.outcome_by_id[request_id] = 'answered'
        if orjson.loads(result.ok.body)['request'] != request_id:
            self.wrong_answers.append(request_id)

    def counts(self, kind: str) -> Counter[str]:
        """Return the number of requests of a kind by outcome."""
        return Counter(
            outcome
            for request_id, outcome in self.outcome_by_id.items()
            if self.kind_by_id[request_id] == kind
        )

    def _describe(self, request_id: str) -> str:
        kind = self.kind_by_id[request_id]
        outcome = self.outcome_by_id[request_id]
        sent_at, ended_at = self.span_by_id[request_id]
        return f'{kind} {outcome}, {sent_at:.2f} to {ended_at:.2f} s'

    def ids_with_outcome(self, prefix: str) -> list[str]:
        """Return the ids of requests whose outcome has this prefix."""
        return [
            request_id
            for request_id, outcome in self.outcome_by_id.items()
            if outcome.startswith(prefix)
        ]


async def run_load(
    client: Client,
    outcome_log: OutcomeLog,
    *,
    lookup: tuple[str, str],
    purchase: tuple[str, str],
    seconds: float,
    per_second: float,
) -> None:
    """Send requests at a constant rate, every third one a purchase."""
    started = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - started < seconds:
        number += 1
        if number % 3:
            request = _send(client, outcome_log, _LOOKUP, 'GET', lookup)
        else:
            request = _send(client, outcome_log, _PURCHASE, 'POST', purchase)
        tasks.append(asyncio.create_task(request))
        due = started + number / per_second
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*tasks)


async def _send(
    client: Client,
    outcome_log: OutcomeLog,
    kind: str,
    method: str,
    endpoint: tuple[str, str],
) -> None:
    scope = client.request()
    started = time.monotonic()
    result = await scope.call(endpoint[0], method, endpoint[1], body=b'{}')
    outcome_log.note_time(scope.request_id, started)
    outcome_log.record(kind, scope.request_id, result)
