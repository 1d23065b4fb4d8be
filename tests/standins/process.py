"""Runs a stand-in until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal


def run(start: Callable[[], Awaitable[object]]) -> None:
    """Starts a stand-in, prints `ready` and waits for a signal.

    Args:
        start: Opens the listening ports; its result is kept alive until the
            signal.
    """
    asyncio.run(_run(start))


async def _run(start: Callable[[], Awaitable[object]]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    running = await start()
    print("ready", flush=True)
    await stop.wait()
    del running
