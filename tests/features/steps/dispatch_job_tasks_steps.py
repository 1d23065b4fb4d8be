"""Steps for job tasks."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from tests.features.steps import dispatch_requests_steps as requests_steps
from tests.fixtures import data_plane
from tests.fixtures import loops


def job_task(task_id, **fields):
    return requests_steps.make_task(
        task_id,
        kind="batch",
        job_id=f"job-{task_id}",
        deadline_ms=None,
        **fields,
    )


async def get_units(context, team="claims"):
    """Makes sure that the team has units, as a grant comes after a refusal."""
    holdings = context.plane.dispatcher.holdings
    holdings.may_start(team)
    await loops.until(lambda: holdings.holding(team) >= 1)


async def place(context, task_id, **fields):
    await get_units(context)
    task = job_task(task_id, **fields)
    return await context.plane.dispatcher.place_job_task(task, b"")


@when("a job task is placed and a second one is refused for lack of room")
def place_two(context):
    async def run():
        first = await place(context, "j1")
        context.plane.granting.request_holding("claims", 5)
        await asyncio.sleep(0.01)
        return first, await place(context, "j2")

    first, refused = loops.run(context, run())
    assert first.worker_id == "w1", first
    assert refused.refusal == "capacity-exceeded", refused
    assert not refused.unknown


@then("the second one is placed after the worker reported the first one")
def placed_after_report(context):
    async def report():
        context.plane.workers[0].changes.append(
            {"task_id": "j1", "state": "finished", "exit_code": 0}
        )
        holdings = context.plane.dispatcher.holdings
        await loops.until(lambda: not holdings.running("claims"))
        return await place(context, "j2")

    assert loops.run(context, report()).worker_id == "w1"


@when('a job start meets the fault "{fault}"')
def job_start_fault(context, fault):
    async def start():
        faults = [fault]
        for worker in context.plane.workers:
            worker.faults = faults
        return await place(context, "j1")

    context.outcome = loops.run(context, start())


@then('the place outcome is unknown on worker "{worker_id}"')
def unknown_outcome(context, worker_id):
    assert context.outcome.unknown
    assert context.outcome.worker_id == worker_id
    assert not context.outcome.refusal


@then("the place outcome is a placement")
def is_placement(context):
    assert context.outcome.worker_id
    assert not context.outcome.unknown
    assert len(requests_steps.ran(context)) == 1


@when("an urgent job task is placed on the full worker")
def urgent_task(context):
    async def run():
        await place(context, "j1")
        context.plane.granting.request_holding("claims", 5)
        await asyncio.sleep(0.01)
        context.plane.workers[0].stop_state = "checkpointed"
        return await place(context, "j2", urgent=True)

    context.outcome = loops.run(context, run())


@then("the running job task was checkpointed first")
def checkpointed_first(context):
    assert context.outcome.worker_id == "w1", context.outcome
    assert context.plane.events == [
        ("start", "j1"),
        ("stop", "j1"),
        ("start", "j2"),
    ]


@then("reserved room is used once and released room is free again")
def reservations(context):
    async def reserve():
        dispatcher = context.plane.dispatcher
        context.plane.granting.request_holding("claims", 9)
        await asyncio.sleep(0.01)
        tasks = [job_task(f"g{number}") for number in range(3)]
        assert dispatcher.reserve("r1", tasks) == ("g0", "g1")
        assert (await place(context, "j1")).refusal == "capacity-exceeded"
        used = await dispatcher.place_reserved("r1", tasks[0], b"")
        assert used.worker_id == "w1", used
        again = await dispatcher.place_reserved("r1", tasks[0], b"")
        assert again.refusal == "capacity-exceeded"
        dispatcher.release("r1")
        dispatcher.release("r1")
        assert dispatcher.holdings.running("claims") == 1
        assert (await place(context, "j1")).worker_id == "w1"

    loops.run(context, reserve())


class _Quarantine:

    def __init__(self):
        self.ends = []

    def task_ended(self, worker_id, job_id, failed):
        self.ends.append((worker_id, job_id, failed))


@given(
    "a data plane with {workers:d} scripted worker of {slots:d} slot "
    "and a quarantine"
)
def plane_with_quarantine(context, workers, slots):
    context.quarantine = _Quarantine()
    context.plane = data_plane.Plane(
        workers, slots, quarantine=context.quarantine
    )
    loops.run(context, context.plane.start())


@when("a job task fails on the scripted worker")
def job_task_fails(context):
    async def fail():
        await place(context, "j1")
        context.plane.workers[0].changes.append(
            {"task_id": "j1", "state": "failed", "exit_code": 1}
        )
        await loops.until(lambda: context.quarantine.ends)

    loops.run(context, fail())


@then("the quarantine learnt of the failure")
def quarantine_learnt(context):
    assert context.quarantine.ends == [("w1", "job-j1", True)]
    assert context.plane.dispatcher.holdings.running("claims") == 0
