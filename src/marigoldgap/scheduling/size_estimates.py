"""Corrects declared sizes and run times of tasks by measured values.

Usage reports arrive late, so a single high value may describe a moment that has
passed. An action therefore requires several consecutive reports over the
declared size, and each action gets time to take effect before the next, more
severe one.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from marigoldgap.scheduling import model

# Consecutive reports over the declared size that an action requires.
_REPORTS_BEFORE_ACTION = 3
# Usage up to this factor of the declared size is tolerated.
_TOLERANCE = 1.1
# Weight of a new value in the exponential moving average.
_SMOOTHING_WEIGHT = 0.3


class Action(enum.Enum):
    """Action on a task that uses more than its declared size.

    The values are the action names of the worker API, from mild to severe.
    """

    NONE = ""
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


_ESCALATION = (Action.THROTTLE, Action.CHECKPOINT, Action.STOP)


class Usage(NamedTuple):
    """Measured resource usage of a task.

    Attributes:
        measured_ms: Time of the measurement at the worker, not of its arrival.
    """

    millicores: int
    memory_mib: int
    measured_ms: int


class Correction(NamedTuple):
    """Result of a usage report.

    Attributes:
        size: Size with which to account for the task from now on.
        action: Action to take on the task now.
    """

    size: model.Resources
    action: Action = Action.NONE


class _Task:
    """Size estimate and past actions of one task."""

    __slots__ = (
        "action_count",
        "declared",
        "last_action_ms",
        "latest_ms",
        "reports_over",
        "size",
    )

    def __init__(self, declared: model.Resources) -> None:
        self.declared = declared
        self.size = declared
        self.latest_ms = -1
        self.last_action_ms = 0
        self.action_count = 0
        self.reports_over = 0


class SizeEstimates:
    """Sizes and corrections of the running tasks of an entry instance.

    Actions apply only while the worker is overcommitted in memory or processor
    time; a task that uses spare capacity does not affect others.

    Args:
        settle_ms: Time in milliseconds that an action gets to take effect. It
            must exceed the delay of the reports; otherwise values measured
            before the action trigger the next one.
    """

    def __init__(self, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._tasks: dict[str, _Task] = {}

    def begin(self, task_id: str, declared: model.Resources) -> None:
        """Starts tracking a task."""
        self._tasks[task_id] = _Task(declared)

    def end(self, task_id: str) -> None:
        """Stops tracking a task."""
        self._tasks.pop(task_id, None)

    def report(
        self,
        task_id: str,
        usage: Usage,
        worker_overcommitted: bool,
        now_ms: int,
    ) -> Correction | None:
        """Processes a usage report.

        Args:
            task_id: The task that the report is about.
            usage: Measured usage; ignored unless newer than the last one.
            worker_overcommitted: Whether the tasks on the worker exceed its
                capacity.
            now_ms: The current time in milliseconds.

        Returns:
            The correction, or None if the task is not tracked.
        """
        task = self._tasks.get(task_id)
        if task is None:
            return None
        if usage.measured_ms <= task.latest_ms:
            return Correction(task.size)
        task.latest_ms = usage.measured_ms
        task.size = _estimate(task, usage)
        if not _exceeds_declared(task.declared, usage):
            task.reports_over = 0
            return Correction(task.size)
        task.reports_over += 1
        return Correction(
            task.size, self._action(task, usage, worker_overcommitted, now_ms)
        )

    def _action(
        self, task: _Task, usage: Usage, worker_overcommitted: bool, now_ms: int
    ) -> Action:
        if (
            not worker_overcommitted
            or task.reports_over < _REPORTS_BEFORE_ACTION
        ):
            return Action.NONE
        if (
            task.action_count
            and usage.measured_ms < task.last_action_ms + self._settle_ms
        ):
            return Action.NONE
        step = min(task.action_count, len(_ESCALATION) - 1)
        task.action_count += 1
        task.last_action_ms = now_ms
        task.reports_over = 0
        return _ESCALATION[step]


def _exceeds_declared(declared: model.Resources, usage: Usage) -> bool:
    """Returns whether usage exceeds a declared size; 0 means undeclared."""
    pairs = (
        (usage.millicores, declared.millicores),
        (usage.memory_mib, declared.memory_mib),
    )
    return any(size > 0 and used > size * _TOLERANCE for used, size in pairs)


def _estimate(task: _Task, usage: Usage) -> model.Resources:
    """Returns the new size; only an increase of memory applies at once.

    Used memory cannot be reclaimed, so the accounted memory must not lag behind
    the usage. All other changes are smoothed. The size never falls below the
    declared size, which the task may need later.
    """
    size, declared = task.size, task.declared
    smoothed = size.millicores + _SMOOTHING_WEIGHT * (
        usage.millicores - size.millicores
    )
    memory = max(
        usage.memory_mib,
        int(
            size.memory_mib
            + _SMOOTHING_WEIGHT * (usage.memory_mib - size.memory_mib)
        ),
    )
    return size._replace(
        millicores=max(declared.millicores, int(smoothed)),
        memory_mib=max(declared.memory_mib, memory),
    )


class RunTimeEstimates:
    """Estimates the run time of tasks from finished tasks of their queue.

    Declared run times are very inaccurate, so the estimate is the declared time
    multiplied by the queue's smoothed ratio of actual to declared time.
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], float] = {}

    def finished(
        self, team: str, queue: str, declared_ms: int, actual_ms: int
    ) -> None:
        """Records a finished task; ignored without a declared run time."""
        if declared_ms <= 0:
            return
        key = (team, queue)
        before = self._ratios.get(key, 1.0)
        ratio = actual_ms / declared_ms
        self._ratios[key] = before + _SMOOTHING_WEIGHT * (ratio - before)

    def remaining_ms(
        self, team: str, queue: str, declared_ms: int, elapsed_ms: int = 0
    ) -> int:
        """Returns the estimated remaining run time in milliseconds."""
        ratio = self._ratios.get((team, queue), 1.0)
        return max(0, int(declared_ms * ratio) - elapsed_ms)
