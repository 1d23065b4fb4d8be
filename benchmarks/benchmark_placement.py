"""Benchmarks of placement decisions.

The targets are 10,000 placements per second on one core, 99% of the decisions
below 1 ms, and a cost that less than doubles from 24 to 19,000 workers. Times
are only printed; the tests assert how many workers and queued tasks a decision
examines.
"""

from __future__ import annotations

import random
import time

import pytest

from benchmarks import naive_placement
from marigoldgap.scheduling import fair_queue
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import model
from tests.fixtures import scheduling

DECISIONS = 10_000
TEAMS = 420
TARGET_RATE = 10_000
TARGET_P99_MS = 1.0


class Load:
    """Workers with 75% of their slots in use, and the tasks that they run."""

    def __init__(self, placement, workers, kind):
        self.placement = placement
        self.kind = kind
        self.source = random.Random(11)
        self.running = []
        self.number = 0
        for number in range(workers):
            placement.add(scheduling.worker(number))
        for _ in range(workers * 6):
            self.start()

    def start(self):
        self.number += 1
        cores = self.source.randrange(200, 2_500)
        memory = self.source.randrange(200, 10_000)
        size = model.Resources(1, 1, cores, memory)
        task = scheduling.task(self.number, self.kind, size)
        worker_id = self.placement.choose(task)
        if worker_id is not None:
            self.placement.claim(worker_id, task)
            self.running.append((worker_id, task.task_id))

    def end(self):
        position = self.source.randrange(len(self.running))
        self.running[position], self.running[-1] = (
            self.running[-1],
            self.running[position],
        )
        self.placement.release(*self.running.pop())


def timed(decide, count=DECISIONS):
    """Returns decisions per second and their 99th percentile in ms."""
    times = []
    for _ in range(count):
        start = time.perf_counter_ns()
        decide()
        times.append(time.perf_counter_ns() - start)
    times.sort()
    return count / (sum(times) / 1e9), times[int(count * 0.99)] / 1e6


def show(capsys, name, rate, p99_ms, examined):
    with capsys.disabled():
        print(
            f"\n{name}: {rate:,.0f}/s (target {TARGET_RATE:,}),"
            f" p99 {p99_ms:.3f} ms (target {TARGET_P99_MS}),"
            f" {examined:.2f} workers examined a decision"
        )


def measure(placement, workers, kind):
    load = Load(placement, workers, kind)
    before = placement.examined

    def decide():
        load.end()
        load.start()

    rate, p99_ms = timed(decide)
    examined = (placement.examined - before) / DECISIONS
    return load, rate, p99_ms, examined


@pytest.mark.parametrize("kind", ["quick", "batch", "service"])
def test_placement_cost_does_not_grow(benchmark, capsys, kind):
    examined = {}
    for workers in (24, 2_000, 19_000):
        load, rate, p99_ms, looked_at = measure(
            free_index.FreeIndex(), workers, kind
        )
        examined[workers] = looked_at
        show(capsys, f"{kind}, {workers} workers", rate, p99_ms, looked_at)
    assert examined[19_000] < 2 * examined[24]
    benchmark.pedantic(
        lambda: (load.end(), load.start()), rounds=2_000, warmup_rounds=100
    )


@pytest.mark.parametrize(
    "naive", [naive_placement.FirstFit, naive_placement.RoundRobin]
)
def test_fewer_workers_examined_than_naive(benchmark, capsys, naive):
    *_, chosen = measure(free_index.FreeIndex(), 2_000, "batch")
    _, rate, p99_ms, looked_at = benchmark.pedantic(
        measure, args=(naive(), 2_000, "batch"), rounds=1
    )
    show(capsys, f"{naive.__name__}, 2000 workers", rate, p99_ms, looked_at)
    # First fit examines all full workers before a match; the index skips them.
    if naive is naive_placement.FirstFit:
        assert chosen * 100 < looked_at


def test_decision_with_queue(benchmark, capsys):
    """Measures decisions with a push, a fair pop, a claim and a release."""
    queue = fair_queue.FairQueue()
    index = free_index.FreeIndex()
    load = Load(index, 19_000, "quick")
    numbers = iter(range(10**7, 10**8))
    for number in range(TEAMS):
        queue.set_share(f"team{number}", 1.0 + number % 7)
    for _ in range(50_000):
        number = next(numbers)
        team = f"team{number % TEAMS}"
        queue.push(scheduling.task(number, team=team), 0)

    def decide():
        load.end()
        number = next(numbers)
        team = f"team{number % TEAMS}"
        queue.push(scheduling.task(number, team=team), 0)
        chosen = []

        def may_run(task):
            chosen.append(index.choose(task))
            return chosen[-1] is not None

        task = queue.pop(may_run)
        index.claim(chosen[-1], task)
        load.running.append((chosen[-1], task.task_id))
        queue.set_usage(task.team, load.source.random())

    before = queue.examined + index.examined
    rate, p99_ms = timed(decide)
    examined = (queue.examined + index.examined - before) / DECISIONS
    show(capsys, "queue and placement, 19000 workers", rate, p99_ms, examined)
    assert queue.examined <= 2 * DECISIONS
    benchmark.pedantic(decide, rounds=2_000, warmup_rounds=100)


def test_cancellation_wave(benchmark, capsys):
    def setup():
        queue = fair_queue.FairQueue()
        for number in range(40_000):
            team = f"team{number % TEAMS}"
            task = scheduling.task(number, team=team, priority=number % 7)
            queue.push(task, 0)
        return (queue,), {}

    def cancel(queue):
        start = time.perf_counter_ns()
        for number in range(0, 40_000, 2):
            queue.remove(f"t{number}")
        return (time.perf_counter_ns() - start) / 20_000 / 1_000

    microseconds = benchmark.pedantic(cancel, setup=setup, rounds=3)
    with capsys.disabled():
        print(f"\ncancellation: {microseconds:.1f} us a task")
