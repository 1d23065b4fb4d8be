"""Shared steps: a fleet with one scripted worker."""

from __future__ import annotations

import asyncio

from behave import given

from marigoldgap.scheduling import model
from marigoldgap.workers import builder
from tests.fixtures import loops
from tests.fixtures import recording_listener
from tests.fixtures import scripted_worker
from tests.fixtures import settings_fixtures

SHORT_LEASE = {"ttl_ms": 400, "renew_ms": 100, "margin_ms": 100}


def make_task(task_id="t1"):
    return model.TaskSpec(
        task_id=task_id,
        team="claims",
        queue="status",
        kind="quick",
        resources=model.Resources(),
        service="claims-engine",
        idempotent=False,
    )


async def start_worker(context):
    context.worker = scripted_worker.ScriptedWorker()
    await context.worker.start()


async def start_fleet(context, lease):
    settings = settings_fixtures.make_settings(lease=lease)
    context.listener = recording_listener.RecordingListener()
    context.fleet = builder.build_fleet(settings, context.listener)
    context.fleet_task = asyncio.create_task(context.fleet.run())
    context.fleet.set_candidates([context.worker.info])
    await loops.until(context.fleet.owned)


@given("a fleet that owns one scripted worker")
def fleet_with_worker(context):
    loops.run(context, start_worker(context))
    loops.run(context, start_fleet(context, {"renew_ms": 100}))


@given("a fleet that owns one scripted worker with a short lease")
def fleet_with_short_lease(context):
    loops.run(context, start_worker(context))
    loops.run(context, start_fleet(context, SHORT_LEASE))
