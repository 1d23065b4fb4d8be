"""Steps for leaderships that are transferred to a better placed instance."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import leadership_transfer
from marigoldgap.cell import link_meter
from marigoldgap.cell import records
from tests.fixtures import cell_world
from tests.fixtures import loops


async def _add_near_instance(world, name, rate):
    await world.add_instance(name, rate)
    # The store is near, however slow this machine is.
    world.instances[-1]._election._candidacy._fastest_read_s = 0.0


@given(
    "a cell with {workers:d} workers and an instance on a link of {rate:d}"
    " Mbit/s"
)
def cell_with_thin_leader(context, workers, rate):
    rows = getattr(context, "rows", ())
    cell_world.start(context, workers, 0, rows, is_awaited=False)
    world = context.world

    async def elect():
        await _add_near_instance(world, "first", rate)
        await loops.until(lambda: world.instances[0].scheduler is not None)

    loops.run(context, elect())


@given("another instance on a link of {rate:d} Mbit/s joins")
def other_joins(context, rate):
    world = context.world

    async def join():
        await _add_near_instance(world, "other", rate)
        known = world.instances[0]._instances
        await loops.until(lambda: known.peers)

    loops.run(context, join())


@when("the workers fall silent but stay registered")
def workers_fall_silent(context):
    workers = len(context.world.workers)
    loops.run(
        context, loops.until(lambda: context.world.scheduler_is_ready(workers))
    )
    for worker in context.world.workers:
        worker._is_silent = True


@then("it is still the leader {seconds:d} s later, in epoch {epoch:d}")
def still_leads(context, seconds, epoch):
    _assert_leads(context, context.world.instances[-1], seconds, epoch)


@then(
    "the first instance is still the leader {seconds:d} s later, in epoch"
    " {epoch:d}"
)
def first_still_leads(context, seconds, epoch):
    _assert_leads(context, context.world.instances[0], seconds, epoch)


def _assert_leads(context, instance, seconds, epoch):
    loops.run(context, asyncio.sleep(seconds))
    content = context.world.store.value(*records.ELECTION)
    row = json.loads(content)
    assert row["instance"] == instance.settings.name, row
    assert row["epoch"] == epoch, row


@given("a leader that was elected at {time_s:g} s")
def elected_leader(context, time_s):
    context.policy = leadership_transfer.TransferPolicy(time_s)


@when("it has {restored} the state and {percent:d}% of its workers answer")
def set_state(context, restored, percent):
    context.is_recovered = restored == "restored"
    context.unreachable_share = 1 - percent / 100
    context.link_share = 0.0


@when("it uses {percent:d}% of its link")
def use_link(context, percent):
    context.link_share = percent / 100


@given("a link of {rate:d} Mbit/s")
def create_meter(context, rate):
    context.meter = link_meter.LinkMeter(rate)
    context.meter.share(10.0, 5_000, 7_000)


@when(
    "it has received {received:d} and sent {sent:d} bytes {elapsed:g} s later"
)
def measure(context, received, sent, elapsed):
    context.share = context.meter.share(
        10.0 + elapsed, 5_000 + received, 7_000 + sent
    )


@then("{percent:d}% of it are in use")
def in_use(context, percent):
    assert round(context.share * 100) == percent, context.share


@when("nobody accepts its offer at {time_s:g} s")
def decline(context, time_s):
    context.policy.record_declined(time_s)


@then('it offers its leadership for "{cause}" at {time_s:g} s')
def offers(context, cause, time_s):
    found = context.policy.find_cause(
        time_s,
        context.is_recovered,
        context.unreachable_share,
        context.link_share,
    )
    assert found == cause, found


@then('it offers its leadership for "" at {time_s:g} s')
def offers_not(context, time_s):
    offers(context, "", time_s)
