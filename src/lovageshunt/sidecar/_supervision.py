"""Keeps a node running when one of its periodic or endless parts fails."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from logging import getLogger
from typing import Final

_log = getLogger(__name__)
#: The pause before a part that has failed is started again.
_RESTART_SECONDS: Final = 0.5


def run_each(steps: tuple[Callable[[], object], ...]) -> None:
    """Run all steps in order; log those that fail and go on with the next."""
    for step in steps:
        try:
            step()
        except Exception:
            _log.exception(
                'a periodic step failed, it runs again at the next tick; '
                'report it with this traceback',
                extra={'step': getattr(step, '__qualname__', repr(step))},
            )


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run an endless part until cancelled; start it again when it fails."""
    while True:
        try:
            await run()
        except Exception:
            _log.exception(
                'a part of this node failed and is started again; '
                'report it with this traceback',
                extra={'part': name},
            )
        await sleep(_RESTART_SECONDS)
