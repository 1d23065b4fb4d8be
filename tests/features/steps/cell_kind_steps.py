"""Steps for workers whose next process is of another kind."""

from __future__ import annotations

from behave import when

from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_RESTART_S = 0.2


@when('the worker crashes and comes back as kind "{kind}" {access}')
def come_back(context, kind, access):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.restart_kinds = [kind]
    worker.is_cut_from_store = access == 'without access to the store'
    former_ms = worker.born_ms

    async def restart():
        worker.crash()
        tracker = context.world.schedulers[0].worker_tracker
        await loops.until(lambda: worker.born_ms != former_ms)
        await loops.until(
            lambda: any(
                known.born_ms == worker.born_ms
                for known in tracker.workers.values()
            )
        )

    loops.run(context, restart())


@when('another process of kind "{kind}" takes its place without a sign')
def replace_silently(context, kind):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.restart_kinds = [kind]
    worker.is_cut_from_store = True
    worker.silences_on_crash = True
    former_ms = worker.born_ms

    async def restart():
        worker.crash()
        await loops.until(lambda: worker.born_ms != former_ms)
        await loops.until(lambda: not worker.is_down)

    loops.run(context, restart())


@when('a job that requires label "{label}" is submitted')
def submit_labelled(context, label):
    status, _ = cell_jobs.submit(context, cell_world.job(requiredLabel=label))
    assert status == 200, status
