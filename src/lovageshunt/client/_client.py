"""The client: polls nodes for the view and starts requests."""

from asyncio import CancelledError, Task, create_task, sleep
from contextlib import suppress
from itertools import cycle
from random import Random
from time import time
from typing import Final
from uuid import uuid4

from expression import Result

from lovageshunt.account import encode_snapshot
from lovageshunt.calls import CallContext
from lovageshunt.client._engine import Engine
from lovageshunt.client._messages import Answer
from lovageshunt.client._options import ClientOptions
from lovageshunt.client._scope import CallScope, root_context
from lovageshunt.client._transport import Transport
from lovageshunt.client._view import (
    ACCOUNT_PATH,
    VIEW_PATH,
    View,
    decode_view,
)
from lovageshunt.clock import now
from lovageshunt.errors import CallError, MalformedViewError

_VIEW_TIMEOUT_SECONDS: Final = 1.0
#: The default for root requests, so high that the rule's timeout applies.
_MAX_TIMEOUT_MS: Final = 3_600_000
_ACCOUNT_INTERVAL_SECONDS: Final = 30.0
_HTTP_OK: Final = 200


class Client:
    """Calls services by name.

    ``start`` opens connections, ``close`` closes them.
    """

    def __init__(self, options: ClientOptions) -> None:
        self._options = options
        self._transport = Transport(
            max_body_bytes=options.max_body_bytes,
            tls=options.tls,
        )
        self.engine = Engine(options, self._transport, Random())  # noqa: S311
        self._seeds = cycle(options.seeds)
        self._poller: Task[None] | None = None

    async def start(self) -> None:
        """Read the view from every seed, then poll it in the background."""
        await self._transport.start()
        if self._options.services:
            for _ in self._options.seeds:
                await self.refresh()
            self._poller = create_task(self._poll_view())

    async def close(self) -> None:
        """Stop polling, send the account and close every connection."""
        if self._poller is not None:
            self._poller.cancel()
            with suppress(CancelledError):
                await self._poller
            await self.send_account()
        await self._transport.close()

    async def refresh(self) -> bool:
        """Read the view from the next seed; return false if that failed."""
        services = ','.join(self._options.services)
        exchange = await self._transport.send(
            address=next(self._seeds),
            method='GET',
            target=f'{VIEW_PATH}?services={services}',
            headers={},
            body=b'',
            timeout_seconds=_VIEW_TIMEOUT_SECONDS,
        )
        if exchange.is_error() or exchange.ok.status != _HTTP_OK:
            return False
        try:
            view = decode_view(exchange.ok.body)
        except MalformedViewError:
            return False
        self._merge_view(view)
        return True

    def request(
        self,
        *,
        request_id: str = '',
        timeout_ms: int = _MAX_TIMEOUT_MS,
        attempt: int = 1,
        age_ms: int = 0,
    ) -> CallScope:
        """Start a root request, or repeat one under its id.

        To repeat one, pass its ``request_id``, the next ``attempt`` number
        and, as ``age_ms``, the milliseconds since its first attempt.
        """
        context = root_context(
            request_id or uuid4().hex,
            timeout_ms=timeout_ms,
            attempt=attempt,
            age_ms=age_ms,
        )
        return CallScope(self.engine, context, is_root=True)

    def inner_scope(self, context: CallContext) -> CallScope:
        """Return the scope of a call that this target received."""
        return CallScope(self.engine, context, is_root=False)

    async def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Result[Answer, CallError]:
        """Make a root request that consists of one call."""
        return await self.request().call(
            service,
            method,
            path,
            body=body,
            headers=headers,
        )

    async def send_account(self) -> bool:
        """Send the account to the next seed; return whether it was stored."""
        snapshot = self.engine.account.snapshot(time())
        exchange = await self._transport.send(
            address=next(self._seeds),
            method='POST',
            target=ACCOUNT_PATH,
            headers={},
            body=encode_snapshot(snapshot),
            timeout_seconds=_VIEW_TIMEOUT_SECONDS,
        )
        return exchange.is_ok() and exchange.ok.status == _HTTP_OK

    def _merge_view(self, view: View) -> None:
        current = self.engine.view
        # Seeds know different services, and some lag behind: services that
        # are missing from a view are kept, and rules of an older generation
        # never replace newer ones.
        newer = view.rules_by_service
        older = current.rules_by_service
        if view.generation < current.generation:
            newer, older = older, newer
        merged = View(
            generation=max(current.generation, view.generation),
            rules_by_service={**older, **newer},
            members_by_service={
                **current.members_by_service,
                **view.members_by_service,
            },
        )
        self.engine.adopt(merged, now())

    async def _poll_view(self) -> None:
        next_account_at = now() + _ACCOUNT_INTERVAL_SECONDS
        while True:
            if now() >= next_account_at:
                next_account_at = now() + _ACCOUNT_INTERVAL_SECONDS
                await self.send_account()
            jitter = self.engine.rng.uniform(0.8, 1.2)
            await sleep(self._options.view_seconds * jitter)
            await self.refresh()
