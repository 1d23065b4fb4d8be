"""Shares checks of a worker's process among connections to it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Hashable

# Checks of one process at a time. Each reads the list of all that runs there, so
# the cost of a check for each of many starts would grow with their square.
_MAX_CONCURRENT = 4

# Result of a check: the error that it raised, None if it succeeded.
_Outcome = asyncio.Future[Exception | None]


class ProcessChecks:
    """Limits the concurrent checks of each process.

    Checks beyond the limit are merged: a connection stays with the process that
    accepted it, and the next process gets the address only after that one has
    ended. So a check that begins once a connection is open holds for it as well.
    """

    def __init__(self) -> None:
        self._running: dict[Hashable, set[_Outcome]] = {}
        # The next check of a process, which has not begun.
        self._next: dict[Hashable, _Outcome] = {}

    async def run(
        self, process: Hashable, check: Callable[[], Awaitable[None]]
    ) -> None:
        """Checks a process, or waits for a check that has not begun yet.

        Args:
            process: Identifies the process and what it is checked for.
            check: Checks it on an open connection of the caller. Its errors are
                raised to all that wait for it.
        """
        while (outcome := self._next.get(process)) is not None:
            await asyncio.wait([outcome])
            if outcome.cancelled():
                continue
            if error := outcome.result():
                raise error
            return
        outcome = asyncio.get_running_loop().create_future()
        try:
            await self._wait_for_turn(process, outcome)
            await check()
        except Exception as error:
            outcome.set_result(error)
            raise
        except BaseException:
            outcome.cancel()
            raise
        else:
            outcome.set_result(None)
        finally:
            self._discard(process, outcome)

    async def _wait_for_turn(
        self, process: Hashable, outcome: _Outcome
    ) -> None:
        running = self._running.setdefault(process, set())
        if len(running) >= _MAX_CONCURRENT:
            self._next[process] = outcome
            try:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            finally:
                del self._next[process]
        self._running.setdefault(process, set()).add(outcome)

    def _discard(self, process: Hashable, outcome: _Outcome) -> None:
        running = self._running.get(process, set())
        running.discard(outcome)
        if not running:
            self._running.pop(process, None)
