"""Steps for the processes of workers to which commands and answers belong."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import recorded_runs
from marigoldgap.cell import step_progress
from marigoldgap.cell import worker_process
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_WORKER = "w0"
_TASK = model.TaskName(cell_jobs.JOB, 0, 0, 0)
_RUN = 4
# Time in which the next process registers, before it accepts connections.
_RESTART_S = 0.2
_LISTEN_DELAY_S = 0.6


@then("the process born at {first:d} is {verdict} the one born at {second:d}")
def told_apart(context, first, verdict, second):
    process = worker_process.WorkerProcess(_WORKER, first)
    is_other = process.is_other(worker_process.WorkerProcess(_WORKER, second))
    assert is_other == (verdict == "another than"), is_other
    # Processes of different workers are never the same.
    assert process.is_other(worker_process.WorkerProcess("w1", second))


class _Runs:
    """Records what becomes of restored runs."""

    def __init__(self):
        self.outcomes = []

    def restore(self, name, step, worker):
        self.outcomes.append("restored")
        return name

    def end(self, run, how, saved, cause):
        self.outcomes.append(how.value)


@given("a worker whose process born at {born_ms:d} answers")
def answering_worker(context, born_ms):
    registration = model.Registration(
        _WORKER,
        "claims",
        "127.0.0.1:1",
        "a",
        False,
        model.Demand(16_000, 65_536, 0),
        frozenset(),
        "",
        born_ms,
    )
    worker = fleet.Worker(registration, 0.0)
    worker.born_ms = born_ms
    context.fleet = fleet.Fleet()
    context.fleet.add(worker)


@when(
    "a start that is recorded for its process born at {born_ms:d} is restored"
)
def restore_start(context, born_ms):
    start = step_progress.RecordedStart(_RUN, _WORKER, born_ms)
    step = SimpleNamespace(
        recorded_starts={_TASK.position: start}, task=lambda position: _TASK
    )
    context.runs = _Runs()
    recorded_runs.restore([step], context.fleet, context.runs)


@then("the run is restored")
def run_restored(context):
    assert context.runs.outcomes == ["restored"], context.runs.outcomes


@then("the run is crashed")
def run_crashed(context):
    assert context.runs.outcomes == ["restored", "crashed"]


@when("{count:d} jobs have been completed one after another")
def complete_jobs(context, count):
    async def complete():
        for number in range(count):
            job_id = f"{0xC0 + number:016x}"
            status, _ = await context.world.call(
                "POST", job_id, cell_world.job(payload="ms=50")
            )
            assert status == 200, status
            await context.world.wait_for_state(job_id, "completed")

    loops.run(context, complete())


@when(
    'the worker that runs a task is replaced by one of kind "{kind}", its'
    " connections {fate}"
)
def replace_worker(context, kind, fate):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.listen_delay_s = _LISTEN_DELAY_S
    worker.restart_kinds = [kind]
    worker.resets_on_crash = fate == "reset"
    worker.silences_on_crash = fate == "silenced"

    async def replace():
        status, _ = await context.world.call(
            "POST", cell_jobs.JOB, cell_world.job(payload="ms=60000")
        )
        assert status == 200, status
        await loops.until(lambda: worker.running)
        # The leader renews the lease of the running task.
        lease_until_ms = worker.lease_until_ms
        await loops.until(lambda: worker.lease_until_ms != lease_until_ms)
        worker.crash()
        await asyncio.sleep(_RESTART_S + _LISTEN_DELAY_S)
        await loops.until(lambda: not worker.is_down)
        assert worker.kind == kind, worker.kind

    loops.run(context, replace())


@then("no end was acknowledged before it was listed")
def acknowledged_in_order(context):
    for worker in context.world.workers:
        assert not worker.early_acknowledgements, worker.early_acknowledgements
