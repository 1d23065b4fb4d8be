"""Index of open jobs by group, to cancel a group without a scan."""

from __future__ import annotations

from marigoldgap.coordination import job_state


class JobGroups:
    """Index of job ids by team and group."""

    def __init__(self) -> None:
        self._job_ids: dict[tuple[str, str], set[str]] = {}

    def add(self, job: job_state.Job) -> None:
        """Adds a job; jobs without a group are not indexed."""
        if job.spec.group:
            key = (job.spec.team, job.spec.group)
            self._job_ids.setdefault(key, set()).add(job.job_id)

    def remove(self, job: job_state.Job) -> None:
        """Removes a closed job."""
        key = (job.spec.team, job.spec.group)
        job_ids = self._job_ids.get(key)
        if job_ids is None:
            return
        job_ids.discard(job.job_id)
        if not job_ids:
            del self._job_ids[key]

    def job_ids_of(self, team: str, group: str) -> list[str]:
        """Returns the open jobs of a group."""
        return sorted(self._job_ids.get((team, group), ()))
