"""Records events and metrics about workers and their tasks."""

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
    """Writes fleet changes to the timeline; a `FleetListener`.

    Args:
        fleet: Source of the lease epochs.
        events: Event ring that the events are written to.
        metrics: Client that the counters are sent to.
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
        self._leased_workers: set[str] = set()
        fleet.on_start(self.task_starting)

    def task_starting(self, worker_id: str, task: model.TaskSpec) -> None:
        """Records the start of a task, just before it is sent."""
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
        """Records a new lease; repeated inventories of it are not recorded."""
        if worker.worker_id in self._leased_workers:
            return
        self._leased_workers.add(worker.worker_id)
        self._events.record(
            types.LeaseAcquired(
                worker.worker_id,
                self._fleet.epoch_of(worker.worker_id),
                len(running),
            )
        )

    def worker_lost(self, worker_id: str) -> None:
        """Records and counts a lost lease."""
        self._leased_workers.discard(worker_id)
        self._metrics.count(names.LEASES_LOST)
        self._events.record(types.LeaseLost(worker_id, _NO_EPOCH, ""))

    def worker_leaving(self, worker_id: str) -> None:
        """Records that a worker announced that it is leaving."""
        self._events.record(types.WorkerLeaving(worker_id, ""))

    def worker_restarted(self, worker_id: str) -> None:
        """Records that a worker runs as a new incarnation."""
        self._events.record(types.WorkerRestarted(worker_id, ""))

    def task_changed(self, change: workers_model.TaskChange) -> None:
        """Records the new state of a task of a job."""
        self._events.record(
            types.TaskEnded(
                change.task_id,
                change.worker_id,
                owned_tasks.job_of(change.task_id),
                change.state,
            )
        )

    def usage_reported(self, usage: workers_model.TaskUsage) -> None:
        """Does nothing: resource usage is not an event."""
