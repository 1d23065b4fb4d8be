"""Checks that tasks which crash their workers are given up, but no others."""

from __future__ import annotations

from tests.standins.cell import worker as worker_standin

# Starts that a task may get after this many workers have crashed under it.
_CRASHES = 3
_MAX_FURTHER_STARTS = 2
# Crashed workers under a task after which its job may be given up.
_MIN_FAILED_CRASHES = 2


def excess_starts(workers: list[worker_standin.WorkerStandIn]) -> list[str]:
    """Returns a violation for each task that was started too often.

    Args:
        workers: All workers of the run, also those that have ended.
    """
    starts: dict[str, set[int]] = {}
    for worker in workers:
        for name, run in worker.starts:
            starts.setdefault(name, set()).add(run)
    violations = []
    for name, crashed in _crashed_runs(workers).items():
        if len(crashed) < _CRASHES:
            continue
        last = sorted(crashed)[_CRASHES - 1]
        further = sum(run > last for run in starts[name])
        if further > _MAX_FURTHER_STARTS:
            violations.append(
                f"task {name} was started {further} times after {_CRASHES}"
                f" workers had crashed under it"
            )
    return violations


def may_be_given_up(
    job_id: str, workers: list[worker_standin.WorkerStandIn]
) -> bool:
    """Returns whether enough workers have crashed under a task of a job."""
    return any(
        name.startswith(job_id) and len(crashed) >= _MIN_FAILED_CRASHES
        for name, crashed in _crashed_runs(workers).items()
    )


def _crashed_runs(
    workers: list[worker_standin.WorkerStandIn],
) -> dict[str, set[int]]:
    """Returns the runs of each task under which a worker has crashed."""
    crashed: dict[str, set[int]] = {}
    for worker in workers:
        for crash in worker.crashes:
            for name, run in crash.items():
                crashed.setdefault(name, set()).add(run)
    return crashed
