"""Steps for the stopwatch of the tests."""

from __future__ import annotations

import asyncio
import time

from behave import then
from behave import when

from tests.fixtures import loops
from tests.fixtures import stopwatch


def _pause(seconds):
    time.sleep(seconds)


def _compute(seconds):
    until_s = time.process_time() + seconds
    while time.process_time() < until_s:
        pass


_BLOCKS = {"pauses": _pause, "computes": _compute}


@when(
    "an operation of {milliseconds:d} ms is timed while the process {blocks}"
    " for {blocked_ms:d} ms"
)
def time_operation(context, milliseconds, blocks, blocked_ms):
    async def operate():
        began_s = time.monotonic()
        await asyncio.sleep(milliseconds / 2000)
        _BLOCKS[blocks](blocked_ms / 1000)
        if blocks == "pauses":
            began_s += blocked_ms / 1000
        left_s = began_s + milliseconds / 1000 - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))

    _, context.took_s = loops.run(context, stopwatch.timed(operate()))


@then("it took between {least:d} and {most:d} ms")
def took_between(context, least, most):
    assert least <= 1000 * context.took_s <= most, context.took_s


@when("an operation of {milliseconds:d} ms must end within {bound_ms:d} ms")
def bound_operation(context, milliseconds, bound_ms):
    async def operate():
        try:
            await stopwatch.within(
                asyncio.sleep(milliseconds / 1000), bound_ms / 1000
            )
        except AssertionError as error:
            return error
        return None

    context.failure = loops.run(context, operate())


@then("it fails")
def has_failed(context):
    assert context.failure is not None
