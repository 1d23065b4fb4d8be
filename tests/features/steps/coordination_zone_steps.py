"""Steps and helpers shared by the features of the coordination."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from tests.fixtures import control_world
from tests.fixtures import scenario_loop


def run(context, awaitable):
    """Runs a coroutine on the scenario's loop."""
    return scenario_loop.run(context, awaitable)


def advance(context, milliseconds):
    """Advances the clock of the scenario's world."""
    run(context, context.world.advance(milliseconds))


def advance_until(context, condition, limit_ms):
    """Advances the clock until a condition holds; fails at the limit."""
    for _ in range(limit_ms // 500):
        if condition():
            return
        advance(context, 500)
    assert condition(), context.world.violations


def add_zone(context, zone, names):
    """Adds a zone with four workers."""
    world = context.world
    for index in range(4):
        world.add_worker(f"{zone}-w{index}", zone)
    for name in names.split(", "):
        world.add_instance(name, zone)


@given(
    'a coordinated zone "{zone}" with instances "{names}" and a limit of'
    " {limit:d}"
)
def first_zone(context, zone, names, limit):
    context.world = control_world.ControlWorld()
    context.world.config.set_team("claims", limit)
    add_zone(context, zone, names)
    advance(context, 3_000)


@given('a coordinated zone "{zone}" with instances "{names}"')
def next_zone(context, zone, names):
    add_zone(context, zone, names)
    advance(context, 5_000)


@when('"{name}" dies')
def instance_dies(context, name):
    context.world.net.dead.add(name)


@when('"{name}" is paused for {seconds:d} s and resumed')
def pause_and_resume(context, name, seconds):
    net = context.world.net
    net.paused.add(name)
    advance(context, seconds * 1_000)
    context.world.resume(name)
    advance(context, 5_000)


@then("no invariant was broken")
def no_violation(context):
    assert not context.world.violations, context.world.violations


def refusal(context, awaitable):
    """Awaits a call that must fail and returns its error."""
    error = run(context, scenario_loop.outcome(awaitable))
    assert isinstance(error, errors.MarigoldgapError), error
    return error
