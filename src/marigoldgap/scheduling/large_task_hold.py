"""Holds a worker for a large task so that small tasks do not starve it.

Small tasks fill every slot that becomes free, so a task that needs a large part
of a worker would wait until the load falls. One worker per service is held for
the first large task that does not fit; other tasks avoid this worker.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources

# A task is large if it needs more than this fraction of a worker. Smaller tasks
# find capacity soon even under load.
_LARGE_FRACTION = 0.25


class _Hold(NamedTuple):
    """A held worker, the task that it is held for, and the end of the hold."""

    task_id: str
    worker_id: str
    expires_ms: int


class LargeTaskHold:
    """Holds at most one worker per service.

    Args:
        index: Free capacity of the workers that may be held.
        hold_ms: Maximum time in milliseconds to hold a worker for one task. It
            must exceed the run time of most tasks; otherwise the hold ends
            before the large task fits.
    """

    def __init__(self, index: free_index.FreeIndex, hold_ms: int) -> None:
        self._index = index
        self._hold_ms = hold_ms
        self._holds: dict[str, _Hold] = {}

    def choose(
        self,
        task: model.TaskSpec,
        now_ms: int,
        avoid: frozenset[str] = frozenset(),
    ) -> str | None:
        """Returns the worker that the index chooses for the task, or None.

        If a large task does not fit and no worker of its service is held, this
        holds one for it. Other tasks avoid the held worker.
        """
        held = self._current_hold(task.service, now_ms)
        if held is not None and held.task_id != task.task_id:
            avoid |= {held.worker_id}
        found = self._index.choose(task, avoid)
        if found is None and held is None:
            self._hold(task, now_ms, avoid)
        return found

    def release(self, task: model.TaskSpec) -> None:
        """Ends the hold for a task that started, was cancelled or expired."""
        held = self._holds.get(task.service)
        if held is not None and held.task_id == task.task_id:
            del self._holds[task.service]

    def _current_hold(self, service: str, now_ms: int) -> _Hold | None:
        held = self._holds.get(service)
        if held is None:
            return None
        if now_ms >= held.expires_ms or held.worker_id not in self._index:
            del self._holds[service]
            return None
        return held

    def _hold(
        self, task: model.TaskSpec, now_ms: int, avoid: frozenset[str]
    ) -> None:
        """Holds the worker with the most free slots, which drains first."""
        any_size = task._replace(resources=resources.NONE)
        worker_id = self._index.worst_fit(any_size, avoid)
        if worker_id is None:
            return
        capacity = self._index.capacity_of(worker_id)
        if not resources.fits_in(task.resources, capacity):
            return
        fraction = resources.dominant_fraction(task.resources, capacity)
        if fraction > _LARGE_FRACTION:
            self._holds[task.service] = _Hold(
                task.task_id, worker_id, now_ms + self._hold_ms
            )
