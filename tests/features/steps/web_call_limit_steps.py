"""Steps for the limit of calls."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap.web import call_limit


@given("answers that took {answers} ms")
def note_answers(context, answers):
    context.limit = call_limit.CallLimit()
    for milliseconds in answers.split():
        context.limit.note_answer(int(milliseconds) / 1000)


@when("calls are given up {times:d} times")
def give_up(context, times):
    for _ in range(times):
        context.limit.note_silence(context.limit.limit_s)


@then("the next call may take {least:d} to {most:d} ms")
def check_limit(context, least, most):
    milliseconds = round(context.limit.limit_s * 1000)
    assert least <= milliseconds <= most, milliseconds
