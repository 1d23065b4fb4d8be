"""Steps for the adaptive timeout of calls."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.web import call_limit


@given("response times of {responses} ms")
def record_responses(context, responses):
    context.limit = call_limit.CallLimit()
    for milliseconds in responses.split():
        context.limit.note_answer(int(milliseconds) / 1000)


@when("{count:d} calls time out")
def time_out(context, count):
    for _ in range(count):
        context.limit.note_silence(context.limit.limit_s)


@then("the next timeout is {min_ms:d} to {max_ms:d} ms")
def check_timeout(context, min_ms, max_ms):
    milliseconds = round(context.limit.limit_s * 1000)
    assert min_ms <= milliseconds <= max_ms, milliseconds
