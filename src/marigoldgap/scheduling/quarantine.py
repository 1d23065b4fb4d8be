"""Tells a worker that fails every task from a job that fails everywhere."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# A job is failed once its tasks failed on this many workers (design 2.4).
_FAILING_WORKERS = 3
# Growth and bound of the time between probes.
_BACKOFF_FACTOR = 2
_MAX_DOUBLINGS = 6


class Verdict(NamedTuple):
    """What a failure led to.

    Attributes:
        worker_quarantined: The worker must get no new work but probes.
        job_failed: The job must not be started again.
        released_workers: Workers whose quarantine ended, because the job that
            counted against them was found to be the cause.
    """

    worker_quarantined: bool = False
    job_failed: bool = False
    released_workers: tuple[str, ...] = ()


class _Worker:
    """Failures of one worker since its last success."""

    __slots__ = ("doublings", "jobs", "next_probe_ms", "probing", "set_aside")

    def __init__(self) -> None:
        self.jobs: dict[str, None] = {}
        self.set_aside = False
        self.probing = False
        self.doublings = 0
        self.next_probe_ms = 0


class QuarantineTracker:
    """Sets failing workers aside and probes them.

    A worker is suspect when the tasks of the last `after` different jobs failed
    on it with no success in between. A job is at fault when its tasks failed on
    three different workers; its failures then no longer count against workers,
    so one bad job cannot set a fleet aside. Failures on a worker in quarantine
    do not count against a job, so one bad worker cannot fail many jobs.

    Args:
        after: Number of different jobs (rule `quarantine after`).
        probe_ms: Time to the first probe; doubles with each failed probe.
        draw: Returns a random number from 0 up to 1, to spread the probes.
    """

    def __init__(
        self, after: int, probe_ms: int, draw: Callable[[], float]
    ) -> None:
        self._after = after
        self._probe_ms = probe_ms
        self._draw = draw
        self._workers: dict[str, _Worker] = {}
        self._failed_on: dict[str, set[str]] = {}
        self._bad_jobs: set[str] = set()

    def quarantined(self) -> frozenset[str]:
        """Returns the workers that are in quarantine."""
        return frozenset(
            name for name, state in self._workers.items() if state.set_aside
        )

    def is_quarantined(self, worker_id: str) -> bool:
        """Returns whether the worker is in quarantine."""
        state = self._workers.get(worker_id)
        return state is not None and state.set_aside

    def succeeded(self, worker_id: str, job_id: str) -> bool:
        """Records a success; returns whether it ended a quarantine."""
        self._failed_on.pop(job_id, None)
        self._bad_jobs.discard(job_id)
        state = self._workers.pop(worker_id, None)
        return state is not None and state.set_aside

    def failed(self, worker_id: str, job_id: str, now_ms: int) -> Verdict:
        """Records that a task of the job failed on the worker.

        To be called for failures of the task itself, not for refusals, stops
        and lost workers.
        """
        state = self._workers.setdefault(worker_id, _Worker())
        if state.set_aside:
            self._probe_failed(state, now_ms)
            return Verdict()
        if job_id in self._bad_jobs:
            return Verdict(job_failed=True)
        workers = self._failed_on.setdefault(job_id, set())
        workers.add(worker_id)
        state.jobs[job_id] = None
        if len(workers) >= _FAILING_WORKERS:
            return self._job_at_fault(job_id)
        if len(state.jobs) < self._after:
            return Verdict()
        self._set_aside(worker_id, state, now_ms)
        return Verdict(worker_quarantined=True)

    def probe_due(self, worker_id: str, now_ms: int) -> bool:
        """Returns whether one task may be tried on a worker in quarantine."""
        state = self._workers.get(worker_id)
        if state is None or not state.set_aside or state.probing:
            return False
        return now_ms >= state.next_probe_ms

    def probe_started(self, worker_id: str) -> None:
        """Records that the probe was sent; no other is due until it ends."""
        state = self._workers.get(worker_id)
        if state is not None:
            state.probing = True

    def probe_abandoned(self, worker_id: str, now_ms: int) -> None:
        """Records that a probe ended without a verdict, e.g. was stopped."""
        state = self._workers.get(worker_id)
        if state is not None and state.probing:
            state.probing = False
            state.next_probe_ms = now_ms + self._probe_ms

    def forget_job(self, job_id: str) -> None:
        """Drops a job that has ended; its failures still count for workers."""
        self._failed_on.pop(job_id, None)
        self._bad_jobs.discard(job_id)

    def forget_worker(self, worker_id: str) -> None:
        """Drops a worker that was removed or has a new incarnation."""
        self._workers.pop(worker_id, None)

    def _set_aside(self, worker_id: str, state: _Worker, now_ms: int) -> None:
        state.set_aside = True
        state.next_probe_ms = now_ms + self._delay(state)
        for job_id in state.jobs:
            self._failed_on.get(job_id, set()).discard(worker_id)

    def _probe_failed(self, state: _Worker, now_ms: int) -> None:
        """Doubles the delay; late failures of older tasks do not count."""
        if not state.probing:
            return
        state.probing = False
        state.doublings = min(state.doublings + 1, _MAX_DOUBLINGS)
        state.next_probe_ms = now_ms + self._delay(state)

    def _delay(self, state: _Worker) -> int:
        longest = self._probe_ms * _BACKOFF_FACTOR**state.doublings
        return int(longest * (0.5 + self._draw() / 2))

    def _job_at_fault(self, job_id: str) -> Verdict:
        self._bad_jobs.add(job_id)
        released = []
        for worker_id, state in list(self._workers.items()):
            if job_id not in state.jobs:
                continue
            del state.jobs[job_id]
            if state.set_aside and len(state.jobs) < self._after:
                released.append(worker_id)
                del self._workers[worker_id]
        return Verdict(job_failed=True, released_workers=tuple(released))
