"""Start marks: write-ahead records of which non-idempotent tasks may have run.

The mark of a job is an index in its row; tasks below it may have run.
"""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import job_state
from marigoldgap.coordination import job_writer
from marigoldgap.scheduling import resources

# Most marked tasks start at once. The delay saves two writes, to lower the mark
# and to raise it again, when a start takes a little longer.
_LOWER_DELAY_MS = 1_000
# If a job backs off for longer than this, its mark is lowered without delay.
_SHORT_BACKOFF_MS = 200


class StartMarks:
    """Raises the mark before tasks start and lowers it if they do not start.

    A new coordinator cannot tell whether a marked task that no instance
    reports has run, so as few tasks as possible are marked.

    Args:
        find: Returns an open job by its id.
        writer: Writes job rows.
        allowances: Provides the free units of the teams.
        free: Free capacity of the instances.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        find: Callable[[str], job_state.Job | None],
        writer: job_writer.JobWriter,
        allowances: allowance_manager.AllowanceManager,
        free: free_capacity.FreeCapacity,
        now_ms: Callable[[], int],
    ) -> None:
        self._find = find
        self._writer = writer
        self._allowances = allowances
        self._free = free
        self._now_ms = now_ms
        self._marked_at_ms: dict[str, int] = {}

    def may_start(self, job: job_state.Job) -> bool:
        """Whether the start mark in a job's row covers its next task.

        If it does not, a write is started that raises the mark to cover as
        many tasks as the current free capacity and free units allow.
        """
        if job.decided_state:
            return False
        next_start = job.spec.tasks - 1 if job.spec.gang else job.waiting[0]
        if job.spec.idempotent or next_start < job.start_mark:
            return True
        mark = job.spec.tasks if job.spec.gang else self._startable_mark(job)
        if mark > job.start_mark:
            self._marked_at_ms[job.job_id] = self._now_ms()
            self._writer.raise_mark(job, mark)
        return False

    def lower_unused(self) -> None:
        """Lowers the marks of jobs whose marked tasks have not started."""
        now_ms = self._now_ms()
        for job_id, marked_at_ms in list(self._marked_at_ms.items()):
            job = self._find(job_id)
            if job is None or job.decided_state or job.is_mark_exact:
                del self._marked_at_ms[job_id]
                continue
            is_backing_off = job.not_before_ms - now_ms > _SHORT_BACKOFF_MS
            is_due = now_ms - marked_at_ms >= _LOWER_DELAY_MS or is_backing_off
            if is_due and not self._writer.is_busy(job_id):
                self._writer.lower_mark(job, job.required_mark())

    def _startable_mark(self, job: job_state.Job) -> int:
        """Returns the mark that covers the tasks that could start now."""
        spec = job.spec
        free = self._free.of_service(spec.service)
        copies = sum(
            resources.copies_in(spec.resources, amount)
            for amount in free.values()
        )
        count = min(
            len(job.waiting), copies, self._allowances.free_units(spec.team)
        )
        if not count:
            self._allowances.record_job_demand(spec.team, len(job.waiting))
            return 0
        return sorted(job.waiting)[count - 1] + 1
