"""Types that the workers package shares with its users."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from marigoldgap.scheduling import model


class OwnedWorker(NamedTuple):
    """A worker whose lease this instance holds."""

    worker: model.WorkerInfo
    epoch: int


class WorkerAnswer(NamedTuple):
    """The complete answer of a backend server to one request.

    Attributes:
        worker_id: The worker that ran it; empty if a peer or a recorded answer
            supplied it.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    worker_id: str = ""


class TaskChange(NamedTuple):
    """A change of a job task that a worker reports.

    Attributes:
        state: finished, failed, stopped, checkpointed or lapsed.
        exit_code: 0 for success; None if the task did not end by itself.
    """

    worker_id: str
    task_id: str
    state: str
    exit_code: int | None


class TaskUsage(NamedTuple):
    """Measured usage of one task; workers report it with a delay."""

    worker_id: str
    task_id: str
    millicores: int
    memory_mib: int


class FleetListener(Protocol):
    """Receives the events of the fleet, called on the event loop."""

    def worker_acquired(
        self, worker: model.WorkerInfo, running: Sequence[model.RunningTask]
    ) -> None:
        """A lease was granted; `running` is the worker's inventory.

        Also called without a `worker_lost` in between for a newer inventory.
        """

    def worker_lost(self, worker_id: str) -> None:
        """The lease was released or has lapsed; its tasks may still run."""

    def worker_leaving(self, worker_id: str) -> None:
        """The backend server is leaving and must get no new work."""

    def worker_restarted(self, worker_id: str) -> None:
        """The worker has a new incarnation; its earlier tasks have ended."""

    def task_changed(self, change: TaskChange) -> None:
        """A job task ended or changed state."""

    def usage_reported(self, usage: TaskUsage) -> None:
        """A worker reported the measured usage of a task."""
