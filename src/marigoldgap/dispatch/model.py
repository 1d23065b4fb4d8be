"""Types of the dispatcher."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.scheduling import model


class PlaceOutcome(NamedTuple):
    """Result of placing one job task.

    Attributes:
        worker_id: Worker that accepted the task; empty if none did.
        refusal: Error code if the task was certainly not started.
        unknown: Whether the task may have been started on `worker_id`.
    """

    task_id: str
    worker_id: str = ""
    refusal: str = ""
    unknown: bool = False


class EntryLoad(NamedTuple):
    """Load that an entry instance reports to others.

    Attributes:
        free: Free resources by service.
        waiting: Number of waiting requests by queue.
        running: Number of running tasks by team.
    """

    free: Mapping[str, model.Resources]
    waiting: Mapping[str, int]
    running: Mapping[str, int]
