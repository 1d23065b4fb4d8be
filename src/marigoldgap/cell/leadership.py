"""State that the components of a leader share during one leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import authority as authorities
from marigoldgap.cell import containment
from marigoldgap.cell import journal as journals

# "duty" is the name of this component in log lines: the duty of the leader.
_log = decision_log.DecisionLogger("duty")


class LeadershipFailedError(errors.MarigoldgapError):
    """The leader ended its leadership, as a part without which it cannot lead failed.

    Attributes:
        part: Name of the part.
    """

    code = "leadership-failed"

    def __init__(self, part: str, cause: str) -> None:
        super().__init__(f"{part}: {cause}")
        self.part = part


class Leadership:
    """Epoch, journal and background tasks of one leadership.

    An error of one of these parts ends the leadership, as the leader cannot keep its
    promises without it:

    - `journal`: what depends on a row follows only once the row is stored.
    - `heartbeat`: it shows the other instances, and the leader, that it leads.
    - `recovery`: what an earlier leader may have started is known.
    - `planning`: tasks start once their turn has come.
    - `jobs`: accepted and cancelled jobs become known.
    - `workers`: workers that come and leave become known.
    - `fence`: a worker accepts its fencing token.

    Every other task serves one worker, run or call, or only supports the leader. It
    fails alone: the error is logged and counted, and the task is repeated after a
    growing pause.

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
        self._failure: LeadershipFailedError | None = None
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

    def fail(self, part: str, cause: str) -> None:
        """Ends this leadership, as the leader cannot lead any more.

        Args:
            part: Part of the leader that failed.
            cause: Why it failed, for the log.
        """
        if self._failure is None:
            self._failure = LeadershipFailedError(part, cause)
        self.end()

    async def wait_until_ended(self) -> None:
        """Waits until this leadership has ended.

        Raises:
            LeadershipFailedError: It ended with an error of one of its parts.
        """
        await self._ended.wait()
        if self._failure is not None:
            raise self._failure

    def spawn_essential(
        self, part: str, work: Coroutine[Any, Any, None]
    ) -> None:
        """Runs a background task; an error of it ends this leadership.

        Args:
            part: Name of the part of the leader, one of those listed above.
            work: The task.
        """

        async def run() -> None:
            try:
                await work
            except Exception as error:
                _log.exception("task_failed", task=part, cause=repr(error))
                self.fail(part, repr(error))

        self._spawn(run())

    def spawn_contained(
        self, subject: str, detail: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a background task; repeats it after each error.

        Args:
            subject: Kind of the task; one of a few.
            detail: Worker or run that it concerns; empty if it concerns none.
            work: Does the work; may be called again after an error.
        """
        self._spawn(containment.repeat_until_done(subject, detail, work))

    def close(self) -> None:
        """Cancels all background tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
