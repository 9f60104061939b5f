"""The client: reads the view from nodes, and begins requests."""

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
#: A root request without a time of its own has the time of its rule.
_LONGEST_TIMEOUT_MS: Final = 3_600_000
_ACCOUNT_SECONDS: Final = 30.0
_HTTP_OK: Final = 200


class Client:
    """Calls services by their names."""

    def __init__(self, options: ClientOptions) -> None:
        """Keep the options; ``start`` opens connections."""
        self._options = options
        self._transport = Transport(
            max_body_bytes=options.max_body_bytes,
            tls=options.tls,
        )
        self.engine = Engine(options, self._transport, Random())  # noqa: S311
        self._seeds = cycle(options.seeds)
        self._watcher: Task[None] | None = None

    async def start(self) -> None:
        """Open the transport, ask every seed, and follow the view."""
        await self._transport.start()
        if self._options.services:
            for _ in self._options.seeds:
                await self.refresh()
            self._watcher = create_task(self._follow_view())

    async def close(self) -> None:
        """Stop following the view and close every connection."""
        if self._watcher is not None:
            self._watcher.cancel()
            with suppress(CancelledError):
                await self._watcher
            await self.send_account()
        await self._transport.close()

    async def refresh(self) -> bool:
        """Read the view from the next seed; say whether that went well."""
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
        self._adopt(view)
        return True

    def request(
        self,
        *,
        request_id: str = '',
        timeout_ms: int = _LONGEST_TIMEOUT_MS,
        attempt: int = 1,
        age_ms: int = 0,
    ) -> CallScope:
        """Begin a root request, or repeat one under its id.

        A repetition has the id and the next ``attempt`` number; ``age_ms``
        is the time since the first one.
        """
        context = root_context(
            request_id or uuid4().hex,
            timeout_ms=timeout_ms,
            attempt=attempt,
            age_ms=age_ms,
        )
        return CallScope(self.engine, context, is_root=True)

    def inner_scope(self, context: CallContext) -> CallScope:
        """Return the scope of a call that arrived at this target."""
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
        """Make a root request of one call."""
        return await self.request().call(
            service,
            method,
            path,
            body=body,
            headers=headers,
        )

    async def send_account(self) -> bool:
        """Give the own account to a node to keep; say whether it took it."""
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

    def _adopt(self, view: View) -> None:
        known = self.engine.view
        # Seeds know different services, and not all are up to date: what is
        # missing stays, and an older generation never replaces a newer.
        newer = view.rules_by_service
        older = known.rules_by_service
        if view.generation < known.generation:
            newer, older = older, newer
        merged = View(
            generation=max(known.generation, view.generation),
            rules_by_service={**older, **newer},
            members_by_service={
                **known.members_by_service,
                **view.members_by_service,
            },
        )
        self.engine.adopt(merged, now())

    async def _follow_view(self) -> None:
        account_at = now() + _ACCOUNT_SECONDS
        while True:
            if now() >= account_at:
                account_at = now() + _ACCOUNT_SECONDS
                await self.send_account()
            jitter = self.engine.rng.uniform(0.8, 1.2)
            await sleep(self._options.view_seconds * jitter)
            await self.refresh()
