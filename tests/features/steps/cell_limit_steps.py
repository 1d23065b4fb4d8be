"""Steps for the upper limits of workspaces in a planning pass."""

from __future__ import annotations

from behave import given
from behave import when

from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import run_times

_CORE = 1000
_NOW = 100.0
# Workspace of the waiting jobs.
_WORKSPACE = "team"


def _set_demand(step, cores):
    demand = step.spec.demand._replace(millicores=cores * _CORE)
    step.spec = step.spec._replace(demand=demand)


@given("each of them needs {cores:d} cores")
def need_cores(context, cores):
    for step in context.steps_waiting:
        _set_demand(step, cores)


@given("another task of that step waits")
def another_waits(context):
    step = context.steps_running[-1]
    step.spec = step.spec._replace(task_count=2)
    _set_demand(step, 3)
    step.waiting.add(1)
    context.steps_waiting.append(step)


@given("{used:d} of the {limit:d} cores that the workspace may use are in use")
def set_limit(context, used, limit):
    context.usage = {_WORKSPACE: [used * _CORE, 0, 0]}
    context.workspaces = {
        _WORKSPACE: model.Workspace(_WORKSPACE, 9, model.Demand(limit * _CORE))
    }


@when("a plan is made within the limit")
def plan_within_limit(context):
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    context.plan = plans.plan(
        context.steps_waiting, context.usage, context.workspaces, _NOW
    )
