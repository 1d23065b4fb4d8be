"""State that the components of a leader share during one leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from marigoldgap import decision_log
from marigoldgap.cell import authority as authorities
from marigoldgap.cell import journal as journals

# "duty" is the name of this component in log lines: the duty of the leader.
_log = decision_log.DecisionLogger("duty")


class Leadership:
    """Epoch, journal and background tasks of one leadership.

    Args:
        epoch: Number of the election; the fencing token of all commands.
        journal: Writes the rows of this election.
        authority: What the leader may do at present.
    """

    def __init__(
        self,
        epoch: int,
        journal: journals.Journal,
        authority: authorities.Authority,
    ) -> None:
        self.epoch = epoch
        self.journal = journal
        self.authority = authority
        self.plan_requested = asyncio.Event()
        self._ended = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_ended(self) -> bool:
        """Whether this leadership has ended."""
        return self._ended.is_set()

    def request_plan(self) -> None:
        """Requests a new scheduling plan."""
        self.plan_requested.set()

    def end(self) -> None:
        """Ends this leadership."""
        self._ended.set()

    async def wait_until_ended(self) -> None:
        """Waits until this leadership has ended."""
        await self._ended.wait()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a background task; its failure ends this leadership."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def close(self) -> None:
        """Cancels all background tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", cause=repr(task.exception()))
            self.end()
