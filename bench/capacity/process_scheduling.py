"""Measures the cost and memory of decisions and state in process."""

from __future__ import annotations

from collections.abc import Iterator

from bench import layouts
from bench.capacity import deployment
from bench.capacity import fitting
from bench.capacity import registry
from bench.capacity import timing
from marigoldgap.coordination import barrier
from marigoldgap.rules import parser
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import model
from marigoldgap.scheduling import rendezvous

_PROCESS = "process"
_CAPACITY = model.Resources(8, 64, 16_000, 65_536, 0)
_TASK_RESOURCES = model.Resources(1, 1, 1_000, 2_048)
_SLOTS = 8
_TEAMS = (6, 140, 280, 420)
_WORKERS = (24, 365, 730, 1_460)
_TASKS_PER_WORKER = (0, 2, 4, 7)
_INDEX_WORKERS = 365
_OWNERS = (2, 12, 24, 48)
_LAPSE_MS = 12_500
_NOW_MS = 1_000_000


def _worker(number: int) -> model.WorkerInfo:
    """Returns a worker of the usual capacity."""
    return model.WorkerInfo(
        f"centro-a-worker-{number}",
        "centro-a",
        f"centro-a-rack-{number // layouts.WORKERS_PER_RACK}",
        "10.0.0.1:8080",
        "claims-engine",
        _CAPACITY,
    )


def _running_task(worker_id: str, number: int) -> model.RunningTask:
    """Returns a small job task that runs on a worker."""
    task_id = f"centro-a.0123456789abcdef0123~{worker_id}-{number}"
    return model.RunningTask(
        task_id,
        worker_id,
        f"team-{number}",
        "bundles",
        _TASK_RESOURCES,
        task_id,
        1,
    )


def _build_index(workers: int, tasks: int) -> free_index.FreeIndex:
    """Returns an index in which each worker runs a number of tasks."""
    index = free_index.FreeIndex()
    for number in range(workers):
        worker = _worker(number)
        running = [_running_task(worker.worker_id, n) for n in range(tasks)]
        index.add(worker, running)
    return index


@registry.measurement
def free_capacity_index(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the memory of workers and tasks, and the cost of a placement."""
    memory = fitting.Series(
        "index, idle workers", "memory", _PROCESS, "workers", "B"
    )
    cost = fitting.Series(
        "index, 7 of 8 slots used",
        "choose, claim and release",
        _PROCESS,
        "workers",
        "us",
    )
    for workers in scale.pick(_WORKERS):
        size = timing.allocated_bytes(_build_index, workers, 0)
        yield fitting.Point(memory, workers, size)
        yield fitting.Point(cost, workers, _placement_us(workers))
    tasks = fitting.Series(
        "index, 365 workers", "memory", _PROCESS, "tasks", "B"
    )
    for count in scale.pick(_TASKS_PER_WORKER):
        size = timing.allocated_bytes(_build_index, _INDEX_WORKERS, count)
        yield fitting.Point(tasks, count * _INDEX_WORKERS, size)


def _placement_us(workers: int) -> float:
    """Returns the time of a placement and its release in us."""
    index = _build_index(workers, _SLOTS - 1)
    task = model.TaskSpec(
        "t1", "claims", "status", "quick", _TASK_RESOURCES, "claims-engine"
    )

    def decide() -> None:
        chosen = index.choose(task)
        assert chosen is not None
        index.claim(chosen, task)
        index.release(chosen, task.task_id)

    return timing.best_us(decide)


@registry.measurement
def term_barrier(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the cost of one check of the coordinator's barrier."""
    series = fitting.Series("barrier", "is_settled", _PROCESS, "workers", "us")
    for workers in scale.pick(_WORKERS):
        names = [_worker(number).worker_id for number in range(workers)]
        term = model.Term(1, "e1")
        watched = barrier.TermBarrier(term, _LAPSE_MS, _NOW_MS)
        watched.record_list(names, _NOW_MS + 1)
        watched.acknowledge("e1", names, _NOW_MS)
        assert watched.is_settled(["e1"], _NOW_MS + 1)
        yield fitting.Point(
            series,
            workers,
            timing.best_us(watched.is_settled, ["e1"], _NOW_MS + 1),
        )


@registry.measurement
def rules_text(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the parsing cost, size and memory of rules by teams."""
    for teams in scale.pick(_TEAMS):
        text = layouts.rules_text(
            layouts.QUETZAL._replace(
                teams=(
                    *deployment.TEAMS,
                    *(
                        layouts.Team(f"team-{n}", 1, 100)
                        for n in range(teams - len(deployment.TEAMS))
                    ),
                )
            )
        )
        costs = (
            ("parse", "us", timing.best_us(parser.parse, text)),
            ("text", "B", len(text.encode())),
            (
                "memory",
                "B",
                timing.allocated_bytes(parser.parse, text),
            ),
        )
        for measure, unit, value in costs:
            series = fitting.Series("rules", measure, _PROCESS, "teams", unit)
            yield fitting.Point(series, teams, value)


@registry.measurement
def proposed_owners(scale: registry.Scale) -> Iterator[fitting.Point]:
    """Yields the cost of choosing the proposed owner of one worker."""
    series = fitting.Series(
        "rendezvous hashing", "owner of a worker", _PROCESS, "owners", "us"
    )
    for count in scale.pick(_OWNERS):
        owners = [f"centro-a-entry-{number}" for number in range(count)]
        yield fitting.Point(
            series,
            count,
            timing.best_us(
                rendezvous.rendezvous_owner, "centro-a-worker-1", owners
            ),
        )
