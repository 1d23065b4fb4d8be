"""Corrects declared sizes by what tasks were measured to use.

Reports of usage are late, so a single high value may describe a moment that is
over. A correction therefore needs the same finding in several reports, and each
step is given time to take effect before the next, harder one.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from marigoldgap.scheduling import model

# Reports over the declared size that are needed before the first action.
_REPORTS_NEEDED = 3
# Use within this factor of the declared size is tolerated.
_TOLERANCE = 1.1
# Weight of a new value in the running estimate.
_WEIGHT = 0.3


class Action(enum.Enum):
    """What to do with a task that uses more than it declared.

    The values are the actions of the worker API, mildest first.
    """

    NONE = ""
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


_ORDER = (Action.THROTTLE, Action.CHECKPOINT, Action.STOP)


class Usage(NamedTuple):
    """A measured use of a task.

    Attributes:
        measured_ms: When the worker measured it, not when it arrived.
    """

    millicores: int
    memory_mib: int
    measured_ms: int


class Correction(NamedTuple):
    """What follows from a report.

    Attributes:
        size: Size by which the task should be accounted for from now on.
        action: What to do with the task now.
    """

    size: model.Resources
    action: Action = Action.NONE


class _Task:
    """Estimate and actions of one task."""

    __slots__ = ("acted_ms", "actions", "declared", "latest_ms", "over", "size")

    def __init__(self, declared: model.Resources) -> None:
        self.declared = declared
        self.size = declared
        self.latest_ms = -1
        self.acted_ms = 0
        self.actions = 0
        self.over = 0


class SizeEstimates:
    """Sizes and corrections of the running tasks of an entry instance.

    A task is acted upon only while its worker is short of memory or processor
    time; a task that uses spare capacity harms nobody.

    Args:
        settle_ms: Time that an action is given; must exceed the delay of the
            reports, or an action is judged by values from before it.
    """

    def __init__(self, settle_ms: int) -> None:
        self._settle_ms = settle_ms
        self._tasks: dict[str, _Task] = {}

    def begin(self, task_id: str, declared: model.Resources) -> None:
        """Starts to follow a task."""
        self._tasks[task_id] = _Task(declared)

    def end(self, task_id: str) -> None:
        """Stops following a task."""
        self._tasks.pop(task_id, None)

    def report(
        self, task_id: str, usage: Usage, worker_short: bool, now_ms: int
    ) -> Correction | None:
        """Takes a report over.

        Args:
            task_id: The task; None is returned if it is not followed.
            usage: What was measured; older values than known are ignored.
            worker_short: Whether tasks on the worker exceed its capacity.
            now_ms: The current time.
        """
        task = self._tasks.get(task_id)
        if task is None:
            return None
        if usage.measured_ms <= task.latest_ms:
            return Correction(task.size)
        task.latest_ms = usage.measured_ms
        task.size = _estimate(task, usage)
        if not _exceeds(task.declared, usage):
            task.over = 0
            return Correction(task.size)
        task.over += 1
        return Correction(
            task.size, self._action(task, usage, worker_short, now_ms)
        )

    def _action(
        self, task: _Task, usage: Usage, worker_short: bool, now_ms: int
    ) -> Action:
        if not worker_short or task.over < _REPORTS_NEEDED:
            return Action.NONE
        if task.actions and usage.measured_ms < task.acted_ms + self._settle_ms:
            return Action.NONE
        step = min(task.actions, len(_ORDER) - 1)
        task.actions += 1
        task.acted_ms = now_ms
        task.over = 0
        return _ORDER[step]


def _exceeds(declared: model.Resources, usage: Usage) -> bool:
    """A resource that was not declared has no size that could be exceeded."""
    pairs = (
        (usage.millicores, declared.millicores),
        (usage.memory_mib, declared.memory_mib),
    )
    return any(size > 0 and used > size * _TOLERANCE for used, size in pairs)


def _estimate(task: _Task, usage: Usage) -> model.Resources:
    """Follows memory upwards at once, everything else slowly.

    Memory that is used cannot be taken back, so the account must not lag. The
    size never falls below the declared one, which the task may need later.
    """
    size, declared = task.size, task.declared
    smoothed = size.millicores + _WEIGHT * (usage.millicores - size.millicores)
    memory = max(
        usage.memory_mib,
        int(size.memory_mib + _WEIGHT * (usage.memory_mib - size.memory_mib)),
    )
    return size._replace(
        millicores=max(declared.millicores, int(smoothed)),
        memory_mib=max(declared.memory_mib, memory),
    )


class RunTimeEstimates:
    """Estimates the run time of a queue's tasks from finished ones.

    Declared run times are very inaccurate, so the estimate is the declared time
    multiplied by the smoothed ratio of actual to declared time of the queue.
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], float] = {}

    def finished(
        self, team: str, queue: str, declared_ms: int, actual_ms: int
    ) -> None:
        """Records a finished task."""
        if declared_ms <= 0:
            return
        key = (team, queue)
        before = self._ratios.get(key, 1.0)
        ratio = actual_ms / declared_ms
        self._ratios[key] = before + _WEIGHT * (ratio - before)

    def remaining_ms(
        self, team: str, queue: str, declared_ms: int, elapsed_ms: int = 0
    ) -> int:
        """Returns the estimated time that a task still needs."""
        ratio = self._ratios.get((team, queue), 1.0)
        return max(0, int(declared_ms * ratio) - elapsed_ms)
