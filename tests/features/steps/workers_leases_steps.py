"""Steps for worker leases."""

from __future__ import annotations

import asyncio
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import errors
from marigoldgap.scheduling import model
from marigoldgap.workers import lease
from marigoldgap.workers import wire
from tests.features.steps import workers_fleet_steps
from tests.features.steps import workers_requests_steps
from tests.fixtures import loops


def _grant(epoch, ttl_ms, now_ms):
    return wire.LeaseAnswer(
        epoch, ttl_ms, now_ms, "first", None, "", False, 0, (), (), ()
    )


@then("for any delays the lease deadline lies before the worker's expiry")
def conservative_mapping(context):
    delays = strategies.integers(0, 10_000)

    @hypothesis.given(
        t0=strategies.integers(0, 10**9),
        offset=strategies.integers(-(10**9), 10**9),
        there=delays,
        back=delays,
        ttl=strategies.integers(1_000, 10_000),
        margin=strategies.integers(1, 900),
    )
    def check(t0, offset, there, back, ttl, margin):
        granted_at = t0 + there
        worker_expiry = granted_at + offset + ttl
        held = lease.WorkerLease(margin)
        grant = _grant(1, ttl, granted_at + offset)
        held.granted(grant, t0, granted_at + back)
        deadline = t0 + ttl - margin
        assert held.has_lapsed(deadline)
        if granted_at + back < deadline:
            permit = held.permit(deadline - 1)
            assert permit.valid_until_ms < worker_expiry
            assert deadline + offset < worker_expiry
        held.close()

    check()


@then("a permit is refused after a lapse, a loss or a new epoch")
def permit_refused(context):
    def refused(permit, now_ms):
        try:
            held.check(permit, now_ms)
        except errors.LeaseLostError:
            return True
        return False

    held = lease.WorkerLease(500)
    held.granted(_grant(1, 4_000, 0), 0, 1)
    permit = held.permit(10)
    assert not refused(permit, 3_499)
    assert refused(permit, 3_500)
    held.granted(_grant(2, 4_000, 0), 0, 1)
    assert refused(permit, 10)
    held.lose()
    assert refused(permit, 10)
    held.close()


@when("the process is paused for longer than the lease")
def pause_process(context):
    # Blocks the event loop, so no renewal can run, as in a paused process.
    time.sleep(workers_fleet_steps.SHORT_LEASE["ttl_ms"] / 1_000 + 0.1)


@given("the worker stops answering lease requests until the lease lapses")
@when("the worker stops answering lease requests until the lease lapses")
def stop_leases(context):
    context.epoch = context.worker.epoch
    context.worker.lease_reachable = False
    lost = loops.until(lambda: "lost" in context.listener.names())
    loops.run(context, lost)


@when("the worker answers lease requests again")
def answer_leases(context):
    context.worker.lease_reachable = True
    loops.run(context, loops.until(context.fleet.owned))


@when("the worker grants its lease to another instance")
def grant_to_other(context):
    context.worker.held_by = "entry-2"
    lost = loops.until(lambda: "lost" in context.listener.names())
    loops.run(context, lost)


@when("the worker restarts with a new incarnation")
def restart_worker(context):
    context.worker.incarnation = "second"
    context.worker.granted_to = ""
    again = loops.until(lambda: context.listener.names().count("acquired") == 2)
    loops.run(context, again)


@when("the worker reports that it is leaving")
def worker_leaves(context):
    context.worker.state = "leaving"
    leaving = loops.until(lambda: "leaving" in context.listener.names())
    loops.run(context, leaving)


@given("a scripted worker that runs a task and has reported a change")
def worker_with_task(context):
    loops.run(context, workers_fleet_steps.start_worker(context))
    task = model.RunningTask(
        "j1", "w1", "claims", "bundles", model.Resources(), "job"
    )
    fields = {**task._asdict(), "resources": task.resources._asdict()}
    context.inventory = (task,)
    context.worker.inventory = [fields]
    context.worker.changes = [
        {"task_id": "j0", "state": "finished", "exit_code": 0}
    ]


@given("a scripted worker that gives no inventory to its first lease")
def worker_without_inventory(context):
    loops.run(context, workers_fleet_steps.start_worker(context))
    context.worker.without_inventory = (1,)


@when("a fleet acquires the scripted worker after a release")
def acquired_after_release(context):
    start = workers_fleet_steps.start_fleet(context, {"renew_ms": 100})
    loops.run(context, start)


@then('the first lease was released before the listener received "{name}"')
def released_first(context, name):
    assert [release["epoch"] for release in context.worker.releases] == [1]
    assert context.listener.names() == [name]
    assert context.fleet.owned()[0].epoch == 2


@when("a fleet acquires the scripted worker")
def fleet_acquires(context):
    start = workers_fleet_steps.start_fleet(context, {"renew_ms": 100})
    loops.run(context, start)
    loops.run(
        context, loops.until(lambda: "changed" in context.listener.names())
    )


@then("the listener got the inventory and then the change")
def inventory_then_change(context):
    assert context.listener.names()[:2] == ["acquired", "changed"]
    assert context.listener.inventories == [context.inventory]
    assert context.listener.calls[1] == ("changed", "j0")


@then('the listener received "{names}"')
def listener_received(context, names):
    assert context.listener.names() == names.split(", ")


@then("the new epoch is higher than the old one")
def epoch_is_higher(context):
    assert context.worker.epoch > context.epoch
    assert context.fleet.owned()[0].epoch == context.worker.epoch


@then("the fleet owns no worker")
def owns_none(context):
    assert context.fleet.owned() == ()


@then('a worker request fails with "{code}" and nothing arrives')
def nothing_arrives(context, code):
    request = workers_requests_steps.run_request(context, "refused")
    result = loops.outcome(context, request)
    assert result.code == code, result
    assert result.ran is errors.Ran.NO
    assert "refused" not in context.worker.starts


@given("a worker request waits for its answer")
def waiting_request(context):
    async def begin():
        context.worker.faults = ["hold"]
        context.waiting = asyncio.create_task(
            workers_requests_steps.run_request(context, "waiting")
        )
        await loops.until(lambda: "waiting" in context.worker.starts)

    loops.run(context, begin())


@when('the fleet hands over the worker by "{means}"')
def hand_over_worker(context, means):
    async def begin():
        if means == "candidates":
            context.fleet.set_candidates([])
        else:
            context.releasing = asyncio.create_task(context.fleet.release())
        await asyncio.sleep(0.05)

    loops.run(context, begin())


@then("the lease is released only after the waiting request was answered")
def released_after_answer(context):
    async def finish():
        renewals = len(context.worker.leases)
        await loops.until(lambda: len(context.worker.leases) > renewals + 2)
        assert context.worker.releases == []
        context.worker.hold.set()
        answer = await context.waiting
        assert answer.body == b"answer to waiting"
        await loops.until(lambda: context.worker.releases)

    loops.run(context, finish())
    assert context.worker.releases[0]["epoch"] == context.worker.epoch
    assert context.fleet.owned() == ()
