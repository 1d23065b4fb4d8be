"""Steps for complete experiments."""

from __future__ import annotations

import os
import pathlib
import signal
import threading
import time

from behave import then
from behave import when

from bench import cluster
from bench import experiment
from bench import layouts
from bench import load
from bench import report
from marigoldgap import errors

_PROGRAM = ("-m", "tests.standins.simple_entry")
_RATES = load.Rates(requests_per_s=30, jobs_per_s=2)
_DURATION_S = 2


def _plan(program):
    # The simple entry instance does not enforce limits.
    teams = tuple(team._replace(limit=100_000) for team in layouts.SINGLE.teams)
    layout = layouts.SINGLE._replace(teams=teams)
    return experiment.Plan(
        "feature", layout, 1, _DURATION_S, [], _RATES, program
    )


def _execute(context, program, show=lambda _: None):
    context.processes_before = _children()
    context.result = None
    context.failure = None
    try:
        context.result = experiment.execute(
            _plan(program), lambda _: None, show
        )
    except (errors.MarigoldgapError, KeyboardInterrupt) as error:
        context.failure = error


def _children():
    """Returns the ids of processes that this process started."""
    found = set()
    for task in pathlib.Path("/proc/self/task").iterdir():
        try:
            found.update((task / "children").read_text().split())
        except FileNotFoundError:
            # The thread ended after it was listed; its child processes are
            # then listed by the main thread.
            continue
    return found


@when('an experiment runs on "single" with the flaw ""')
def run_simple(context):
    _execute(context, _PROGRAM)


@when('an experiment runs on "single" with the flaw "{flaw}"')
def run_flaw(context, flaw):
    _execute(context, (*_PROGRAM, f"--flaw={flaw}"))


@when("an experiment runs with a program that ends at once")
def run_broken(context):
    context.wait_before = cluster.READY_TIMEOUT_S
    cluster.READY_TIMEOUT_S = 3
    try:
        _execute(context, ("-c", "pass"))
    finally:
        cluster.READY_TIMEOUT_S = context.wait_before


@when("an experiment is interrupted while it runs")
def run_interrupted(context):
    interrupted = threading.Event()

    def interrupt(_):
        if not interrupted.is_set():
            interrupted.set()
            os.kill(os.getpid(), signal.SIGINT)

    _execute(context, _PROGRAM, interrupt)
    assert interrupted.is_set(), context.failure
    assert isinstance(context.failure, KeyboardInterrupt), context.failure


@then("the experiment answered work and started as much as was sent")
def answered(context):
    fields = context.result.verdict.fields
    run = context.result.run
    cancelled = {each.token for each in run.jobs if each.cancelled}
    tokens = {each.token for each in run.submissions} - cancelled
    started = {
        record["token"] for record in run.records if record["event"] == "start"
    }
    assert started - cancelled == tokens, started ^ tokens
    assert fields["answered"] == fields["sent"] > 0, fields


@then("the experiment found no violation except repeated runs")
def found_nothing(context):
    # The simple entry instance does not record answers, so repeats of requests
    # with an Idempotency-Key run again.
    found = dict(context.result.verdict.violations)
    found.pop("ran_twice", None)
    found.pop("two_places", None)
    assert not found, found


@then('the experiment found a violation of "{field}"')
def found_field(context, field):
    assert field in context.result.verdict.violations


@then("the experiment left no process behind")
def nothing_left(context):
    deadline_s = time.monotonic() + 5
    while _children() - context.processes_before:
        assert time.monotonic() < deadline_s, _children()
        time.sleep(0.05)


@then("the experiment's report shows its plots")
def report_shows(context):
    page = report.write(context.result.directory)
    text = page.read_text()
    for name in ("waiting", "shares", "link"):
        assert f"({name}.png)" in text
        assert (page.parent / f"{name}.png").stat().st_size > 0


@then('the experiment ended with "{code}" or "{other}"')
def ended_with(context, code, other):
    assert context.failure is not None
    assert context.failure.code in (code, other), context.failure
