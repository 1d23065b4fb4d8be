"""Recorded events of a worker, as observations for the checker."""

from __future__ import annotations

import time
from typing import Any
from typing import NamedTuple

from marigoldgap.scheduling import model

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms() -> float:
    """Returns the machine's monotonic clock in fractional milliseconds.

    Whole milliseconds would not tell the order of a start and an end.
    """
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND


class Start(NamedTuple):
    """A request to start a task, as the worker received it.

    Attributes:
        valid_until_ms: Latest time of the start on the worker's own clock, in
            milliseconds.
        run_ms: Run time in milliseconds; None runs until the task is stopped.
    """

    task: model.RunningTask
    epoch: int
    valid_until_ms: int
    mode: str
    token: str = ""
    run_ms: int | None = 0
    answer_bytes: int = 0
    fail: bool = False


Event = dict[str, Any]


class Records:
    """Appends events of one worker to the list of its process.

    Args:
        worker_id: Written into each event.
        zone: Written into each event.
        events: All events of the process, in order of time.
    """

    def __init__(self, worker_id: str, zone: str, events: list[Event]) -> None:
        self._worker_id = worker_id
        self._zone = zone
        self._events = events

    def add(self, event: str, at_ms: float, **fields: Any) -> None:
        """Adds an event.

        Args:
            event: start, end, refused, violation, lease, release, leaving,
                killed or restarted.
            at_ms: Time on the machine's monotonic clock, which all stand-ins
                share, in milliseconds.
            fields: Further fields of the event.
        """
        self._events.append(
            {
                "event": event,
                "at_ms": at_ms,
                "worker": self._worker_id,
                "zone": self._zone,
                **fields,
            }
        )

    def add_task(
        self, event: str, at_ms: float, start: Start, **fields: Any
    ) -> None:
        """Adds an event of a task."""
        self.add(
            event,
            at_ms,
            task_id=start.task.task_id,
            attempt=start.task.attempt,
            team=start.task.team,
            queue=start.task.queue,
            job_id=start.task.job_id,
            resources=start.task.resources._asdict(),
            mode=start.mode,
            token=start.token,
            epoch=start.epoch,
            **fields,
        )

    def of_worker(self) -> list[Event]:
        """Returns the events of this worker."""
        return [
            event
            for event in self._events
            if event["worker"] == self._worker_id
        ]
