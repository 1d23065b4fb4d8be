"""Restores the runs whose starts an earlier leader has recorded."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import run_tracker
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_process


def restore(
    steps: Iterable[step_progress.StepProgress],
    workers: fleet.Fleet,
    runs: run_tracker.RunTracker,
) -> None:
    """Restores the recorded runs of open steps.

    Args:
        steps: The open steps.
        workers: The workers that may have runs.
        runs: Tracks the runs.
    """
    for step in steps:
        for position, start in list(step.recorded_starts.items()):
            _restore(step, position, start, workers, runs)


def _restore(
    step: step_progress.StepProgress,
    position: int,
    start: step_progress.RecordedStart,
    workers: fleet.Fleet,
    runs: run_tracker.RunTracker,
) -> None:
    name = model.RunName(step.task(position), start.run)
    worker = workers.get(start.worker_id)
    if worker is None:
        # This leader has removed it from the stored roster, as it is gone.
        del step.recorded_starts[position]
        step.record_suspicion(name)
        return
    run = runs.restore(name, step, worker)
    if not worker.born_ms:
        worker.born_ms = start.born_ms
    elif worker.process.is_other(
        worker_process.WorkerProcess(start.worker_id, start.born_ms)
    ):
        runs.end(run, model.EndReason.CRASHED, "", "worker has restarted")
