"""Steps for the times of a shutdown."""

from __future__ import annotations

from behave import given
from behave import then

from marigoldgap.cell import deadlines
from marigoldgap.node import loop_monitor
from marigoldgap.node import shutdown

_STEP_S = 0.001


@given("a shutdown of {duration_s:g} s that was requested at {started_s:g} s")
def create_schedule(context, duration_s, started_s):
    context.schedule = shutdown.ShutdownSchedule(started_s, duration_s)


@given("its signal may have waited for {wait_s:g} s before")
def set_wait(context, wait_s):
    context.schedule = context.schedule._replace(waited_s=wait_s)


@given("an event loop that ran at {times} s")
def observe_loop(context, times):
    first_s, *rest_s = (float(each) for each in times.split())
    context.monitor = loop_monitor.LoopMonitor(first_s)
    for now in rest_s:
        context.monitor.observe(now)


@then("an event that is handled at {now:g} s may have waited for {wait_s:g} s")
def may_have_waited(context, now, wait_s):
    longest_wait_s = context.monitor.longest_wait_s(now)
    assert abs(longest_wait_s - wait_s) < _STEP_S, longest_wait_s


@then("a request that arrives at {now:g} s is {decision}")
def decided(context, now, decision):
    assert context.schedule.accepts(now) == (decision == "accepted")


@then("an instance that is {state} at {now:g} s {outcome}")
def ends_or_goes_on(context, state, now, outcome):
    is_complete = context.schedule.is_complete(now, state == "idle")
    assert is_complete == (outcome == "ends")


@then("a submission with the usual deadline that is accepted last is answered")
def last_is_answered(context):
    schedule = context.schedule
    last_s = schedule.started_s
    while schedule.accepts(last_s + _STEP_S):
        last_s += _STEP_S
    answered_s = last_s + deadlines.submission_wait_s(deadlines.DEFAULT_S)
    context.left_s = schedule.answers_until_s - answered_s
    assert context.left_s >= 0, context.left_s


@then(
    "it is accepted until less than {left_s:g} s before that would be too late"
)
def is_accepted_long(context, left_s):
    assert context.left_s < left_s, context.left_s


@then("the last responses are sent within {flush_s:g} s")
def sent_within(context, flush_s):
    assert context.schedule.flush_s <= flush_s + _STEP_S
