"""Distinguishes workers that fail all tasks from jobs that fail everywhere."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# A job fails when its tasks have failed on this many workers (section 2.4 of
# the design).
_WORKERS_TO_FAIL_JOB = 3
# Exponential backoff of probes: factor and maximum number of doublings.
_BACKOFF_FACTOR = 2
_MAX_DOUBLINGS = 6


class Verdict(NamedTuple):
    """Consequences of a task failure.

    Attributes:
        worker_quarantined: Whether the worker must get only probes from now on.
        job_failed: Whether the job must not be started again.
        released_workers: Workers whose quarantine ended, because a job that
            counted against them turned out to be the cause of its failures.
    """

    worker_quarantined: bool = False
    job_failed: bool = False
    released_workers: tuple[str, ...] = ()


class _Worker:
    """Failures of one worker since its last success."""

    __slots__ = ("doublings", "jobs", "next_probe_ms", "probing", "quarantined")

    def __init__(self) -> None:
        self.jobs: dict[str, None] = {}
        self.quarantined = False
        self.probing = False
        self.doublings = 0
        self.next_probe_ms = 0


class QuarantineTracker:
    """Quarantines failing workers and schedules probes on them.

    A worker is quarantined when tasks of `failure_threshold` different jobs
    have failed on it with no success in between. A job fails when its tasks
    have failed on three different workers. Its failures then no longer count
    against workers, so one faulty job cannot quarantine a fleet. Failures on a
    quarantined worker do not count against a job, so one faulty worker cannot
    fail many jobs.

    Args:
        failure_threshold: Number of different jobs (rule `quarantine after`).
        probe_ms: Maximum delay in milliseconds before the first probe; doubles
            with each failed probe. A delay is at least half of the maximum.
        draw: Returns a random number in [0, 1) that spreads the probes.
    """

    def __init__(
        self, failure_threshold: int, probe_ms: int, draw: Callable[[], float]
    ) -> None:
        self._failure_threshold = failure_threshold
        self._probe_ms = probe_ms
        self._draw = draw
        self._workers: dict[str, _Worker] = {}
        self._failed_workers: dict[str, set[str]] = {}
        self._failed_jobs: set[str] = set()

    def quarantined(self) -> frozenset[str]:
        """Returns the ids of the workers in quarantine."""
        return frozenset(
            name for name, state in self._workers.items() if state.quarantined
        )

    def is_quarantined(self, worker_id: str) -> bool:
        """Returns whether the worker is in quarantine."""
        state = self._workers.get(worker_id)
        return state is not None and state.quarantined

    def succeeded(self, worker_id: str, job_id: str) -> bool:
        """Records a success; returns whether it ended a quarantine."""
        self._failed_workers.pop(job_id, None)
        self._failed_jobs.discard(job_id)
        state = self._workers.pop(worker_id, None)
        return state is not None and state.quarantined

    def failed(self, worker_id: str, job_id: str, now_ms: int) -> Verdict:
        """Records that a task of the job failed on the worker.

        Call only for failures of the task itself, not for refusals, stops and
        lost workers.
        """
        state = self._workers.setdefault(worker_id, _Worker())
        if state.quarantined:
            self._probe_failed(state, now_ms)
            return Verdict()
        if job_id in self._failed_jobs:
            return Verdict(job_failed=True)
        workers = self._failed_workers.setdefault(job_id, set())
        workers.add(worker_id)
        state.jobs[job_id] = None
        if len(workers) >= _WORKERS_TO_FAIL_JOB:
            return self._fail_job(job_id)
        if len(state.jobs) < self._failure_threshold:
            return Verdict()
        self._quarantine(worker_id, state, now_ms)
        return Verdict(worker_quarantined=True)

    def probe_due(self, worker_id: str, now_ms: int) -> bool:
        """Returns whether a probe task may start on a quarantined worker."""
        state = self._workers.get(worker_id)
        if state is None or not state.quarantined or state.probing:
            return False
        return now_ms >= state.next_probe_ms

    def probe_started(self, worker_id: str) -> None:
        """Records the start of a probe; no other is due until it ends."""
        state = self._workers.get(worker_id)
        if state is not None:
            state.probing = True

    def probe_abandoned(self, worker_id: str, now_ms: int) -> None:
        """Records that a probe ended without a result, e.g. was stopped."""
        state = self._workers.get(worker_id)
        if state is not None and state.probing:
            state.probing = False
            state.next_probe_ms = now_ms + self._probe_ms

    def forget_job(self, job_id: str) -> None:
        """Drops a job that ended; its failures still count against workers."""
        self._failed_workers.pop(job_id, None)
        self._failed_jobs.discard(job_id)

    def forget_worker(self, worker_id: str) -> None:
        """Drops a worker that was removed or has a new incarnation."""
        self._workers.pop(worker_id, None)

    def _quarantine(self, worker_id: str, state: _Worker, now_ms: int) -> None:
        state.quarantined = True
        state.next_probe_ms = now_ms + self._probe_delay_ms(state)
        for job_id in state.jobs:
            self._failed_workers.get(job_id, set()).discard(worker_id)

    def _probe_failed(self, state: _Worker, now_ms: int) -> None:
        """Doubles the probe delay; ignores late failures of earlier tasks."""
        if not state.probing:
            return
        state.probing = False
        state.doublings = min(state.doublings + 1, _MAX_DOUBLINGS)
        state.next_probe_ms = now_ms + self._probe_delay_ms(state)

    def _probe_delay_ms(self, state: _Worker) -> int:
        longest = self._probe_ms * _BACKOFF_FACTOR**state.doublings
        return int(longest * (0.5 + self._draw() / 2))

    def _fail_job(self, job_id: str) -> Verdict:
        self._failed_jobs.add(job_id)
        released = []
        for worker_id, state in list(self._workers.items()):
            if job_id not in state.jobs:
                continue
            del state.jobs[job_id]
            if state.quarantined and len(state.jobs) < self._failure_threshold:
                released.append(worker_id)
                del self._workers[worker_id]
        return Verdict(job_failed=True, released_workers=tuple(released))
