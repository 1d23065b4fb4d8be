"""Steps for leaders that the store does not confirm."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import json_object
from marigoldgap.cell import authority
from marigoldgap.cell import former_leader
from marigoldgap.cell import leader_row
from marigoldgap.cell import records
from marigoldgap.cell import store
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import stopwatch

_AT_S = 100.0
_LIMITS = {
    "has released": former_leader.released,
    "has stopped starting": former_leader.stopped,
    "was last confirmed at then": former_leader.unconfirmed,
}


class _GatedStore:
    """Store of which transactions wait at a gate."""

    def __init__(self, rows):
        self.gate = asyncio.Event()
        self._rows = rows

    async def transact(self, transaction):
        await self.gate.wait()
        return await self._rows.transact(transaction)


@when("the leader gets no answers to its writes for {seconds:g} s")
def silence_writes(context, seconds):
    context.former = context.world.leader()
    journal = context.former.scheduler.leadership.journal
    context.gated = journal._rows = _GatedStore(journal._rows)
    loops.run(context, asyncio.sleep(seconds))


@when("the leader gets answers to its writes again")
def answer_writes(context):
    context.gated.gate.set()


@given("the first worker does not answer the second fencing token")
def ignore_second_token(context):
    context.world.workers[0].ignored_fence = 2


@when(
    "a job of {tasks:d} tasks of {duration:d} ms on both workers is submitted to"
    " the former leader"
)
def submit_to_both(context, tasks, duration):
    context.tasks = tasks
    body = cell_world.job(tasks, f"ms={duration}", antiAffinity=1)
    status, _ = cell_jobs.submit(
        context, body, cell_jobs.OTHER_JOB, context.former
    )
    assert status == 200, status


@when("the first worker has begun a task")
def first_begun(context):
    worker = context.world.workers[0]
    loops.run(context, loops.until(lambda: worker.starts))


@when("the first worker answers the second fencing token after {seconds:g} s")
def accept_later(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    context.world.workers[0].ignored_fence = 99


@then("each task of the other job was started once")
def each_once(context):
    names = [
        name for worker in context.world.workers for name, _ in worker.starts
    ]
    assert len(names) == len(set(names)) == context.tasks, names


@when("{seconds:g} s pass")
def wait(context, seconds):
    loops.run(context, asyncio.sleep(seconds))


@then(
    "a new job of {tasks:d} tasks completes on the other instances within"
    " {seconds:g} s"
)
def completes_soon(context, tasks, seconds):
    instance = next(
        each for each in context.world.instances if each is not context.former
    )

    async def check():
        status, _ = await context.world.call(
            "POST", cell_jobs.JOB, cell_world.job(tasks), instance
        )
        assert status == 200, status
        await context.world.wait_for_state(cell_jobs.JOB, "completed", instance)

    loops.run(context, stopwatch.within(check(), seconds))


@when("the other instance claims after a heartbeat that it has not seen")
def claim_too_late(context):
    context.former = context.world.leader()
    context.epoch = context.former.scheduler.worker_tracker.epoch
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    election = other._election
    beat = records.HEARTBEAT

    async def claim():
        seen = context.world.store.value(*beat)
        # The next poll finds the present heartbeat overdue.
        with mock.patch.object(
            election, "_is_heartbeat_overdue", return_value=True
        ):
            # The heartbeat changes during the delay before the claim.
            with mock.patch.object(type(election), "claim_delay_s", 0.8):
                won = await election._poll()
        assert context.world.store.value(*beat) != seen
        assert won is None

    loops.run(context, claim())


@given("leases that end {seconds:g} s after the latest confirmation")
def short_lease_period(context, seconds):
    patch = mock.patch.object(authority, "LEASE_PERIOD_S", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@given("the other instance does not vouch for the leader")
def refuse_to_vouch(context):
    leader = context.world.leader()
    for instance in context.world.instances:
        if instance is not leader:
            instance._election.vouch = lambda epoch: False


@given("the other instance neither vouches for the leader nor takes over")
def refuse_and_withdraw(context):
    refuse_to_vouch(context)
    leader = context.world.leader()
    for instance in context.world.instances:
        if instance is not leader:
            instance._election.withdraw()


@when("the store refuses every call for {seconds:g} s")
def refuse_for(context, seconds):
    context.world.store.refusal = 503
    loops.run(context, asyncio.sleep(seconds))


@then("the task has lapsed")
def has_lapsed(context):
    events = [event.what for event in cell_jobs.history(context)]
    assert events == ["started", "lapsed"], events


@then("the starts of a leader that {ended} end {starts:g} s after 100 s")
def starts_end(context, ended, starts):
    limits = _LIMITS[ended](_AT_S)
    assert round(limits.starts_until_s - _AT_S, 2) == starts, limits


@then("the leases of a leader that {ended} end {leases:g} s after 100 s")
def leases_end(context, ended, leases):
    limits = _LIMITS[ended](_AT_S)
    assert round(limits.leases_until_s - _AT_S, 2) == leases, limits


@given("a leader that was confirmed just now")
def confirmed(context):
    context.authority = authority.Authority(clock.now_s())


@when("it is about to release its leadership")
def about_to_release(context):
    context.authority.stop_starts()


@when("it suspends its starts for an offer")
def suspend(context):
    context.suspended_s = clock.now_s()
    context.authority.suspend_starts()


@when("a heartbeat that was sent before is confirmed")
def confirm_before(context):
    context.authority.confirm(context.suspended_s - 0.1)


@when("a heartbeat that was sent afterwards is confirmed")
def confirm_after(context):
    context.authority.confirm(clock.now_s())


@when("the leader offers its leadership and the other instance {answer}")
def offer(context, answer):
    context.former = context.world.leader()
    (other,) = (
        each for each in context.world.instances if each is not context.former
    )

    async def decline(*_):
        return False

    async def fail(*_):
        raise store.StoreUnknownError("no answer")

    other._election.take_over = decline if answer == "declines" else fail
    scheduler = context.former.scheduler
    # No heartbeat is confirmed after the offer.
    scheduler.leadership.journal._rows = _GatedStore(None)
    epoch = scheduler.worker_tracker.epoch

    async def send():
        await loops.until(lambda: context.former._instances.peers)
        if answer == "refuses the connection":
            other.abort()
        assert not await context.former._offers.offer(epoch)

    loops.run(context, send())


@then("the leader may send starts")
def leader_may(context):
    assert context.former.scheduler.authority.may_start()


@then("the leader may not send starts")
def leader_may_not(context):
    assert not context.former.scheduler.authority.may_start()


@when("the other instance takes the offer of a leader that has stopped")
def take_offer(context):
    leader = context.world.leader()
    (other,) = (each for each in context.world.instances if each is not leader)
    epoch = leader.scheduler.worker_tracker.epoch
    found = []
    serve = other._election._serve

    async def record(won):
        found.append(won)
        await serve(won)

    other._election._serve = record

    async def take():
        election = other._election
        assert await election.take_over(epoch, "test", has_stopped=True)
        await loops.until(lambda: found)

    loops.run(context, take())
    context.won = found[0]


@then("the next leader knows that nothing is started any more")
def nothing_started_any_more(context):
    assert context.won.former.starts_until_s == float("-inf"), context.won


@then("{beats:d} heartbeats of epoch {epoch:d} under its name prove {proof}")
def prove(context, beats, epoch, proof):
    leader = context.world.leader()
    (other,) = (each for each in context.world.instances if each is not leader)
    found = other._election
    found.leader = leader_row.Leader(5, other.settings.name, "", False)
    content = json_object.encode({"epoch": epoch, "beat": beats})
    row = store.Row(records.HEARTBEAT, content, 1)
    is_proved = proof == "that none is left"
    assert found._has_outlasted_former(row) == is_proved


@given("leases of a former leader that end after {seconds:g} s")
def long_former_leases(context, seconds):
    patch = mock.patch.object(authority, "FORMER_LEASES_S", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@then("it may send starts")
def may_send(context):
    assert context.authority.may_start()


@then("it may not send starts")
def may_not_send(context):
    assert not context.authority.may_start()
