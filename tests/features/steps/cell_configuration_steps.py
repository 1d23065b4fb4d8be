"""Steps for changes of the configuration that arrive late."""

from __future__ import annotations

import asyncio
import contextlib

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import configuration_currency
from marigoldgap.cell import store
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import configuration_link
from tests.fixtures import loops

_OPEN_PREFIX = "/open/"
# Prefix, job and API key of a request.
_REQUESTS = {
    "a count of the open queue": (_OPEN_PREFIX, "", None),
    "a count of an unknown queue": ("/none/", "", cell_world.KEY),
    "a count with an unknown key": (cell_world.PREFIX, "", "wrong"),
    "a query in the open queue": (_OPEN_PREFIX, cell_jobs.JOB, None),
}


@given(
    "{count:d} instances that follow the configuration over a link of {rate:d}"
    " Mbit/s"
)
def start_followers(context, count, rate):
    context.followed = configuration_link.ConfigurationLink(count, rate)
    loops.run(context, context.followed.start())
    context.add_cleanup(context.followed.stop)


@when("the operator adds {queues:d} queues")
def add_queues(context, queues):
    context.queues = queues
    context.version = 2
    context.bytes_before = context.followed.link.received_bytes
    _write(context)


@when("{milliseconds:d} ms later the operator changes one queue of them")
def change_queue(context, milliseconds):
    loops.run(context, asyncio.sleep(milliseconds / 1000))
    context.version = 3
    context.queues += 1
    _write(context)


@when("version {version:d} is written")
def write_version(context, version):
    context.version = version
    _write(context)


def _write(context):
    async def write():
        context.written_s = asyncio.get_running_loop().time()
        context.copy_bytes = context.followed.write(
            context.version, context.queues
        )

    loops.run(context, write())


@then("the change is in force in each instance within {milliseconds:d} ms")
def in_force(context, milliseconds):
    async def reach():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                context.written_s + milliseconds / 1000
            ):
                await context.followed.reach(context.version)

    loops.run(context, reach())
    took_ms = [
        round((adopted_s[context.version] - context.written_s) * 1000)
        if context.version in adopted_s
        else None
        for adopted_s in context.followed.adopted_s
    ]
    assert all(
        took is not None and took <= milliseconds for took in took_ms
    ), took_ms


@then("the link has carried less than {copies:d} copies for each instance")
def carried(context, copies):
    carried_bytes = context.followed.link.received_bytes - context.bytes_before
    needed_bytes = len(context.followed.followers) * context.copy_bytes
    assert carried_bytes < copies * needed_bytes, (carried_bytes, needed_bytes)


@when("the configuration is withheld while other calls are {others}")
def withhold(context, others):
    followed = context.followed
    followed.store.holds_configuration = True
    context.other_table = {"answered": "jobs", "unanswered": "op"}[others]
    # An answer that was on its way arrives, and the next call begins.
    loops.run(context, asyncio.sleep(0.1))
    context.calls_before = followed.store.calls.count("/v1/rows-feed")


@then("the call for changes is {outcome} within {milliseconds:d} ms")
def call_repeated(context, outcome, milliseconds):
    followed = context.followed

    async def call_others():
        until_s = asyncio.get_running_loop().time() + milliseconds / 1000
        while asyncio.get_running_loop().time() < until_s:
            with contextlib.suppress(store.StoreError):
                await followed.stores[0].read(context.other_table, "")
            await asyncio.sleep(0.1)

    loops.run(context, call_others())
    calls = followed.store.calls.count("/v1/rows-feed") - context.calls_before
    assert (calls > 0) == (outcome == "repeated"), calls


@given("an open queue")
def add_open_queue(context):
    context.world.store.put(
        "op",
        "",
        "config",
        cell_world.configuration(
            2, further=[cell_world.queue(_OPEN_PREFIX, is_open=True)]
        ),
    )
    loops.run(
        context, _until_answered(context, "a count of the open queue", 200)
    )


@when("the configuration is older than a change may take to be in force")
def wait_outdated(context):
    instance = context.world.instances[0]
    allowed_s = instance.settings.configuration_apply_s
    loops.run(
        context,
        loops.until(lambda: instance.configuration_age_s > allowed_s),
    )


@then("the answer to {request} is {status:d} with a retry time")
def refused(context, request, status):
    answer = loops.run(context, _send(context, request))
    assert answer[0] == status and "retryAfterMs" in answer[1], answer


@then("the answer to {request} is {status:d} soon")
def answered(context, request, status):
    loops.run(context, _until_answered(context, request, status))


async def _send(context, request):
    prefix, job_id, key = _REQUESTS[request]
    headers = (("Authorization", f"Token {key}"),) if key else ()
    return await context.world.call(
        "GET", job_id, headers=headers, prefix=prefix
    )


async def _until_answered(context, request, status):
    while (await _send(context, request))[0] != status:
        await asyncio.sleep(0.02)


@given("a configuration that was confirmed {seconds:g} s ago")
def set_age(context, seconds):
    context.age_s = seconds


@given("a store that last answered {seconds:g} s ago")
def set_silence(context, seconds):
    context.silence_s = seconds


@when("a change must be in force after {seconds:g} s")
def decide(context, seconds):
    context.is_refused = configuration_currency.may_be_superseded(
        context.age_s, context.silence_s, seconds
    )


@then("requests are {decision}")
def decision(context, decision):
    assert context.is_refused == (decision == "refused"), context.is_refused
