"""Applies the reports of the workers to the state of the dispatcher."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from marigoldgap import clock
from marigoldgap.dispatch import acceptance_gate
from marigoldgap.dispatch import holdings as dispatch_holdings
from marigoldgap.dispatch import placement as dispatch_placement
from marigoldgap.dispatch import quarantine as dispatch_quarantine
from marigoldgap.dispatch import request_queue
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import fleet as workers_fleet
from marigoldgap.workers import model as workers_model

_FAILED = "failed"
_FINISHED = "finished"
# A throttled task reports a change without having ended.
_STILL_RUNNING = frozenset({"running", "throttled"})


class FleetEvents:
    """Implements `FleetListener` and forwards events to observers.

    Observers are called after placement and holdings are updated.

    Args:
        settings: The settings.
        holdings: Units of the teams.
        placement: The tasks that are counted on each worker.
        requests: The waiting requests.
        gate: Decides which workers accept new work.
        quarantine: Gets the outcome of each job task.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        holdings: dispatch_holdings.HoldingsTable,
        placement: dispatch_placement.Placement,
        requests: request_queue.RequestQueue,
        gate: acceptance_gate.AcceptanceGate,
        quarantine: dispatch_quarantine.WorkerQuarantine,
    ) -> None:
        self._holdings = holdings
        self._placement = placement
        self._requests = requests
        self._gate = gate
        self._quarantine = quarantine
        self._observers: list[workers_model.FleetListener] = []
        self._fleet: workers_fleet.WorkerFleet | None = None
        self._orphan_timers: dict[str, asyncio.TimerHandle] = {}
        # After this time the next owner of a lost worker has reported its
        # inventory.
        self._orphan_timeout_s = (
            settings.lease.max_orphaned_run_ms + settings.peers.dead_after_ms
        ) / clock.MILLISECONDS_PER_SECOND

    def add_observer(self, observer: workers_model.FleetListener) -> None:
        """Adds a listener that gets every event."""
        self._observers.append(observer)

    def set_fleet(self, fleet: workers_fleet.WorkerFleet) -> None:
        """Sets the fleet from which inventories are requested."""
        self._fleet = fleet

    def settle(self, task_id: str) -> None:
        """Lets the worker's inventory decide whether a task still runs.

        Call this for a task whose outcome is unknown.
        """
        worker_id = self._placement.worker_of(task_id)
        if worker_id is None:
            return
        if self._placement.settle(task_id) is None:
            self._schedule_orphan_drop(worker_id)
            return
        self._request_inventory(worker_id)

    def worker_acquired(
        self, worker: model.WorkerInfo, running: Sequence[model.RunningTask]
    ) -> None:
        """Takes over a worker or a newer inventory of it."""
        worker_id = worker.worker_id
        self._cancel_orphan_timer(worker_id)
        if not self._placement.index:
            # While it held no lease, this instance may have been cut off from
            # a coordinator that removed it and reassigned its units.
            self._holdings.drop_units()
        self._placement.acquired(worker, running)
        self._gate.acquired(worker_id)
        if self._placement.has_settled_requests(worker_id):
            self._request_inventory(worker_id)
        for observer in self._observers:
            observer.worker_acquired(worker, running)
        self._requests.place_waiting()

    def worker_lost(self, worker_id: str) -> None:
        """Stops placing tasks on a worker whose lease was lost.

        Its tasks stay counted until the coordinator reports that the next owner
        counts them or that they have ended.
        """
        self._placement.lost(worker_id)
        for observer in self._observers:
            observer.worker_lost(worker_id)

    def worker_leaving(self, worker_id: str) -> None:
        """Stops placing tasks on a worker that is leaving."""
        self._placement.index.mark_leaving(worker_id)
        for observer in self._observers:
            observer.worker_leaving(worker_id)

    def worker_restarted(self, worker_id: str) -> None:
        """Frees what the tasks of the worker's earlier process used."""
        self._placement.restarted(worker_id)
        self._quarantine.worker_restarted(worker_id)
        for observer in self._observers:
            observer.worker_restarted(worker_id)

    def task_changed(self, change: workers_model.TaskChange) -> None:
        """Frees what an ended job task used."""
        if change.state not in _STILL_RUNNING:
            self._report_outcome(change)
            self._placement.finish(change.task_id)
        for observer in self._observers:
            observer.task_changed(change)

    def usage_reported(self, usage: workers_model.TaskUsage) -> None:
        """Forwards measured usage to the observers."""
        for observer in self._observers:
            observer.usage_reported(usage)

    def _report_outcome(self, change: workers_model.TaskChange) -> None:
        if change.state not in (_FAILED, _FINISHED):
            return
        job_id = self._placement.job_of(change.task_id)
        if job_id:
            failed = change.state == _FAILED
            self._quarantine.task_ended(change.worker_id, job_id, failed)

    def _request_inventory(self, worker_id: str) -> None:
        if self._fleet is not None:
            self._fleet.request_inventory(worker_id)

    def _schedule_orphan_drop(self, worker_id: str) -> None:
        """Drops the orphaned tasks of a lost worker after a timeout.

        A request may be orphaned after the coordinator has sent
        `WorkersSettled` for its worker, and no report of this instance names
        it. Without the timeout it would stay counted forever.
        """
        self._cancel_orphan_timer(worker_id)
        loop = asyncio.get_running_loop()
        self._orphan_timers[worker_id] = loop.call_later(
            self._orphan_timeout_s, self._drop_orphans, worker_id
        )

    def _drop_orphans(self, worker_id: str) -> None:
        self._orphan_timers.pop(worker_id, None)
        self._holdings.drop_orphaned([worker_id])

    def _cancel_orphan_timer(self, worker_id: str) -> None:
        timer = self._orphan_timers.pop(worker_id, None)
        if timer is not None:
            timer.cancel()
