"""One planning pass of a leader, and the choice of workers for advice."""

from __future__ import annotations

import pytest

from marigoldgap.cell import advice_targets
from marigoldgap.cell import fleet
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress

_NOW = 100.0
_SERVICE = "claims"
_CAPACITY = model.Demand(16_000, 65_536, 0)
_DEMAND = model.Demand(2_000, 5_000, 0)
_ADVISED_WORKERS = 100
_QUEUE = model.Queue(
    "checks",
    "h",
    "/",
    _SERVICE,
    0,
    2,
    2.0,
    500.0,
    True,
    model.PlacementAdvice(10.0, 0.1, 1_500.0),
)


def _fleet(count: int, busy_share: float) -> fleet.Fleet:
    workers = fleet.Fleet()
    for number in range(count):
        registration = model.Registration(
            f"w{number}",
            _SERVICE,
            "127.0.0.1:1",
            "a",
            False,
            _CAPACITY,
            frozenset({"a", f"r{number // 20}"}),
            f"r{number // 20}",
            0,
        )
        worker = fleet.Worker(registration, _NOW)
        worker.contact = fleet.Contact.ANSWERING
        worker.is_rostered = True
        if number < busy_share * count:
            _fill(worker, number)
        workers.add(worker)
    return workers


def _fill(worker: fleet.Worker, number: int) -> None:
    for position in range(8):
        step = _step(1_000_000 + 8 * number + position)
        run = runs.Run(model.RunName(step.task(0), 1), step, worker, _NOW)
        step.active[0] = run
        worker.add(run)


def _step(number: int, is_gang: bool = False) -> step_progress.StepProgress:
    spec = model.StepSpec(4, _DEMAND, estimate_ms=1_000, is_gang=is_gang)
    record = model.JobRecord(
        f"{number:016x}", _QUEUE, "team", 0, model.JobSpec("", (spec,))
    )
    job = jobs.Job(record, _QUEUE, _NOW)
    job.open_due(0)
    return job.occurrences[0][0]


def _advised_steps(
    count: int, worker_count: int
) -> list[step_progress.StepProgress]:
    """Returns steps, half of them with tickets and a few gangs."""
    steps = [_step(number, is_gang=number % 10 == 0) for number in range(count)]
    for number, step in enumerate(steps[::2]):
        for offset in range(_ADVISED_WORKERS):
            worker_id = f"w{(7 * number + offset) % worker_count}"
            step.asked_workers.add(worker_id)
            step.advised_workers[worker_id] = None
            step.tickets[worker_id] = ("t", _NOW + 1.0)
    return steps


@pytest.mark.parametrize("step_count", [100, 1_000])
@pytest.mark.parametrize("worker_count", [300, 1_000, 3_000])
def test_plan_on_full_workers(benchmark, worker_count, step_count):
    """Plans waiting steps, hardly any of which fits."""
    workers = _fleet(worker_count, 1.0)
    steps = _advised_steps(step_count, worker_count)
    planning = planner.Planner(workers, run_times.RunTimes())
    benchmark.pedantic(
        lambda: planning.plan(steps, {}, {}, _NOW), rounds=5, warmup_rounds=1
    )


@pytest.mark.parametrize("worker_count", [300, 1_000, 3_000])
def test_choose_workers_for_advice(benchmark, worker_count):
    """Chooses the workers of one call for advice."""
    workers = _fleet(worker_count, 0.5)
    step = _step(0)
    requested = [f"w{number}" for number in range(_ADVISED_WORKERS)]
    benchmark.pedantic(
        lambda: advice_targets.choose(step, requested, workers, _NOW),
        rounds=20,
        warmup_rounds=1,
    )
