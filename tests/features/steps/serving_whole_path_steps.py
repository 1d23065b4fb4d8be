"""Steps that run entry instances against stand-ins, with faults."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from bench import experiment
from bench import faults
from bench import layouts
from bench import load

_RATES = load.Rates(requests_per_s=30, jobs_per_s=2)


@given('the "{layout}" deployment with the seed {seed:d}')
def choose_deployment(context, layout, seed):
    context.deployment = layouts.find(layout)
    context.deployment_seed = seed


@when('work is sent for {duration_s:d} s while "{fault}" happens')
def run_under_fault(context, duration_s, fault):
    plan = experiment.Plan(
        "feature",
        context.deployment,
        context.deployment_seed,
        duration_s,
        faults.names(fault),
        _RATES,
    )
    context.run_result = experiment.execute(
        plan, lambda _: None, lambda _: None
    )


@then("the checker counts no violation")
def no_violation(context):
    verdict = context.run_result.verdict
    assert verdict.passed, (verdict.fields, verdict.violations)


@then("at least {count:d} requests were answered")
def enough_answers(context, count):
    answered = context.run_result.verdict.fields["answered"]
    assert answered >= count, answered
