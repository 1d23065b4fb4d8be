"""Faults of the table service and the object store."""

from __future__ import annotations

from bench import faults
from marigoldgap import clock

_MAX_DELAY_MS = 3_000
_MAX_LOST_ANSWERS = 10


@faults.fault("store-down")
async def store_down(context: faults.Context) -> None:
    """Makes the store refuse requests, close connections or not answer."""
    if not context.claim("store"):
        return
    outage = context.random.choice(["refuse", "close", "hang"])
    context.record(f"store-down {outage}")
    controls = context.target.controls
    from_ms = clock.monotonic_ms()
    try:
        await controls.table(outage=outage)
        await controls.objects(outage=outage)
        await context.pause(3, 20)
    finally:
        await controls.table(outage="off")
        await controls.objects(outage="off")
        context.record_disturbance("store", "", from_ms)
        context.release("store")


@faults.fault("store-slow")
async def store_slow(context: faults.Context) -> None:
    """Delays every operation of the table service."""
    if not context.claim("store"):
        return
    delay_ms = context.random.randrange(100, _MAX_DELAY_MS)
    context.record(f"store-slow {delay_ms} ms")
    controls = context.target.controls
    from_ms = clock.monotonic_ms()
    try:
        await controls.table(delay_ms=delay_ms)
        await context.pause(3, 15)
    finally:
        await controls.table(delay_ms=0)
        context.record_disturbance("store", "", from_ms)
        context.release("store")


@faults.fault("store-answer-lost")
async def store_answer_lost(context: faults.Context) -> None:
    """Drops the answers of some writes that take effect."""
    count = context.random.randrange(1, _MAX_LOST_ANSWERS)
    context.record(f"store-answer-lost {count}")
    await context.target.controls.table(lose_answers=count)
    await context.pause(1, 3)
    await context.target.controls.table(lose_answers=0)
