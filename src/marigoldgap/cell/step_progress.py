"""Progress of one step of a job, kept by the leader."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from marigoldgap.cell import model

if TYPE_CHECKING:
    from marigoldgap.cell import duration_model
    from marigoldgap.cell import fleet
    from marigoldgap.cell import jobs
    from marigoldgap.cell import runs
    from marigoldgap.cell import urgency


class Lateness(enum.IntEnum):
    """How late a job would end; steps with lower values are planned first.

    The result of an expired job would earn no credit; the job is still planned,
    after the other jobs of its priority.
    """

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class RecordedStart(NamedTuple):
    """A start that is stored before it is sent.

    Attributes:
        run: Number of the run.
        worker_id: The worker.
        born_ms: Wall time at which the process of the worker started.
    """

    run: int
    worker_id: str
    born_ms: int


class WaitReason(enum.Enum):
    """Reason why the latest plan started no task of a ready step."""

    NOT_PLANNED = "not planned yet"
    RETRY_PAUSE = "pause after a refused start"
    WORKSPACE_LIMIT = "upper limit of its workspace"
    NO_CANDIDATE = "no worker with its service and label accepts tasks"
    EVACUATED = "all workers that it could use are in evacuated zones"
    ADVICE_PENDING = "call for advice is pending"
    NOT_ADVISED = "no advised worker accepts tasks"
    NO_CAPACITY = "does not fit on the workers"
    NO_WORKER_ALONE = "no worker is free for a task that runs alone"
    HELD_BACK = "its capacity is reserved for gangs or quarantined"
    NO_RESERVATION = "other gangs have the reservations"
    TICKETS_MISSING = "tickets are missing or expire too soon"
    MEMBERS_ACTIVE = "members of an earlier run have not ended"
    UNKNOWN_RUNS = "a worker lists an unknown run of the job"
    UNCOUNTED_RUNS = "a worker lists runs of an unknown workspace"
    LIMIT_UNCONFIRMED = "the limit of its workspace is not confirmed"
    UNCONFIRMED = "the store has not confirmed the leader lately"
    INHERITED = "workers of the former leader have not answered"
    STARTING = "starts were sent"


# A result earns less credit after the latency objective, and none after this
# multiple of it (the users' rules for the credit of jobs).
_EXPIRED_AFTER_OBJECTIVES = 3.0


def lateness_of(late_s: float, objective_s: float) -> Lateness:
    """Returns the lateness of a job.

    Args:
        late_s: Seconds by which it exceeds its latency objective.
        objective_s: Duration of the objective in seconds.
    """
    if late_s <= 0:
        return Lateness.ON_TIME
    if late_s <= (_EXPIRED_AFTER_OBJECTIVES - 1) * objective_s:
        return Lateness.LATE
    return Lateness.EXPIRED


class StepProgress:
    """One step of one occurrence of a job."""

    __slots__ = (
        "active",
        "advised_workers",
        "asked_workers",
        "avoid",
        "crashes",
        "done",
        "examine_after_s",
        "expected_fit",
        "expected_time_s",
        "failures",
        "held_back_since_s",
        "is_advice_deferred",
        "isolated_since_s",
        "job",
        "last_run",
        "not_before_s",
        "number",
        "occurrence",
        "pending_advice_calls",
        "recorded_starts",
        "saved",
        "sharing",
        "spec",
        "suspicions",
        "tickets",
        "unstored_crashes",
        "urgency",
        "wait_reason",
        "waiting",
    )

    def __init__(
        self,
        job: jobs.Job,
        occurrence: int,
        number: int,
        spec: model.StepSpec,
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        # Expected run time of a task, in seconds, and the fit from which it was
        # computed; kept by the learned run times.
        self.expected_fit: duration_model.Fit | None = None
        self.expected_time_s = 0.0
        # Positions of the tasks without a run that are not done, and the
        # current run by position.
        self.waiting: set[int] = set(range(spec.task_count))
        self.active: dict[int, runs.Run] = {}
        # Bit set of the done tasks; bit n belongs to the task at position n.
        self.done = 0
        # Numbers of failed runs by position of the task; a gang uses position 0
        # for all members.
        self.failures: dict[int, list[int]] = {}
        # Numbers of the runs under which workers crashed, by position of the
        # task, also for the members of a gang.
        self.crashes: dict[int, list[int]] = {}
        # The same for workers that have probably crashed, but may be cut off.
        self.suspicions: dict[int, list[int]] = {}
        # Current runs of the tasks that may crash their workers, by position.
        # If the leader ends, the next one knows which workers they had.
        self.recorded_starts: dict[int, RecordedStart] = {}
        # Positions of the tasks whose latest crash is not stored yet.
        self.unstored_crashes: set[int] = set()
        # Monotonic time, in seconds, since which a task has waited to run alone,
        # by position, and positions of the tasks that have waited for too long.
        self.isolated_since_s: dict[int, float] = {}
        self.sharing: set[int] = set()
        # Latest saved progress, and number of the latest run, by task.
        self.saved: dict[int, str] = {}
        self.last_run: dict[int, int] = {}
        # Workers on which a task failed or made no progress, or that refused to
        # start it, by task.
        self.avoid: dict[int, set[str]] = {}
        # Monotonic time, in seconds, before which the step is not planned.
        self.not_before_s = 0.0
        # Monotonic time, in seconds, before which the planner does not look
        # for advised workers on which a waiting gang fits.
        self.examine_after_s = 0.0
        # Monotonic time, in seconds, since which only reservations of gangs have
        # kept all tasks of the step from an idle fleet; infinite if they do not.
        self.held_back_since_s = float("inf")
        # Advice: workers asked about, workers advised (in the order of the
        # answers), and by worker the ticket with the monotonic time until
        # which it is valid.
        self.asked_workers: set[str] = set()
        self.advised_workers: dict[str, None] = {}
        self.tickets: dict[str, tuple[str, float]] = {}
        # Whether calls for its tickets come after those of other steps, by the
        # latest plan.
        self.is_advice_deferred = False
        # Calls to the advice service that are queued or in flight.
        self.pending_advice_calls = 0
        self.wait_reason = WaitReason.NOT_PLANNED
        # Sort key in the latest plan; None before the first one.
        self.urgency: urgency.Urgency | None = None

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done == (1 << self.spec.task_count) - 1

    @property
    def deadline_s(self) -> float:
        """Monotonic time at which the latency objective ends, in seconds.

        The objective of an occurrence counts from its due time.
        """
        job = self.job
        due_ms = job.due_ms(self.occurrence)
        if not due_ms:
            return job.deadline_s
        early_ms = max(0, due_ms - job.record.accepted_ms)
        return job.deadline_s + early_ms / 1000

    @property
    def chain_s(self) -> float:
        """Expected time, in seconds, of the longest chain from this step."""
        return self.job.chain_s(self.number)

    def lateness(self, now: float) -> Lateness:
        """Returns how late the job would end if the step started now."""
        late_s = now + self.chain_s - self.deadline_s
        return lateness_of(late_s, self.job.objective_s)

    @property
    def is_advice_pending(self) -> bool:
        """Whether calls to the advice service are pending."""
        return self.pending_advice_calls > 0

    @property
    def advice_name(self) -> str:
        """Name under which the advice service knows the step."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def avoided_workers(self) -> set[str]:
        """Workers that any task of the step avoids."""
        return set().union(*self.avoid.values())

    def is_task_done(self, position: int) -> bool:
        """Returns whether the task is done."""
        return bool(self.done >> position & 1)

    def next_run(self, position: int) -> int:
        """Returns the number for the next run of the task."""
        if self.spec.is_gang:
            return max(self.last_run.values(), default=self.job.run_floor) + 1
        return self.last_run.get(position, self.job.run_floor) + 1

    def mark_done(self, position: int) -> None:
        """Marks a task as done; one done member completes the whole gang."""
        if self.spec.is_gang:
            self.done = (1 << self.spec.task_count) - 1
            self.waiting.clear()
            return
        self.done |= 1 << position
        self.waiting.discard(position)
        self.saved.pop(position, None)

    def record_failure(self, name: model.RunName) -> int:
        """Counts a failed run once; returns the failure count of its task."""
        runs = self.failures.setdefault(
            self.accounting_position(name.task.position), []
        )
        if name.run not in runs:
            runs.append(name.run)
        return len(runs)

    def avoid_worker(self, position: int, worker_id: str) -> None:
        """Prefers other workers for the next runs of a task."""
        self.avoid.setdefault(position, set()).add(worker_id)

    def record_crash(self, name: model.RunName) -> int:
        """Counts a crashed worker once; returns the count of the task."""
        runs = self.crashes.setdefault(name.task.position, [])
        if name.run not in runs:
            runs.append(name.run)
        return len(runs)

    def record_suspicion(self, name: model.RunName) -> None:
        """Counts a worker that has probably crashed once."""
        runs = self.suspicions.setdefault(name.task.position, [])
        if name.run not in runs:
            runs.append(name.run)

    def withdraw_suspicion(self, name: model.RunName) -> None:
        """Undoes the count of a worker that was only cut off."""
        runs = self.suspicions.get(name.task.position, [])
        if name.run in runs:
            runs.remove(name.run)

    def record_start(self, name: model.RunName, worker: fleet.Worker) -> None:
        """Records a start that the next leader has to know."""
        self.recorded_starts[name.task.position] = RecordedStart(
            name.run, worker.worker_id, worker.born_ms
        )

    def make_waiting(self, position: int) -> None:
        """Lets a task without a run wait for its next one.

        A task under which a worker crashed waits until the crash is stored, so
        that the next leader knows of it.
        """
        if (
            position not in self.active
            and position not in self.unstored_crashes
            and not self.is_task_done(position)
            and not self.job.is_ended
        ):
            self.waiting.add(position)

    def crash_count(self, position: int) -> int:
        """Returns how many workers have crashed under a task."""
        return len(self.crashes.get(position, ()))

    def loss_count(self, position: int) -> int:
        """Returns how many workers have crashed, or probably have."""
        if not self.crashes and not self.suspicions:
            return 0
        return len(
            {
                *self.crashes.get(position, ()),
                *self.suspicions.get(position, ()),
            }
        )

    @property
    def suspected_positions(self) -> list[int]:
        """Positions of the tasks under which workers may have crashed."""
        return sorted({*self.crashes, *self.suspicions})

    def saved_for(self, position: int) -> str:
        """Returns the saved progress from which the task resumes."""
        return self.saved.get(self.accounting_position(position), "")

    def keep_saved(self, position: int, saved: str) -> None:
        """Keeps the latest saved progress of a task or a gang."""
        if saved:
            self.saved[self.accounting_position(position)] = saved

    def task(self, position: int) -> model.TaskName:
        """Returns the name of a task."""
        return model.TaskName(
            self.job.job_id, self.occurrence, self.number, position
        )

    def encode(
        self, positions: range | None = None, with_saved: bool = True
    ) -> list[Any]:
        """Returns the stored form of the progress.

        Earlier versions read only the first three to five values.

        Args:
            positions: Positions of the tasks; None for all.
            with_saved: Whether to include the saved progress of the tasks,
                without which they start anew.
        """
        if positions is None:
            positions = range(self.spec.task_count)
        done = self.done >> positions.start & ((1 << len(positions)) - 1)
        by_position: list[dict[int, Any]] = [
            self.failures,
            self.saved if with_saved else {},
            self.crashes,
            self.suspicions,
            self.recorded_starts,
        ]
        return [
            f"{done:x}",
            *(
                {
                    position: value
                    for position, value in values.items()
                    if position in positions
                }
                for values in by_position
            ),
        ]

    def accounting_position(self, position: int) -> int:
        """Returns the position under which failures and progress are kept."""
        return 0 if self.spec.is_gang else position

    def restore(self, stored: list[Any], first: int = 0) -> None:
        """Restores the progress of tasks from its stored form.

        Args:
            stored: The stored form.
            first: Position of the first of the tasks.
        """
        self.done |= int(stored[0], 16) << first
        failures, saved = stored[1:3]
        # Earlier versions store fewer values.
        crashes, suspicions, starts = (*stored[3:6], {}, {}, {})[:3]
        self.failures |= {int(key): value for key, value in failures.items()}
        self.saved |= {int(key): value for key, value in saved.items()}
        self.crashes |= {int(key): value for key, value in crashes.items()}
        self.suspicions |= {
            int(key): value for key, value in suspicions.items()
        }
        self.recorded_starts |= {
            int(key): RecordedStart(*value) for key, value in starts.items()
        }
        if self.spec.is_gang and self.done:
            # Its other parts may not have been stored.
            self.mark_done(first)
        self.waiting = {
            position
            for position in range(self.spec.task_count)
            if not self.is_task_done(position)
        }
