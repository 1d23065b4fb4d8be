"""Steps for job tasks."""

from __future__ import annotations

import asyncio

from behave import then
from behave import when

from tests.features.steps import dispatch_requests_steps as requests_steps
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
    """Waits until the team has units; they are granted after a refusal."""
    holdings = context.plane.dispatcher.holdings
    holdings.may_start(team)
    await loops.until(lambda: holdings.holding(team) >= 1)


async def place(context, task_id, **fields):
    await get_units(context)
    task = job_task(task_id, **fields)
    return await context.plane.dispatcher.place_job_task(task, b"")


@when("a job task is placed and a second one is refused for lack of capacity")
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


@when("a job task is placed twice, and once more while draining")
def placed_thrice(context):
    async def run():
        outcomes = [await place(context, "j1"), await place(context, "j1")]
        context.plane.dispatcher.begin_drain()
        return [*outcomes, await place(context, "j1")]

    context.outcomes = loops.run(context, run())


@then("each outcome names the same worker and one start arrived")
def same_worker(context):
    assert len(set(context.outcomes)) == 1, context.outcomes
    assert context.outcomes[0].worker_id
    assert len(requests_steps.starts(context)) == 1


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


@then("reserved capacity is used once and released capacity is free again")
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
        assert again == used
        assert requests_steps.starts(context) == ["g0"]
        unknown = await dispatcher.place_reserved("r1", tasks[2], b"")
        assert unknown.refusal == "capacity-exceeded"
        dispatcher.release("r1")
        dispatcher.release("r1")
        assert dispatcher.holdings.running("claims") == 1
        assert (await place(context, "j1")).worker_id == "w1"

    loops.run(context, reserve())


@when('the tasks of {jobs:d} jobs fail on the scripted worker "{worker_id}"')
def tasks_fail(context, jobs, worker_id):
    async def fail():
        worker = next(
            worker
            for worker in context.plane.workers
            if worker.worker_id == worker_id
        )
        dispatcher = context.plane.dispatcher
        other = next(
            each.worker_id
            for each in context.plane.workers
            if each.worker_id != worker_id
        )
        running = dispatcher.holdings.running
        index = dispatcher._parts.placement.index
        index.set_accepting(other, False)
        for number in range(jobs * 6 if jobs == 1 else jobs):
            task_id = f"f{number}"
            await get_units(context)
            job_id = "job" if jobs == 1 else f"job-{task_id}"
            task = requests_steps.make_task(
                task_id, kind="batch", job_id=job_id, deadline_ms=None
            )
            outcome = await dispatcher.place_job_task(task, b"")
            assert outcome.worker_id == worker_id, outcome
            worker.changes.append(
                {"task_id": task_id, "state": "failed", "exit_code": 1}
            )
            await loops.until(lambda: not running("claims"))
        index.set_accepting(other, True)

    loops.run(context, fail())


@then('"{worker_id}" gets no work until a probe, and one task as the probe')
def only_probes(context, worker_id):
    async def fill():
        quarantine = context.plane.dispatcher.quarantine
        assert quarantine.workers == {worker_id}
        context.plane.granting.request_holding("claims", 9)
        await asyncio.sleep(0.01)
        assert (await place(context, "p1")).worker_id != worker_id
        assert (await place(context, "p2")).refusal == "capacity-exceeded"
        now_ms = quarantine._now_ms
        quarantine._now_ms = lambda: now_ms() + 60_000
        quarantine.open_due_probes()
        assert (await place(context, "p3")).worker_id == worker_id
        quarantine.open_due_probes()
        free = context.plane.dispatcher.load().free["claims-engine"]
        assert free.slots == 0

    loops.run(context, fill())


@then("a probe that succeeds ends the quarantine")
def probe_succeeds(context):
    async def succeed():
        context.plane.workers[0].changes.append(
            {"task_id": "p3", "state": "finished", "exit_code": 0}
        )
        quarantine = context.plane.dispatcher.quarantine
        await loops.until(lambda: not quarantine.workers)
        assert (await place(context, "p4")).worker_id == "w1"

    loops.run(context, succeed())


@then("no worker is in quarantine")
def none_quarantined(context):
    assert not context.plane.dispatcher.quarantine.workers
