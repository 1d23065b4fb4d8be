"""Records events and metrics of workers and their tasks."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.coordination import owned_tasks
from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.metrics import client
from marigoldgap.metrics import names
from marigoldgap.scheduling import model
from marigoldgap.workers import fleet as workers_fleet
from marigoldgap.workers import model as workers_model

_NO_EPOCH = 0


class FleetObserver:
    """Implements `FleetListener` for the timeline.

    Args:
        fleet: Knows the epochs of the leases.
        events: Gets the events.
        metrics: Gets the counters.
    """

    def __init__(
        self,
        fleet: workers_fleet.WorkerFleet,
        events: ring.EventRing,
        metrics: client.MetricsClient,
    ) -> None:
        self._fleet = fleet
        self._events = events
        self._metrics = metrics
        self._known: set[str] = set()
        fleet.on_start(self.task_starting)

    def task_starting(self, worker_id: str, task: model.TaskSpec) -> None:
        """Records a start that is about to be sent."""
        self._events.record(
            types.TaskStarted(
                task.task_id,
                worker_id,
                task.team,
                task.job_id,
                task.attempt,
                self._fleet.epoch_of(worker_id),
            )
        )

    def worker_acquired(
        self, worker: model.WorkerInfo, running: Sequence[model.RunningTask]
    ) -> None:
        """Records a new lease; later inventories are no event."""
        if worker.worker_id in self._known:
            return
        self._known.add(worker.worker_id)
        self._events.record(
            types.LeaseAcquired(
                worker.worker_id,
                self._fleet.epoch_of(worker.worker_id),
                len(running),
            )
        )

    def worker_lost(self, worker_id: str) -> None:
        """Records the end of a lease."""
        self._known.discard(worker_id)
        self._metrics.count(names.LEASES_LOST)
        self._events.record(types.LeaseLost(worker_id, _NO_EPOCH, ""))

    def worker_leaving(self, worker_id: str) -> None:
        """Records that a backend server is leaving."""
        self._events.record(types.WorkerLeaving(worker_id, ""))

    def worker_restarted(self, worker_id: str) -> None:
        """Records a new incarnation."""
        self._events.record(types.WorkerRestarted(worker_id, ""))

    def task_changed(self, change: workers_model.TaskChange) -> None:
        """Records a change of a job task."""
        self._events.record(
            types.TaskEnded(
                change.task_id,
                change.worker_id,
                owned_tasks.job_of(change.task_id),
                change.state,
            )
        )

    def usage_reported(self, usage: workers_model.TaskUsage) -> None:
        """Records nothing: usage is measured, not an event."""
