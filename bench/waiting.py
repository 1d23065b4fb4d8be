"""Polls for a condition with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from marigoldgap import errors

_POLL_INTERVAL_S = 0.2


class ReadyError(errors.MarigoldgapError):
    """A condition did not hold before its timeout."""

    code = "not-ready-in-time"


async def until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, problem: str
) -> None:
    """Polls until a check returns True.

    Args:
        check: Condition to wait for.
        timeout_s: Maximum time to wait.
        problem: Error message for the timeout.

    Raises:
        ReadyError: The check was still False after the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not await check():
        if loop.time() > deadline_s:
            raise ReadyError(problem)
        await asyncio.sleep(_POLL_INTERVAL_S)
