"""Steps for the times of a shutdown."""

from __future__ import annotations

from behave import given
from behave import then

from marigoldgap.node import shutdown


@given("a shutdown of {duration_s:g} s that was requested at {started_s:g} s")
def create_schedule(context, duration_s, started_s):
    context.schedule = shutdown.ShutdownSchedule(started_s, duration_s)


@then("a request that arrives at {now:g} s is {decision}")
def decided(context, now, decision):
    assert context.schedule.accepts(now) == (decision == "accepted")


@then("an instance that is {state} at {now:g} s {outcome}")
def ends_or_goes_on(context, state, now, outcome):
    is_complete = context.schedule.is_complete(now, state == "idle")
    assert is_complete == (outcome == "ends")
