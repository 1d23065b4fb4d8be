"""Bounded queue of waiting tasks with weighted fairness between teams."""

from __future__ import annotations

from collections.abc import Callable
import heapq

from marigoldgap import errors
from marigoldgap.scheduling import model
from marigoldgap.scheduling import team_order
from marigoldgap.scheduling import waiting_requirements

_DEFAULT_LIMIT = 100_000
# Stale heap entries are dropped if they outnumber live ones by more than this.
_COMPACT_ABOVE = 64


class FairQueue:
    """Bounded queue, ordered by usage per share of the teams.

    The team with the lowest usage relative to its share comes first. Within a
    team, urgent tasks come before all others; then priority, latest start and
    arrival decide. Tasks of a team with equal requirements (kind, service and
    resources) wait in one subqueue. A subqueue whose first task cannot run is
    skipped as a whole, so a large task that does not fit does not block small
    ones, and no search scans a full queue.

    Args:
        limit: Maximum number of waiting tasks.
        team_limit: Maximum number of waiting tasks of one team; half of
            `limit` by default, so that one team cannot fill the queue.

    Attributes:
        examined: Number of tasks that searches have examined since creation.
    """

    def __init__(
        self, limit: int = _DEFAULT_LIMIT, team_limit: int | None = None
    ) -> None:
        self._limit = limit
        self._team_limit = team_limit or max(1, limit // 2)
        self._order = team_order.TeamOrder()
        self._requirements = waiting_requirements.WaitingRequirements()
        self._team_of: dict[str, str] = {}
        self._deadlines: list[tuple[int, str, int]] = []
        self._arrivals = 0
        self.examined = 0

    def __len__(self) -> int:
        return len(self._team_of)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._team_of

    def waiting(self, team: str) -> int:
        """Returns the number of waiting tasks of a team."""
        return len(self._order.team(team).queue)

    def push(self, task: model.TaskSpec, now_ms: int) -> None:
        """Adds a task.

        Args:
            task: The task; no task with its id may be waiting.
            now_ms: The current time; unused. A task whose deadline has passed
                is accepted and returned by the next call of `expired`.

        Raises:
            QueueFullError: If the queue or the team's part of it is full.
            ConflictError: If a task with this id is already waiting.
        """
        del now_ms
        if task.task_id in self._team_of:
            raise errors.ConflictError(f"{task.task_id} is already waiting")
        if len(self) >= self._limit:
            raise errors.QueueFullError(f"{self._limit} tasks are waiting")
        state = self._order.team(task.team)
        if len(state.queue) >= self._team_limit:
            raise errors.QueueFullError(
                f"{self._team_limit} tasks of team {task.team} are waiting"
            )
        self._arrivals += 1
        self._team_of[task.task_id] = task.team
        if task.deadline_ms is not None:
            entry = (task.deadline_ms, task.task_id, self._arrivals)
            heapq.heappush(self._deadlines, entry)
        self._requirements.add(task)
        if state.queue.push(task, self._arrivals):
            self._order.update(task.team)

    def pop(
        self,
        may_run: Callable[[model.TaskSpec], bool],
        has_capacity: Callable[[model.TaskSpec], bool] | None = None,
    ) -> model.TaskSpec | None:
        """Removes and returns the first task that may run, or None.

        Args:
            may_run: Returns whether a task can start now; the result must be
                the same for all tasks of a team with equal requirements.
            has_capacity: Returns whether some worker has capacity for a task,
                independently of its team. It is called once per distinct
                requirements, so a search in a full cluster does not visit all
                teams.
        """
        check = waiting_requirements.CapacityCheck(
            self._requirements, has_capacity
        )
        search = self._order.search()
        found = None
        while found is None and not check.nothing_fits:
            candidate = search.next()
            if candidate is None:
                break
            queue = self._order.team(candidate.team).queue
            task = queue.head(candidate.position)
            self.examined += 1
            if check.has_capacity(task) and may_run(task):
                found = task
        search.close()
        if found is not None:
            self.remove(found.task_id)
        return found

    def remove(self, task_id: str) -> bool:
        """Removes a task; returns whether it was waiting."""
        team = self._team_of.pop(task_id, None)
        if team is None:
            return False
        queue = self._order.team(team).queue
        task = queue.task(task_id)
        self._requirements.remove(task)
        if queue.remove(task_id):
            self._order.update(team)
        self._compact_deadlines()
        return True

    def expired(self, now_ms: int) -> list[model.TaskSpec]:
        """Removes and returns the waiting tasks whose deadline has passed."""
        found = []
        while self._deadlines and self._deadlines[0][0] < now_ms:
            _, task_id, arrival = heapq.heappop(self._deadlines)
            task = self._waiting_task(task_id, arrival)
            if task is not None:
                found.append(task)
                self.remove(task_id)
        return found

    def set_usage(self, team: str, usage: float) -> None:
        """Sets the team's dominant usage as a fraction of the cluster."""
        state = self._order.team(team)
        if state.usage != usage:
            state.usage = usage
            self._order.update(team)

    def set_share(self, team: str, share: float) -> None:
        """Sets the team's share; a team with share zero comes last."""
        state = self._order.team(team)
        if state.share != share:
            state.share = share
            self._order.update(team)

    def set_blocked(self, team: str, blocked: bool) -> None:
        """Excludes a team from `pop`, for example while it is at its limit."""
        state = self._order.team(team)
        if state.blocked != blocked:
            state.blocked = blocked
            self._order.update(team)

    def _waiting_task(
        self, task_id: str, arrival: int
    ) -> model.TaskSpec | None:
        team = self._team_of.get(task_id)
        if team is None:
            return None
        return self._order.team(team).queue.find(task_id, arrival)

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) <= 2 * len(self) + _COMPACT_ABOVE:
            return
        self._deadlines = [
            entry
            for entry in self._deadlines
            if self._waiting_task(entry[1], entry[2]) is not None
        ]
        heapq.heapify(self._deadlines)
