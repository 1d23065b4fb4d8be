"""Access to the jobs of the leader, while this instance is the leader."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap import errors
from marigoldgap.cell import model
from marigoldgap.cell import scheduler as schedulers


class NotLeaderError(errors.OverloadedError):
    """The called instance is not the leader."""

    code = "not-elected"


class JobView:
    """Access to the leader's jobs.

    Args:
        scheduler: Returns the scheduler while this instance is the leader.
    """

    def __init__(
        self, scheduler: Callable[[], schedulers.Scheduler | None]
    ) -> None:
        self._scheduler = scheduler

    def state(self, job_id: str) -> model.JobState | None:
        """Returns the state of a job, or None if the job is unknown.

        Raises:
            NotLeaderError: This instance is not the leader.
        """
        return self._require_scheduler().job_tracker.shown_state(job_id)

    def add_stored(self, record: model.JobRecord, version: int) -> None:
        """Adds a job whose row was just written.

        Args:
            record: The job.
            version: Version of its row; 0 if unknown.

        Raises:
            NotLeaderError: This instance is not the leader.
        """
        self._require_scheduler().add_stored(record, version)

    def waiting(self, queue: str) -> int:
        """Returns the number of jobs of a queue that have not started.

        Raises:
            NotLeaderError: This instance is not the leader.
        """
        return self._require_scheduler().job_tracker.waiting(queue)

    def _require_scheduler(self) -> schedulers.Scheduler:
        scheduler = self._scheduler()
        if scheduler is None or not scheduler.is_recovered:
            raise NotLeaderError(
                "this instance is not the leader or has not recovered yet"
            )
        return scheduler
