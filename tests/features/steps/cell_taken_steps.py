"""Steps for what a task takes of its worker."""

from __future__ import annotations

import operator
import random
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap.cell import fleet
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import worker_capacity
from tests.fixtures import cell_world
from tests.fixtures import loops

_CAPACITY = model.Demand(16_000, 4_096, 4)
_SERVICE = "claims"
_SEEDS = range(40)


@given(
    "a cell with {workers:d} workers and {instances:d} instances whose workers"
    " have {count:d} accelerator"
)
def accelerated_cell(context, workers, instances, count):
    cell_world.start(context, workers, instances)
    for worker in context.world.workers:
        worker.capacity["gpu"] = count
        worker.register()

    def is_known():
        (scheduler,) = context.world.schedulers
        return all(
            each.registration.capacity.accelerators == count
            for each in scheduler.worker_tracker.workers.values()
        )

    loops.run(context, loops.until(is_known))


@when(
    "{count:d} jobs of a task that uses idle cores and {gpu:d} accelerator are"
    " submitted"
)
def submit_accelerated(context, count, gpu):
    context.job_ids = [f"{number:016x}" for number in range(count)]

    async def submit():
        for job_id in context.job_ids:
            body = cell_world.job(1, "ms=300", gpu=gpu, fills=True)
            status, _ = await context.world.call("POST", job_id, body)
            assert status == 200, status

    loops.run(context, submit())


@then("each of the {count:d} jobs is completed")
def all_completed(context, count):
    async def wait():
        for job_id in context.job_ids[:count]:
            await context.world.wait_for_state(job_id, "completed")

    loops.run(context, wait())


@then("no worker ran more than {count:d} of them at the same time")
def ran_at_most(context, count):
    found = [worker.most_running for worker in context.world.workers]
    assert max(found) <= count, found


def _taken(spec, count=1):
    """Returns what tasks take, by the protocol: `fills` leaves out `cpu` only."""
    millicores = 0 if spec.uses_idle_only else spec.demand.millicores
    return [
        count * millicores,
        count * spec.demand.memory_mib,
        count * spec.demand.accelerators,
    ]


def _subtract(free, taken):
    return [amount - need for amount, need in zip(free, taken, strict=True)]


def _worker(number=0):
    registration = model.Registration(
        f"w{number}",
        _SERVICE,
        "127.0.0.1:1",
        "a",
        False,
        _CAPACITY,
        frozenset({"a", "r1"}),
        "r1",
        0,
    )
    worker = fleet.Worker(registration, 0.0)
    worker.contact = fleet.Contact.ANSWERING
    worker.is_rostered = True
    return worker


_SPECS = strategies.builds(
    model.StepSpec,
    strategies.integers(1, 6),
    strategies.builds(
        model.Demand,
        strategies.sampled_from([0, 500, 4_000, 16_000]),
        strategies.sampled_from([0, 100, 2_048]),
        strategies.sampled_from([0, 1, 3]),
    ),
    uses_idle_only=strategies.booleans(),
)


@then("runs, plans and reservations of random steps agree with the protocol")
def sums_agree(context):
    @hypothesis.given(
        strategies.lists(_SPECS, max_size=8), _SPECS, strategies.integers(1, 4)
    )
    def check(started, gang, members):
        worker = _worker()
        planned = worker_capacity.WorkerCapacity(worker)
        expected = list(_CAPACITY)
        added = []
        for number, spec in enumerate(started):
            taken = _taken(spec)
            fits = all(
                need <= amount
                for amount, need in zip(expected, taken, strict=True)
            )
            assert planned.fits(spec, 1.0) == fits, (spec, expected)
            if not fits:
                continue
            planned.take(spec, 1.0)
            run = SimpleNamespace(name=number, step=SimpleNamespace(spec=spec))
            worker.add(run)
            added.append(run)
            expected = _subtract(expected, taken)
            assert worker.free() == planned.free == expected, (spec, expected)
        planned.reserve(gang, members, 2.0, list(planned.free))
        found = planned.unreserved
        assert found == _subtract(expected, _taken(gang, members)), found
        for run in added:
            worker.remove(run)
        assert worker.free() == list(_CAPACITY), worker.free()

    check()


def _random_step(generator, number):
    """Returns the step of a job that waits; some are gangs."""
    demand = model.Demand(
        generator.choice([0, 500, 4_000, 9_000]),
        generator.choice([0, 100, 1_500]),
        generator.choice([0, 0, 1, 2]),
    )
    spec = model.StepSpec(
        generator.randint(1, 8),
        demand,
        estimate_ms=1_000,
        is_gang=generator.random() < 0.3,
        uses_idle_only=generator.random() < 0.5,
    )
    queue = model.Queue("q", "h", "/", _SERVICE, 1, 2, 2.0, 500, True, None)
    record = model.JobRecord(
        f"{number:016x}", queue, "team", 0, model.JobSpec("", (spec,))
    )
    job = jobs.Job(record, queue, 0.0)
    job.open_due(0)
    return job.occurrences[0][0]


def _start(placement, running):
    step, position = placement.step, placement.position
    name = model.RunName(step.task(position), 1)
    run = runs.Run(name, step, placement.worker, 0.0)
    step.waiting.discard(position)
    step.active[position] = run
    placement.worker.add(run)
    running.append(run)


def _end(run):
    run.worker.remove(run)
    del run.step.active[run.name.task.position]


def _check_capacity(running):
    used = {}
    for run in running:
        taken = _taken(run.step.spec)
        sums = used.setdefault(run.worker.worker_id, [0, 0, 0])
        sums[:] = map(sum, zip(sums, taken, strict=True))
    for worker_id, sums in used.items():
        is_within = all(map(operator.le, sums, _CAPACITY))
        assert is_within, (worker_id, sums, _CAPACITY)


def _play(seed):
    """Plans random steps for some seconds; returns the number of starts."""
    generator = random.Random(seed)
    workers = fleet.Fleet()
    for number in range(generator.randint(1, 4)):
        workers.add(_worker(number))
    plans = planner.Planner(workers, run_times.RunTimes())
    steps = []
    running = []
    starts = 0
    for second in range(8):
        steps.append(_random_step(generator, len(steps)))
        waiting = [step for step in steps if step.waiting]
        for placement in plans.plan(waiting, {}, {}, float(second)).placements:
            _start(placement, running)
            starts += 1
        _check_capacity(running)
        for run in [each for each in running if generator.random() < 0.3]:
            _end(run)
            running.remove(run)
    return starts


@then("random plans exceed no capacity")
def plans_fit(context):
    assert sum(map(_play, _SEEDS)) > len(_SEEDS)
