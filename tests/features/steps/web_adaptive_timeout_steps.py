"""Steps for the adaptive timeout of calls."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.web import adaptive_timeout


@given("response times of {responses} ms")
def record_responses(context, responses):
    context.timeout = adaptive_timeout.AdaptiveTimeout()
    for milliseconds in responses.split():
        context.timeout.record_response(int(milliseconds) / 1000)


@when("{count:d} calls time out")
def time_out(context, count):
    for _ in range(count):
        context.timeout.record_timeout(context.timeout.timeout_s)


@then("the next timeout is {min_ms:d} to {max_ms:d} ms")
def check_timeout(context, min_ms, max_ms):
    milliseconds = round(context.timeout.timeout_s * 1000)
    assert min_ms <= milliseconds <= max_ms, milliseconds
