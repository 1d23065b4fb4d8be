"""Steps for the free-capacity index."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from benchmarks import naive_placement
from marigoldgap import errors
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import large_task_hold
from marigoldgap.scheduling import model
from marigoldgap.scheduling import resources
from tests.fixtures import scheduling

LARGE_MEMORY = model.Resources(1, 1, 0, 40_000)
SIZES = strategies.builds(
    model.Resources,
    strategies.integers(0, 9),
    strategies.integers(0, 70),
    strategies.integers(0, 17_000),
    strategies.integers(0, 70_000),
    strategies.integers(0, 1),
)
KINDS = strategies.sampled_from(["quick", "batch", "gang", "service"])
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["choose", "choose", "claim", "release", "accept", "replace"]
        ),
        strategies.integers(0, 4),
        strategies.integers(0, 9),
        KINDS,
        SIZES,
        strategies.booleans(),
    ),
    max_size=60,
)


class ReferenceIndex:
    """Reference model of the index that scans all tasks and workers."""

    def __init__(self, index):
        self.index = index
        self.tasks = {}
        self.accepting = {}

    def free(self, worker_id):
        free = scheduling.CAPACITY
        for size in self.tasks[worker_id].values():
            free = resources.subtract(free, size)
        return free

    def fits(self, worker_id, task):
        return (
            self.accepting[worker_id]
            and task.task_id not in self.tasks[worker_id]
            and resources.fits_in(task.resources, self.free(worker_id))
        )

    def claim(self, worker_id, task):
        fits = self.fits(worker_id, task)
        try:
            self.index.claim(worker_id, task)
        except errors.CapacityError:
            assert not fits
            return
        assert fits
        self.tasks[worker_id][task.task_id] = task.resources

    def apply(self, operation, number, task_number, kind, size, flag):
        worker_id = f"w{number}"
        task = scheduling.task(task_number, kind, size)
        if operation == "replace":
            self.index.add(scheduling.worker(number, workers_per_rack=2))
            self.tasks[worker_id] = {}
            self.accepting[worker_id] = True
        elif worker_id not in self.tasks:
            return
        elif operation == "claim":
            self.claim(worker_id, task)
        elif operation == "release":
            self.index.release(worker_id, task.task_id)
            self.tasks[worker_id].pop(task.task_id, None)
        elif operation == "accept":
            self.index.set_accepting(worker_id, flag)
            self.accepting[worker_id] = flag
        else:
            self.choose(task, frozenset([worker_id] if flag else []))

    def choose(self, task, avoid):
        chosen = self.index.choose(task, avoid)
        fitting = [
            name
            for name in self.tasks
            if self.accepting[name]
            and name not in avoid
            and resources.fits_in(task.resources, self.free(name))
        ]
        assert chosen in fitting if chosen else True
        # With so few workers, a search examines every worker of the boundary
        # size classes.
        assert chosen is not None or not fitting

    def check(self):
        total = resources.NONE
        for name, accepting in self.accepting.items():
            free = self.free(name)
            assert min(free) >= 0
            assert self.index.free_on(name) == free
            total = resources.add(total, free if accepting else resources.NONE)
        assert self.index.free_total() == total


def filled_index(workers, per_rack=scheduling.WORKERS_PER_RACK):
    index = free_index.FreeIndex()
    for number in range(workers):
        index.add(scheduling.worker(number, workers_per_rack=per_rack))
    return index


@then("the index agrees with a reference model after any free-index operations")
def index_agrees(context):
    @hypothesis.given(OPERATIONS)
    def check(operations):
        reference = ReferenceIndex(free_index.FreeIndex())
        for number in range(5):
            reference.apply("replace", number, 0, "quick", None, False)
        for operation in operations:
            reference.apply(*operation)
            reference.check()

    check()


@then(
    "quick tasks go to the least loaded worker, batch tasks to the most loaded"
)
def placement_follows_policy(context):
    @hypothesis.given(strategies.lists(strategies.integers(0, 8), min_size=5))
    def check(loads):
        index = filled_index(len(loads))
        for number, load in enumerate(loads):
            for task_number in range(load):
                index.claim(f"w{number}", scheduling.task(task_number))
        quick = index.choose(scheduling.task(99, "quick"))
        batch = index.choose(scheduling.task(99, "batch"))
        if min(loads) == 8:
            assert quick is None and batch is None
            return
        assert loads[int(quick[1:])] == min(loads)
        assert loads[int(batch[1:])] == max(x for x in loads if x < 8)

    check()


@given("40 workers of which only the last has memory for a task")
def one_worker_with_room(context):
    context.index = free_index.FreeIndex()
    for number in range(40):
        memory = 40_000 if number == 39 else 39_999
        capacity = scheduling.CAPACITY._replace(memory_mib=memory)
        context.index.add(scheduling.worker(number, capacity))


@then("repeated choices find the last worker")
def finds_last(context):
    for kind in ("quick", "batch"):
        task = scheduling.task(1, kind, LARGE_MEMORY)
        found = [context.index.choose(task) for _ in range(10)]
        assert found[-1] == "w39", found
        # Of 40 workers in one size class, a search examines four.
        assert context.index.examined <= 2 * 10 * 4


@then(
    "racks never differ by more than one task of a service while all have room"
)
def racks_even(context):
    source = random.Random(3)
    index = filled_index(200, per_rack=4)
    placed = {}
    for number in range(600):
        if number % 3 == 2:
            # Ends a task on a rack with the most tasks, as a balanced
            # scale-down would.
            counts = rack_counts(placed)
            most = max(counts.values())
            ends = [t for t, w in placed.items() if counts[rack(w)] == most]
            task_id = source.choice(ends)
            index.release(placed.pop(task_id), task_id)
        else:
            task = scheduling.task(number, "service")
            worker_id = index.choose(task)
            index.claim(worker_id, task)
            placed[task.task_id] = worker_id
        counts = [rack_counts(placed).get(r, 0) for r in range(50)]
        assert max(counts) - min(counts) <= 1, counts


def rack(worker_id):
    return int(worker_id[1:]) // 4


def rack_counts(placed):
    counts = {}
    for worker_id in placed.values():
        counts[rack(worker_id)] = counts.get(rack(worker_id), 0) + 1
    return counts


@given("an index with one worker that is leaving and in quarantine")
def leaving_and_quarantined(context):
    context.index = filled_index(1)
    context.index.set_accepting("w0", False)
    context.index.mark_leaving("w0")


@when("the quarantine of the leaving worker ends")
def quarantine_ends(context):
    context.index.set_accepting("w0", True)


@then("the leaving worker is not chosen and refuses claims")
def leaving_refuses(context):
    task = scheduling.task(1)
    assert context.index.choose(task) is None
    assert context.index.free_total() == resources.NONE
    try:
        context.index.claim("w0", task)
    except errors.CapacityError:
        return
    raise AssertionError("a leaving worker accepted a claim")


@then("19000 workers cost less than twice the examinations of 24 for each kind")
def cost_does_not_grow(context):
    for kind in ("quick", "batch", "service"):
        costs = [examined_per_task(count, kind) for count in (24, 19_000)]
        assert costs[1] < 2 * costs[0], (kind, costs)


def examined_per_task(workers, kind):
    """Returns the mean number of workers examined for the placement of a task.

    Places one task per worker, with sizes as jobs declare them.
    """
    source = random.Random(5)
    index = filled_index(workers)
    for number in range(workers):
        size = model.Resources(
            1, 1, source.randrange(500, 3_000), source.randrange(500, 12_000)
        )
        task = scheduling.task(number, kind, size)
        worker_id = index.choose(task)
        if worker_id is not None:
            index.claim(worker_id, task)
    return index.examined / workers


@then(
    "filling 2000 workers examines less than a hundredth of what first fit does"
)
def fewer_than_first_fit(context):
    for kind in ("quick", "batch"):
        index = filled_index(2_000)
        naive = naive_placement.FirstFit()
        for number in range(2_000):
            naive.add(scheduling.worker(number))
        for number in range(14_000):
            task = scheduling.task(number, kind)
            for placement in (index, naive):
                placement.claim(placement.choose(task), task)
        assert index.examined * 100 < naive.examined


@given("4 workers full of tasks of one slot and a task of 6 slots")
def full_workers(context):
    context.index = filled_index(4)
    context.hold = large_task_hold.LargeTaskHold(context.index, 10_000)
    context.places = [
        start_small(context, number, 0) for number in range(4 * 8)
    ]


def start_small(context, number, now_ms):
    task = scheduling.task(number, "batch")
    worker_id = context.hold.choose(task, now_ms)
    if worker_id is not None:
        context.index.claim(worker_id, task)
    return worker_id, task.task_id


@when("the small tasks end one by one and others take their place")
def small_tasks_go_on(context):
    large = scheduling.task(999, "batch", model.Resources(6))
    source = random.Random(2)
    for ended in range(100):
        context.chosen = context.hold.choose(large, ended)
        if context.chosen is not None:
            break
        running = [place for place in context.places if place[0]]
        place = source.choice(running)
        context.places.remove(place)
        context.index.release(*place)
        context.places.append(start_small(context, 100 + ended, ended))


@then("the large task is placed before 100 small tasks have ended")
def large_starts(context):
    assert context.chosen is not None


@then("after its hold ended the worker serves small tasks again")
def hold_is_over(context):
    served = [start_small(context, 500 + n, 20_000)[0] for n in range(6)]
    assert served == [context.chosen] * 6
