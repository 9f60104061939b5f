"""Callers that send lookups and purchases, and remember what they got."""

import asyncio
import time
from collections import Counter

import orjson
from expression import Result

from lovageshunt.client import Answer, Client
from lovageshunt.errors import CallError

_LOOKUP = 'lookup'
_PURCHASE = 'purchase'


class Ledger:
    """What each caller was told, by request id."""

    def __init__(self) -> None:
        """Begin with nothing told."""
        self.told_by_id: dict[str, str] = {}
        self.kind_by_id: dict[str, str] = {}
        self.wrong_answers: list[str] = []
        self.milliseconds: list[float] = []

    def note(
        self,
        kind: str,
        request_id: str,
        told: Result[Answer, CallError],
    ) -> None:
        """Note what a caller was told, and whether the answer is its own."""
        self.kind_by_id[request_id] = kind
        if told.is_error():
            name = type(told.error).__name__
            self.told_by_id[request_id] = f'{name}: {told.error.reason}'
            return
        self.told_by_id[request_id] = 'answered'
        if orjson.loads(told.ok.body)['request'] != request_id:
            self.wrong_answers.append(request_id)

    def counts(self, kind: str) -> Counter[str]:
        """Return how often callers of a kind were told what."""
        return Counter(
            told
            for request_id, told in self.told_by_id.items()
            if self.kind_by_id[request_id] == kind
        )

    def ids_told(self, beginning: str) -> list[str]:
        """Return the requests that were told something."""
        return [
            request_id
            for request_id, told in self.told_by_id.items()
            if told.startswith(beginning)
        ]


async def run_load(
    client: Client,
    ledger: Ledger,
    *,
    lookup: tuple[str, str],
    purchase: tuple[str, str],
    seconds: float,
    per_second: float,
) -> None:
    """Send requests at a rate: one purchase for every two lookups."""
    began = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - began < seconds:
        number += 1
        if number % 3:
            work = _send(client, ledger, _LOOKUP, 'GET', lookup)
        else:
            work = _send(client, ledger, _PURCHASE, 'POST', purchase)
        tasks.append(asyncio.create_task(work))
        due = began + number / per_second
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*tasks)


async def _send(
    client: Client,
    ledger: Ledger,
    kind: str,
    method: str,
    place: tuple[str, str],
) -> None:
    scope = client.request()
    began = time.monotonic()
    told = await scope.call(place[0], method, place[1], body=b'{}')
    ledger.milliseconds.append((time.monotonic() - began) * 1000)
    ledger.note(kind, scope.request_id, told)
