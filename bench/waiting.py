"""Waits for a condition for a bounded time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from marigoldgap import errors

_POLL_S = 0.2


class ReadyError(errors.MarigoldgapError):
    """Something did not become ready."""

    code = "not-ready-in-time"


async def until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, problem: str
) -> None:
    """Waits until a check holds.

    Raises:
        ReadyError: It did not in time; `problem` is the message.
    """
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + timeout_s
    while not await check():
        if loop.time() > give_up_s:
            raise ReadyError(problem)
        await asyncio.sleep(_POLL_S)
