"""What all parts of an elected instance share during one election."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from marigoldgap import decision_log
from marigoldgap.cell import journal as journals

_log = decision_log.DecisionLogger("duty")


class Duty:
    """One election's fence, journal and tasks.

    Args:
        fence: Fencing token; the number of the election.
        journal: Writes of this election.
    """

    def __init__(self, fence: int, journal: journals.Journal) -> None:
        self.fence = fence
        self.journal = journal
        self.changed = asyncio.Event()
        self._deposed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def wake(self) -> None:
        """Asks for a new plan."""
        self.changed.set()

    def depose(self) -> None:
        """Ends the duty."""
        self._deposed.set()

    async def wait_until_deposed(self) -> None:
        """Waits until the duty has ended."""
        await self._deposed.wait()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task until the duty ends; its failure ends the duty."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def close(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", cause=repr(task.exception()))
            self.depose()
