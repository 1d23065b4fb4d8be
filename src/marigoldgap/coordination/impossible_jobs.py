"""Detects jobs that the zone can never run."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap.coordination import job_state
from marigoldgap.coordination import model as jobs_model
from marigoldgap.coordination import zone_view

# A worker that is being replaced may be missing from the list for a while.
_CONFIRM_AFTER_MS = 60_000
_CHECK_INTERVAL_MS = 5_000


class ImpossibleJobs:
    """Compares waiting jobs with the capacity of the zone's workers.

    Args:
        zone: Workers of the zone that are known in this term.
    """

    def __init__(self, zone: zone_view.ZoneView) -> None:
        self._zone = zone
        self._since_ms: dict[str, int] = {}
        self._next_check_ms = 0

    def reason(self, spec: jobs_model.JobSpec) -> str:
        """Returns why a job can never run, or an empty string."""
        copies = self._zone.copies_when_empty(spec.service, spec.resources)
        if copies is None:
            return ""
        if copies == 0:
            return "a task is larger than the largest worker of the zone"
        if spec.gang and copies < spec.tasks:
            return f"the zone has room for {copies} tasks of the gang at most"
        return ""

    def find(
        self, jobs: Iterable[job_state.Job], now_ms: int
    ) -> list[tuple[job_state.Job, str]]:
        """Returns jobs that have been impossible for `_CONFIRM_AFTER_MS`.

        Args:
            jobs: All open jobs.
            now_ms: Monotonic time.

        Returns:
            Pairs of a job and the reason; empty between two checks.
        """
        if now_ms < self._next_check_ms:
            return []
        self._next_check_ms = now_ms + _CHECK_INTERVAL_MS
        found = []
        suspects: dict[str, int] = {}
        for job in jobs:
            reason = self.reason(job.spec) if job.waiting else ""
            if not reason:
                continue
            since_ms = self._since_ms.get(job.job_id, now_ms)
            suspects[job.job_id] = since_ms
            if now_ms - since_ms >= _CONFIRM_AFTER_MS:
                found.append((job, reason))
        self._since_ms = suspects
        return found
