"""Steps for the decision log and the explanations of jobs from it."""

from __future__ import annotations

import json
import logging
import os

from behave import given
from behave import then
from behave import when

from marigoldgap import decision_log
from marigoldgap import job_explanation
from tests.fixtures import loops

_JOB = "00000000000000a1"


@given("a log that goes to a pipe without a reader")
def pipe_log(context):
    context.reader, context.writer = os.pipe()
    root = logging.getLogger("marigoldgap.decisions")
    saved = list(root.handlers), root.level, root.propagate
    root.handlers[:] = [decision_log._OutputHandler("e1", context.writer)]
    root.setLevel(logging.INFO)
    root.propagate = False

    def restore():
        root.handlers[:], root.level, root.propagate = saved

    context.add_cleanup(restore)


@when("{count:d} events are logged")
def log_many(context, count):
    logger = decision_log.DecisionLogger("part")
    for number in range(count):
        # Few enough lines of each event to reach the size limit of the buffer
        # before the rate limit.
        logger.info(f"event_{number % 100}", number=number, text="x" * 100)
    context.calls = count


@then("all calls returned")
def returned(context):
    assert context.calls


@when("the pipe is read to its end")
def read_pipe(context):
    os.set_blocking(context.reader, False)
    content = b""
    logger = decision_log.DecisionLogger("part")
    for _ in range(50):
        try:
            content += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        logger.info("last")
    os.close(context.writer)
    os.close(context.reader)
    context.lines = [json.loads(line) for line in content.splitlines()]


@then("every line is JSON with time, instance, part and event")
def structured(context):
    assert context.lines
    for line in context.lines:
        assert {"time_ms", "instance", "part", "event"} <= set(line), line


@then("a line states how many were dropped or suppressed")
def losses_stated(context):
    counts = [
        line["count"]
        for line in context.lines
        if line["event"] in ("lines_dropped", "lines_suppressed")
    ]
    assert sum(counts) > 0, context.lines[-3:]


def _line(time_ms, instance, event, **fields):
    entry = {"time_ms": time_ms, "instance": instance, "event": event}
    return json.dumps({**entry, **fields})


@given(
    "log lines of two processes about a job, unordered and mixed with others"
)
def mixed_lines(context):
    run = f"{_JOB}.0.0.0#1"
    context.texts = [
        _line(30, "e2", "run_ended", run=run, worker="w7", how="failed"),
        "prefix " + _line(10, "e1", "job_accepted", job=_JOB),
        "not a log line",
        _line(20, "e2", "run_starting", run=run, worker="w7"),
        _line(25, "e2", "job_ended", job="another", state="completed"),
        _line(
            31, "e2", "job_ended", job=_JOB, state="failed", cause="attempts"
        ),
    ]


@given("log lines about a job that was given up after crashes")
def crashed_lines(context):
    cause = "3 workers crashed under task 0 of step 0"
    context.texts = [
        _line(
            number,
            "e1",
            "run_ended",
            run=f"{_JOB}.0.0.0#{number}",
            worker=f"w{number}",
            how="crashed",
        )
        for number in (1, 2, 3)
    ]
    context.texts.append(
        _line(4, "e1", "job_ended", job=_JOB, state="failed", cause=cause)
    )


@then("the cause names the crashed workers")
def crashed_named(context):
    expected = "failed: 3 workers crashed under task 0 of step 0, on w1, w2, w3"
    assert context.explanation.cause == expected, context.explanation.cause


@given("a log line about a refused request of a job")
def refused_request(context):
    context.texts = [
        _line(
            1,
            "e1",
            "request_refused",
            path=f"/claims/{_JOB}",
            status=503,
            code="store-away",
            cause="store answered 503",
        )
    ]


@when("the job is explained")
def explain(context):
    context.explanation = job_explanation.explain(_JOB, context.texts)


@then("its lines are ordered by time")
def ordered(context):
    times = [line.time_ms for line in context.explanation.lines]
    assert times == [10, 20, 30, 31], times


@then("{count:d} line is counted as unreadable")
def unreadable(context, count):
    assert context.explanation.unreadable == count


@then("the cause names the workers on which the job failed")
def failed_on(context):
    assert "w7" in context.explanation.cause, context.explanation.cause


@then("the cause states that the job was never accepted and why")
def never_accepted(context):
    cause = context.explanation.cause
    assert "never accepted" in cause and "store-away" in cause, cause


@given('log lines about a step that waited {seconds:d} s because it "{reason}"')
def waiting_step(context, seconds, reason):
    context.texts = [
        _line(
            1000 * waited_s,
            "e1",
            "step_waiting",
            step=f"{_JOB}.0.0",
            waited_s=waited_s,
            reason=reason,
        )
        for waited_s in (3, seconds)
    ]


@then(
    'the cause states that the step waited {seconds:d} s because it "{reason}"'
)
def waited_because(context, seconds, reason):
    expected = f"step {_JOB}.0.0 waited {seconds} s: {reason}"
    assert expected in context.explanation.cause, context.explanation.cause


class _RecordList(logging.Handler):
    """Collects log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@when("the state of a job is queried while the store sends malformed answers")
def query_without_store(context):
    context.collected = _RecordList()
    root = logging.getLogger("marigoldgap.decisions")
    root.addHandler(context.collected)
    context.add_cleanup(root.removeHandler, context.collected)
    context.world.store.is_malformed = True
    context.status, _ = loops.run(context, context.world.call("GET", _JOB))


@then("the caller gets {status:d} and the log of the refusal says so")
def logged_status(context, status):
    assert context.status == status, context.status
    [record] = [
        each
        for each in context.collected.records
        if each.getMessage() == "request_refused"
    ]
    assert record.fields["status"] == status, record.fields


@given(
    "log lines about a run that took {took:d} s instead of the expected"
    " {expected:d} s"
)
def long_run(context, took, expected):
    run = f"{_JOB}.0.0.0#1"
    context.texts = [
        _line(
            1,
            "e1",
            "run_starting",
            run=run,
            worker="w7",
            expected_s=expected,
            expected_from="40 runs of step 0 of queue q",
        ),
        _line(
            2,
            "e1",
            "run_ended",
            run=run,
            worker="w7",
            how="done",
            took_s=took,
            expected_s=expected,
        ),
        _line(3, "e1", "job_ended", job=_JOB, state="completed"),
    ]


@then("the cause names the run, its expected time and where that comes from")
def long_run_named(context):
    expected = (
        f"delayed: run {_JOB}.0.0.0#1 took 9 s on w7, expected 3 s"
        " (40 runs of step 0 of queue q)"
    )
    assert context.explanation.cause == expected, context.explanation.cause
