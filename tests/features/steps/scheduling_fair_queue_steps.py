"""Steps for the fair queue."""

from __future__ import annotations

import math

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.scheduling import fair_queue
from marigoldgap.scheduling import model
from tests.fixtures import scheduling

TEAMS = ("claims", "checks", "public")
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "push",
                "push",
                "push",
                "pop",
                "remove",
                "usage",
                "share",
                "expire",
                "block",
            ]
        ),
        strategies.integers(0, 30),
        strategies.sampled_from(TEAMS),
        strategies.integers(0, 3),
        strategies.none() | strategies.integers(0, 20),
        strategies.booleans(),
    ),
    max_size=80,
)


class SortedList:
    """Reference model of the queue that sorts all tasks for each pop."""

    def __init__(self):
        self.queue = fair_queue.FairQueue(1_000)
        self.waiting = {}
        self.usage = dict.fromkeys(TEAMS, 0.0)
        self.share = dict.fromkeys(TEAMS, 1.0)
        self.blocked = set()
        self.arrivals = 0

    def order(self, task):
        share = self.share[task.team]
        usage = self.usage[task.team] / share if share else math.inf
        due = math.inf if task.deadline_ms is None else task.deadline_ms
        arrival = self.waiting[task.task_id][1]
        return usage, not task.urgent, -task.priority, due, arrival

    def pop(self, may_run):
        tasks = sorted((t for t, _ in self.waiting.values()), key=self.order)
        for task in tasks:
            if task.team not in self.blocked and may_run(task):
                del self.waiting[task.task_id]
                return task
        return None

    def apply(self, operation, number, team, level, deadline, flag):
        if operation == "push":
            self.push(number, team, level, deadline, flag)
        elif operation == "pop":
            limit = 4 if flag else level
            has_capacity = (
                (lambda t: t.resources.slots <= limit) if number % 2 else None
            )
            may_run = has_capacity or (lambda t: t.resources.slots <= limit)
            assert self.queue.pop(may_run, has_capacity) == self.pop(may_run)
        elif operation == "remove":
            found = self.waiting.pop(f"t{number}", None)
            assert self.queue.remove(f"t{number}") == (found is not None)
        elif operation == "usage":
            self.usage[team] = level / 4
            self.queue.set_usage(team, level / 4)
        elif operation == "share":
            self.share[team] = float(level)
            self.queue.set_share(team, float(level))
        elif operation == "block":
            self.queue.set_blocked(team, flag)
            (self.blocked.add if flag else self.blocked.discard)(team)
        else:
            self.expire(number)
        assert len(self.queue) == len(self.waiting)

    def push(self, number, team, level, deadline, flag):
        size = model.Resources(slots=number % 4)
        task = scheduling.task(
            number,
            resources=size,
            team=team,
            priority=level,
            deadline_ms=deadline,
            urgent=flag,
        )
        waits = task.task_id in self.waiting
        try:
            self.queue.push(task, 0)
        except errors.ConflictError:
            assert waits
            return
        assert not waits
        self.arrivals += 1
        self.waiting[task.task_id] = (task, self.arrivals)

    def expire(self, now_ms):
        expected = {
            task.task_id
            for task, _ in self.waiting.values()
            if task.deadline_ms is not None and task.deadline_ms < now_ms
        }
        found = self.queue.expired(now_ms)
        assert sorted(expected) == sorted(task.task_id for task in found)
        for task_id in expected:
            del self.waiting[task_id]


@then("the fair queue agrees with a sorted list after any operations")
def agrees_with_sorted_list(context):
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(OPERATIONS)
    def check(operations):
        reference = SortedList()
        for operation in operations:
            reference.apply(*operation)
        while reference.waiting:
            if reference.queue.pop(lambda task: True) is None:
                break
            assert reference.pop(lambda task: True)
        assert reference.pop(lambda task: True) is None

    check()


@given("a fair queue for {limit:d} tasks of which one team may have {part:d}")
def bounded_queue(context, limit, part):
    context.queue = fair_queue.FairQueue(limit, part)


@when("a team floods the fair queue with {count:d} tasks")
def flood(context, count):
    context.refused = push_all(context.queue, "claims", range(count))


@then("{count:d} tasks of the flood are refused")
def flood_refused(context, count):
    assert context.refused == count


@then("another team can still push 4 tasks but not 5")
def other_team(context):
    assert push_all(context.queue, "checks", range(100, 105)) == 1


def push_all(queue, team, numbers):
    refused = 0
    for number in numbers:
        try:
            queue.push(scheduling.task(number, team=team), 0)
        except errors.QueueFullError:
            refused += 1
    return refused


class CountedPriority(int):
    """A priority that counts how often it is compared."""

    compared = 0

    def __neg__(self):
        return CountedPriority(-int(self))

    def __eq__(self, other):
        CountedPriority.compared += 1
        return int(self) == int(other)

    __hash__ = int.__hash__


@then(
    "cancelling 20000 of 40000 waiting tasks costs at most 40 comparisons each"
)
def cancel_wave(context):
    queue = fair_queue.FairQueue()
    for number in range(40_000):
        priority = CountedPriority(number % 7)
        team = f"team{number % 420}"
        queue.push(scheduling.task(number, team=team, priority=priority), 0)
    CountedPriority.compared = 0
    for number in range(0, 40_000, 2):
        assert queue.remove(f"t{number}")
    assert len(queue) == 20_000
    # A scan of one team's tasks would take about 95 comparisons and a scan of
    # the whole queue 40,000; the binary logarithm of the queue's length is
    # about 15.
    assert CountedPriority.compared <= 40 * 20_000, CountedPriority.compared


@given("5000 waiting tasks that do not fit and a small task behind them")
def blocked_subqueue(context):
    context.queue = fair_queue.FairQueue()
    for number in range(5_000):
        task = scheduling.task(number, resources=model.Resources(8))
        context.queue.push(task, 0)
    context.queue.push(scheduling.task(5_000), 0)


@then("the small task is popped after examining 2 tasks")
def small_task_popped(context):
    task = context.queue.pop(lambda task: task.resources.slots == 1)
    assert task.task_id == "t5000"
    assert context.queue.examined == 2


@given("two batch tasks of which the longer has the later deadline")
def two_batch_tasks(context):
    context.queue = fair_queue.FairQueue()
    for number, deadline, run in ((1, 1_000, 100), (2, 1_500, 900)):
        task = scheduling.task(
            number, "batch", deadline_ms=deadline, expected_run_ms=run
        )
        context.queue.push(task, 0)


@then("the longer batch task is popped first")
def longer_first(context):
    assert context.queue.pop(lambda task: True).task_id == "t2"


@given("50000 waiting tasks of 420 teams with 3 distinct requirements")
def many_teams(context):
    context.queue = fair_queue.FairQueue()
    for number in range(50_000):
        size = model.Resources(1 + number % 3)
        task = scheduling.task(number, resources=size, team=f"t{number % 420}")
        context.queue.push(task, 0)


@then(
    "a search without a fitting task checks 3 requirements and examines no task"
)
def search_without_fit(context):
    checked = []
    found = context.queue.pop(lambda task: True, checked.append)
    assert found is None
    assert len(checked) == 3
    assert context.queue.examined == 0
