"""State of jobs, kept by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from marigoldgap import clock
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import step_progress

if TYPE_CHECKING:
    from marigoldgap.cell import runs

# Upper bound on the computed age of an inherited job, which is a difference
# between the wall clocks of two instances that may differ.
_MAX_AGE_S = 60.0
# Occurrences of a job that are open at the same time. All of a job may be due at
# once; each open one takes memory and space in the row of its progress.
_MAX_OPEN_OCCURRENCES = 100
# Run times without finished runs.
_DECLARED = run_times.RunTimes()


class Job:
    """An accepted job.

    Args:
        record: The stored record of the job.
        queue: Configuration of its queue.
        now: Monotonic time in seconds at which the leader received it.
        run_floor: Highest run number that an earlier election may have used; 0
            for a job that was accepted during this election.
        times: Learned run times; None to use the declared ones.
    """

    __slots__ = (
        "_chains_s",
        "_chains_version",
        "_done_early",
        "_times",
        "deadline_s",
        "ended_s",
        "has_begun",
        "is_inherited",
        "is_over_fair_rate",
        "is_stored",
        "next_occurrence",
        "objective_s",
        "occurrences",
        "queue",
        "received_s",
        "record",
        "run_floor",
        "state",
    )

    def __init__(
        self,
        record: model.JobRecord,
        queue: model.Queue,
        now: float,
        run_floor: int = 0,
        times: run_times.RunTimes | None = None,
    ) -> None:
        self._times = _DECLARED if times is None else times
        # Expected chains from each step, with the version of the learned times.
        self._chains_s: list[float] = []
        self._chains_version = -1
        self.record = record
        self.queue = queue
        self.run_floor = run_floor
        self.state = model.JobState.QUEUED
        self.has_begun = False
        self.is_inherited = run_floor > 0
        self.is_over_fair_rate = False
        # Whether the end of the job is stored; callers see the end only then.
        self.is_stored = False
        self.received_s = now
        self.ended_s = 0.0
        # Steps of the open occurrences, by number of the occurrence.
        self.occurrences: dict[int, list[step_progress.StepProgress]] = {}
        # Lowest occurrence that was not opened yet.
        self.next_occurrence = 0
        # Completed occurrences above it: an earlier leader opened them, but did
        # not store that it had opened those before them.
        self._done_early: set[int] = set()
        # Duration of the latency objective, and the monotonic time at which it
        # ends if it counts from the acceptance of the job; both in seconds. The
        # true work decides about the objective, so it is derived from the
        # expected times; later runs do not change it.
        self.objective_s = self._objective_s()
        self.deadline_s = now - self._age_s() + self.objective_s

    @property
    def job_id(self) -> str:
        """Identifier chosen by the caller."""
        return self.record.job_id

    @property
    def is_ended(self) -> bool:
        """Whether the job has ended, so that none of its tasks may start."""
        return self.state in model.ENDED_STATES

    @property
    def occurrence_count(self) -> int:
        """Number of occurrences of the job."""
        return max(1, self.record.spec.occurrences)

    @property
    def max_open_tasks(self) -> int:
        """Upper bound on the tasks of the occurrences that are due and open."""
        tasks = sum(step.task_count for step in self.record.spec.steps)
        return tasks * min(self.occurrence_count, _MAX_OPEN_OCCURRENCES)

    @property
    def shown_state(self) -> model.JobState:
        """State that callers see; a final state is shown once it is stored.

        A cancellation is shown at once.
        """
        if not self.is_ended or self.is_stored:
            return self.state
        if self.state is model.JobState.CANCELLED:
            return self.state
        return model.JobState.RUNNING

    def due_ms(self, occurrence: int) -> int:
        """Returns the wall time, in ms, at which an occurrence is due.

        0 means that it is due at once.
        """
        spec = self.record.spec
        if not spec.first_due_ms:
            return 0
        return spec.first_due_ms + occurrence * spec.interval_ms

    def open_due(self, wall_ms: int) -> bool:
        """Opens due occurrences; returns whether there were any.

        Those beyond a maximum are opened when earlier ones are completed.
        """
        opened = False
        while (
            len(self.occurrences) < _MAX_OPEN_OCCURRENCES
            and self.next_occurrence < self.occurrence_count
            and self.due_ms(self.next_occurrence) <= wall_ms
        ):
            self.open(self.next_occurrence)
            opened = True
        return opened

    def open(self, occurrence: int) -> list[step_progress.StepProgress]:
        """Creates the steps of an occurrence, so that they can run."""
        steps = [
            step_progress.StepProgress(self, occurrence, number, spec)
            for number, spec in enumerate(self.record.spec.steps)
        ]
        self.occurrences[occurrence] = steps
        self._skip_opened()
        return steps

    def _skip_opened(self) -> None:
        """Advances the next occurrence past those that were opened early."""
        while (
            self.next_occurrence in self.occurrences
            or self.next_occurrence in self._done_early
        ):
            self._done_early.discard(self.next_occurrence)
            self.next_occurrence += 1

    def _was_opened(self, occurrence: int) -> bool:
        return (
            occurrence < self.next_occurrence
            or occurrence in self.occurrences
            or occurrence in self._done_early
        )

    def has_task(self, task: model.TaskName) -> bool:
        """Returns whether the job has a task, also of a later occurrence."""
        steps = self.record.spec.steps
        return (
            task.occurrence < self.occurrence_count
            and task.step < len(steps)
            and task.position < steps[task.step].task_count
        )

    def step(self, task: model.TaskName) -> step_progress.StepProgress | None:
        """Returns the step of a task, or None if no open step has the task."""
        steps = self.occurrences.get(task.occurrence)
        if steps is None or task.step >= len(steps):
            return None
        step = steps[task.step]
        return step if task.position < step.spec.task_count else None

    def started_step(
        self, task: model.TaskName
    ) -> step_progress.StepProgress | None:
        """Returns the step of a task that a worker has started.

        The run proves that an earlier leader had opened the occurrence, which is
        not stored before a task of it ends.

        Returns:
            The step, or None if the job lacks the task or the occurrence is
            completed.
        """
        if not self.has_task(task):
            return None
        if not self.is_ended and not self._was_opened(task.occurrence):
            self.open(task.occurrence)
        return self.step(task)

    def ended_step(
        self, task: model.TaskName
    ) -> step_progress.StepProgress | None:
        """Returns the step of a task if the job has ended.

        The stored progress of an ended job lacks its steps, but a run may
        continue until its worker stops it.
        """
        if not self.is_ended or task.occurrence >= self.occurrence_count:
            return None
        if task.occurrence not in self.occurrences:
            self.open(task.occurrence)
        return self.step(task)

    def open_steps(self) -> list[step_progress.StepProgress]:
        """Returns the steps of all open occurrences."""
        return [step for steps in self.occurrences.values() for step in steps]

    def ready_steps(self) -> list[step_progress.StepProgress]:
        """Returns the steps that have waiting tasks and may start."""
        ready = []
        for steps in self.occurrences.values():
            for step in steps:
                if step.waiting and all(
                    steps[number].is_done for number in step.spec.after
                ):
                    ready.append(step)
        return ready

    def runs(self) -> list[runs.Run]:
        """Returns all runs that have not ended."""
        return [
            run for step in self.open_steps() for run in step.active.values()
        ]

    def close_done(self) -> bool:
        """Drops completed occurrences; returns whether the job is complete."""
        for occurrence, steps in list(self.occurrences.items()):
            if all(step.is_done and not step.active for step in steps):
                del self.occurrences[occurrence]
                if occurrence > self.next_occurrence:
                    self._done_early.add(occurrence)
        return (
            not self.occurrences
            and self.next_occurrence >= self.occurrence_count
        )

    def close_all(self) -> None:
        """Closes all occurrences, before those that are stored are restored."""
        self.occurrences.clear()
        self.next_occurrence = 0

    def encode(
        self, with_saved: bool = True, with_steps: bool = True
    ) -> dict[str, Any]:
        """Returns the stored form of the progress.

        Args:
            with_saved: Whether to include the saved progress of the tasks.
            with_steps: Whether to include the progress of the steps.
        """
        return {
            "state": self.state.value,
            "begun": self.has_begun,
            "next": self.next_occurrence,
            "early": sorted(self._done_early),
            "open": {
                occurrence: [
                    step.encode(with_saved=with_saved)
                    for step in steps
                    if with_steps
                ]
                for occurrence, steps in self.occurrences.items()
                if not self.is_ended
            },
        }

    def restore(self, stored: dict[str, Any]) -> None:
        """Restores the progress from its stored form."""
        self.state = model.JobState(stored["state"])
        self.has_begun = stored["begun"]
        self.next_occurrence = stored["next"]
        # Earlier versions do not store it.
        self._done_early = set(stored.get("early", ()))
        for occurrence, steps in stored["open"].items():
            opened = self.open(int(occurrence))
            if not steps:
                # The progress of the steps is in rows of its own.
                continue
            for step, stored_step in zip(opened, steps, strict=True):
                step.restore(stored_step)

    def restore_part(
        self, occurrence: int, number: int, first: int, stored: list[Any]
    ) -> bool:
        """Restores the progress of some tasks of a step.

        Args:
            occurrence: Number of the occurrence. One that was not opened yet
                is opened: the row was stored before that of the job.
            number: Number of the step.
            first: Position of the first of the tasks.
            stored: Stored form of their progress.

        Returns:
            Whether the progress is of use: the job has not ended and the
            occurrence is not completed.
        """
        if self.is_ended or number >= len(self.record.spec.steps):
            return False
        if not self._was_opened(occurrence):
            self.open(occurrence)
        steps = self.occurrences.get(occurrence)
        if steps is None:
            return False
        self.has_begun = True
        self.state = model.JobState.RUNNING
        steps[number].restore(stored, first)
        return True

    def chain_s(self, number: int) -> float:
        """Returns the expected time of the longest chain from a step.

        Args:
            number: Number of the step with which the chain starts.

        Returns:
            The time in seconds.
        """
        version = self._times.version(self.queue.name)
        if self._chains_version != version:
            self._chains_version = version
            self._chains_s = self._times.chains_s(self.record.spec, self.queue)
        return self._chains_s[number]

    def _objective_s(self) -> float:
        """Returns the latency objective, in seconds, by expected run times."""
        chain_s = self._times.chain_s(self.record.spec, self.queue)
        return self.queue.stretch * chain_s + self.queue.target_ms / 1000

    def _age_s(self) -> float:
        """Returns the seconds since an inherited job was accepted."""
        if not self.is_inherited:
            return 0.0
        age_s = (clock.wall_ms() - self.record.accepted_ms) / 1000
        return min(max(0.0, age_s), _MAX_AGE_S)
