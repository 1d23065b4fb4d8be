"""Ended tasks and tombstones that a worker retains."""

from __future__ import annotations

from typing import NamedTuple

from tests.standins import worker_records

NEVER_STARTED = "never-started"
# Ended tasks and tombstones are retained for longer than any start can be
# valid, which is at most the TTL of the lease.
_RETENTION_MS = 60_000


class _Ended(NamedTuple):
    """A task that ended, or a tombstone for one that never started."""

    state: str
    attempt: int | None
    at_ms: int


class TaskHistory:
    """Ended tasks and tombstones by task id, oldest first."""

    def __init__(self) -> None:
        self._ended: dict[str, _Ended] = {}

    def state_of(self, task_id: str) -> str:
        """Returns the state in which a task ended, or an empty string."""
        ended = self._ended.get(task_id)
        return ended.state if ended else ""

    def add(
        self, task_id: str, state: str, attempt: int | None, now_ms: int
    ) -> None:
        """Records an ended task or a tombstone.

        Args:
            task_id: The task.
            state: State in which it ended; NEVER_STARTED for a tombstone.
            attempt: Last attempt that may not be started any more; None for
                all attempts.
            now_ms: Time on the worker's clock, in milliseconds.
        """
        self._ended.pop(task_id, None)
        self._ended[task_id] = _Ended(state, attempt, now_ms)

    def remove(self, task_id: str) -> None:
        """Removes a task that is started again."""
        self._ended.pop(task_id, None)

    def clear(self) -> None:
        """Removes all entries."""
        self._ended.clear()

    def expire(self, now_ms: int) -> None:
        """Removes entries older than the retention period."""
        expired_before_ms = now_ms - _RETENTION_MS
        while self._ended:
            oldest = next(iter(self._ended))
            if self._ended[oldest].at_ms > expired_before_ms:
                break
            del self._ended[oldest]

    def is_duplicate(self, start: worker_records.Start) -> bool:
        """Returns whether this attempt or a later one already ended."""
        ended = self._ended.get(start.task.task_id)
        if ended is None or ended.state == NEVER_STARTED:
            return False
        return _covers(ended, start)

    def is_stopped(self, start: worker_records.Start) -> bool:
        """Returns whether a tombstone covers the attempt."""
        ended = self._ended.get(start.task.task_id)
        if ended is None or ended.state != NEVER_STARTED:
            return False
        return _covers(ended, start)


def _covers(ended: _Ended, start: worker_records.Start) -> bool:
    """Returns whether the entry is for this attempt or a later one."""
    return ended.attempt is None or start.task.attempt <= ended.attempt
