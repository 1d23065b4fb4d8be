"""Steps for requests in the dispatcher."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.dispatch import placement
from marigoldgap.dispatch import wait_estimate
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import model
from tests.fixtures import data_plane
from tests.fixtures import loops

# Deadline of requests whose test is not about deadlines, in milliseconds.
_LONG_DEADLINE_MS = 25_000


def make_task(task_id, **fields):
    values = {
        "task_id": task_id,
        "team": "claims",
        "queue": "status",
        "kind": "quick",
        "resources": model.Resources(),
        "service": "claims-engine",
        "idempotent": False,
        "deadline_ms": clock.monotonic_ms() + 2_000,
        **fields,
    }
    return model.TaskSpec(**values)


def submit(context, task_id, key="", payload=None, **fields):
    task = make_task(task_id, **fields)
    payload = task_id.encode() if payload is None else payload
    return context.plane.dispatcher.submit(task, payload, False, key)


def starts(context):
    return [
        start for worker in context.plane.workers for start in worker.starts
    ]


def ran(context):
    return [task for worker in context.plane.workers for task in worker.ran]


@given("a data plane with {workers:d} scripted worker of {slots:d} slot")
@given("a data plane with {workers:d} scripted workers of {slots:d} slot")
@given("a data plane with {workers:d} scripted worker of {slots:d} slots")
def plane_with_workers(context, workers, slots):
    context.plane = data_plane.Plane(workers, slots)
    loops.run(context, context.plane.start())


@given(
    "a data plane with {workers:d} scripted worker of {slots:d} slot "
    "and a queue of {capacity:d}"
)
def plane_with_queue(context, workers, slots, capacity):
    # A single team may occupy half of the queue.
    settings = {"queue": {"capacity": capacity}}
    context.plane = data_plane.Plane(workers, slots, settings=settings)
    loops.run(context, context.plane.start())


@given('the scripted workers answer a stop with "{state}"')
def stop_answers(context, state):
    for worker in context.plane.workers:
        worker.stop_state = state


def _dispatch_with_fault(context, fault, idempotent):
    async def dispatch():
        # The worker that gets the first start meets the fault.
        faults = [fault]
        for worker in context.plane.workers:
            worker.faults = faults
        return await submit(context, "t1", idempotent=idempotent)

    context.result = loops.outcome(context, dispatch())


@when('a non-idempotent dispatch meets the fault "{fault}"')
def non_idempotent_fault(context, fault):
    _dispatch_with_fault(context, fault, idempotent=False)


@when('an idempotent dispatch meets the fault "{fault}"')
def idempotent_fault(context, fault):
    _dispatch_with_fault(context, fault, idempotent=True)


@when("an idempotent dispatch is lost once and then refused by all workers")
def lost_then_refused(context):
    async def dispatch():
        faults = ["close before the answer", *["refuse busy"] * 20]
        context.plane.workers[0].faults = faults
        deadline_ms = clock.monotonic_ms() + 300
        return await submit(
            context, "t1", idempotent=True, deadline_ms=deadline_ms
        )

    context.result = loops.outcome(context, dispatch())


@then('the dispatch fails with "{code}" and ran "{ran_value}"')
def dispatch_fails(context, code, ran_value):
    assert getattr(context.result, "code", "") == code, context.result
    assert context.result.ran.value == ran_value


@then("the dispatch gets its own answer")
@then("the next dispatch gets its own answer")
def own_answer(context):
    assert context.result.body == b"answer to t1", context.result


@then("the dispatch gets the answer of the second attempt")
def second_attempt(context):
    own_answer(context)
    assert sorted(starts(context)) == ["t1", "t1.1"]


@then("the stop was confirmed before the second start")
def stop_before_start(context):
    assert context.plane.events == [
        ("start", "t1"),
        ("stop", "t1"),
        ("start", "t1.1"),
    ]


@then("{count:d} start arrived at the scripted workers")
@then("{count:d} starts arrived at the scripted workers")
def starts_arrived(context, count):
    assert len(starts(context)) == count, starts(context)


@then("{count:d} task ran on the scripted workers")
def tasks_ran(context, count):
    assert len(ran(context)) == count, ran(context)


@then("no stop was sent to the scripted workers")
def no_stop(context):
    assert not any(worker.stops for worker in context.plane.workers)


@then("{count:d} task of team claims is counted")
def tasks_counted(context, count):
    assert context.plane.dispatcher.holdings.running("claims") == count


@then("after an inventory without the task no task of team claims is counted")
def settled_by_inventory(context):
    holdings = context.plane.dispatcher.holdings
    epoch = context.plane.workers[0].epoch
    loops.run(context, loops.until(lambda: not holdings.running("claims")))
    assert context.plane.workers[0].epoch > epoch
    assert context.plane.dispatcher.load().free["claims-engine"].slots == 1


@given("a dispatch occupies the only slot")
def occupied_slot(context):
    async def begin():
        context.plane.workers[0].faults = ["hold"]
        context.occupying = asyncio.create_task(submit(context, "first"))
        await loops.until(lambda: "first" in starts(context))

    loops.run(context, begin())


async def free_slot(context):
    context.plane.workers[0].hold.set()
    answer = await context.occupying
    assert answer.body == b"answer to first"


@when("a dispatch with a deadline of {wait_ms:d} ms waits")
def waiting_dispatch(context, wait_ms):
    async def dispatch():
        deadline_ms = clock.monotonic_ms() + wait_ms
        return await submit(context, "t1", deadline_ms=deadline_ms)

    context.result = loops.outcome(context, dispatch())


@then("after the slot is free the expired dispatch has not run")
def expired_not_run(context):
    loops.run(context, free_slot(context))
    context.result = loops.run(context, submit(context, "t2"))
    assert ran(context) == ["first", "t2"]


@when("{count:d} dispatches are made")
def many_dispatches(context, count):
    async def dispatch_all():
        tasks = [
            asyncio.create_task(submit(context, f"t{number}"))
            for number in range(count)
        ]
        await loops.until(lambda: sum(task.done() for task in tasks) == 3)
        await free_slot(context)
        return await asyncio.gather(*tasks, return_exceptions=True)

    context.results = loops.run(context, dispatch_all())


@then('{count:d} of them fail with "{code}" and ran "{ran_value}"')
def some_fail(context, count, code, ran_value):
    failed = [
        result for result in context.results if isinstance(result, Exception)
    ]
    assert [error.code for error in failed] == [code] * count
    assert {error.ran.value for error in failed} == {ran_value}


@then("a wait estimate above the deadline refuses the request")
def refused_early(context):
    estimate = wait_estimate.WaitEstimate()
    for now_ms in range(0, 1_000, 10):
        assert estimate.wait_ms("claims-engine", 1) is None or now_ms > 500
        estimate.record_start("claims-engine", now_ms)
    assert round(estimate.wait_ms("claims-engine", 5)) == 50
    context.plane = data_plane.Plane(1, 1)
    loops.run(context, context.plane.start())
    occupied_slot(context)
    requests = context.plane.dispatcher._parts.requests
    requests._estimate = estimate
    result = loops.outcome(
        context,
        submit(context, "t1", deadline_ms=clock.monotonic_ms() + 5),
    )
    assert isinstance(result, errors.OverloadedError), result
    assert result.ran is errors.Ran.NO
    assert requests.is_empty


@when("a waiting dispatch is cancelled and the slot is freed")
def cancel_waiting(context):
    async def cancel():
        waiting = asyncio.create_task(submit(context, "gone"))
        await loops.until(lambda: context.plane.dispatcher.load().waiting)
        waiting.cancel()
        await asyncio.wait([waiting])
        await free_slot(context)
        return await submit(context, "t1")

    context.result = loops.outcome(context, cancel())
    assert "gone" not in starts(context)


@then("random arrivals exceed neither {slots:d} slots nor a limit of {limit:d}")
def never_exceeded(context, slots, limit):
    async def arrive(batch, delays):
        plane = context.plane
        plane.workers[0].faults = ["short run"] * len(delays)
        peak = 0

        async def one(number, delay):
            nonlocal peak
            await asyncio.sleep(delay / 1_000)
            team = "claims" if number % 2 else "desk"
            running = asyncio.create_task(
                submit(
                    context,
                    f"b{batch}-{number}",
                    team=team,
                    deadline_ms=clock.monotonic_ms() + _LONG_DEADLINE_MS,
                )
            )
            peak = max(peak, plane.dispatcher.holdings.running(team))
            return await running

        await asyncio.gather(
            *(one(number, delay) for number, delay in enumerate(delays))
        )
        for team in ("claims", "desk"):
            assert plane.dispatcher.holdings.running(team) == 0
        assert peak <= limit
        assert plane.workers[0].peak <= slots

    context.plane = data_plane.Plane(1, slots, limit)
    loops.run(context, context.plane.start())
    batches = iter(range(1_000))

    @hypothesis.settings(max_examples=8)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 20), min_size=8, max_size=24)
    )
    def check(delays):
        loops.run(context, arrive(next(batches), delays))

    check()


@given("a job task runs on the scripted worker")
def job_task_runs(context):
    task = make_task("j1", kind="batch", job_id="job", deadline_ms=None)

    async def place():
        # The first unit of a team is granted after the first call.
        await context.plane.dispatcher.place_job_task(task, b"")
        await asyncio.sleep(0.01)
        return await context.plane.dispatcher.place_job_task(task, b"")

    outcome = loops.run(context, place())
    assert outcome.worker_id == "w1", outcome


@when("the scripted worker is granted to another instance")
def granted_elsewhere(context):
    context.plane.workers[0].held_by = "entry-2"
    loops.run(context, loops.until(lambda: not context.plane.fleet.owned()))


@then("no task is counted after the coordinator settles the worker")
def settled_by_coordinator(context):
    holdings = context.plane.dispatcher.holdings
    held = holdings.holding("claims")
    holdings.drop_orphaned(["w1"])
    assert holdings.running("claims") == 0
    assert holdings.holding("claims") == held - 1


class _UnlimitedHoldings:
    """Grants a unit to every task."""

    def may_start(self, team):
        return True

    def start(self, team):
        pass

    def reclaim(self, worker_id, teams):
        pass

    def finish(self, team):
        pass

    def adopt(self, team):
        pass


@given("a placement on a worker of 1 slot")
def place_task(context):
    context.worker_info = model.WorkerInfo(
        "w1", "centro-a", "r1", "127.0.0.1:1", "svc", model.Resources(1, 8)
    )
    index = free_index.FreeIndex()
    context.placement = placement.Placement(index, _UnlimitedHoldings())
    context.placement.acquired(context.worker_info, [])
    task = model.TaskSpec(
        "t1", "claims", "q", "quick", model.Resources(), "svc"
    )
    assert context.placement.try_place(task) == "w1"
    context.placement.check_current("t1")


@when("the worker is reacquired with another task on it")
def reacquire_worker(context):
    other = model.RunningTask("t2", "w1", "desk", "q", model.Resources())
    context.placement.acquired(context.worker_info, [other])


@then('the start of the placement is refused with "{code}"')
def start_refused(context, code):
    try:
        context.placement.check_current("t1")
    except errors.MarigoldgapError as error:
        assert (error.code, error.ran) == (code, errors.Ran.NO)
    else:
        raise AssertionError("the stale placement was accepted")
