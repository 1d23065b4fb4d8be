"""Steps for run times that are learned from finished runs."""

from __future__ import annotations

import math
import random
import statistics
import tracemalloc
import types
from unittest import mock

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import duration_model
from marigoldgap.cell import fleet
from marigoldgap.cell import former_leader
from marigoldgap.cell import job_tracker
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import run_tracker
from marigoldgap.cell import runs
from marigoldgap.cell import worker_capacity
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

_NOW = 100.0
_MEDIAN_S = 3.0
# Standard deviations of the logarithms of the true times, and of the noise of
# their measurement.
_SPREAD = 0.5
_NOISE = 0.03
# Runs that are not counted while a class is learned.
_LEARNED = 20
# Weight of the latest run in the moving average of earlier versions.
_AVERAGE_SHARE = 0.1


def create_queue(name="q", **fields):
    queue = model.Queue(name, "h", "/", "s", 1, 2, 2.0, 500, True, None)
    return queue._replace(**fields)


def create_job(*specs, queue=None, now=_NOW, times=None):
    record = model.JobRecord(
        "0" * 16, queue or create_queue(), "team", 0, model.JobSpec("", specs)
    )
    job = jobs.Job(record, record.queue, now, times=times)
    job.open_due(0)
    return job


def spec_of(seconds, **fields):
    return model.StepSpec(
        1, model.Demand(1000, 100), estimate_ms=round(seconds * 1000), **fields
    )


def create_step(declared_s, number=0, queue=None, **fields):
    specs = [spec_of(declared_s, **fields)] * (number + 1)
    return create_job(*specs, queue=queue).occurrences[0][number]


def finish(times, step, elapsed_s, worker="w", is_far=False, now=_NOW):
    times.record(step, run_times.FinishedRun(worker, 0, elapsed_s, is_far), now)


@given("runs whose declared times have a log error of {error:g}")
def set_error(context, error):
    context.play = {"error": error}


@given("{percent:g} percent of them take 7 times as long")
def set_tail(context, percent):
    context.play["tail"] = percent / 100


@given("their declared times are too short by a factor of {factor:g}")
def set_factor(context, factor):
    context.play["factor"] = factor


@given("after {count:d} runs they take 3 times as long")
def set_shift(context, count):
    context.play["shift"] = count


def _play(seed, count, error, tail=0.0, factor=1.0, shift=None):
    """Returns declared, former, expected, quantile and measured times."""
    draw = random.Random(seed)
    times = run_times.RunTimes()
    average_s = None
    for number in range(count):
        true_s = _MEDIAN_S * math.exp(draw.gauss(0, _SPREAD))
        declared_s = true_s * math.exp(draw.gauss(0, error)) / factor
        taken_s = true_s * math.exp(draw.gauss(0, _NOISE))
        if draw.random() < tail:
            taken_s *= 7
        if shift is not None and number >= shift:
            taken_s *= 3
        step = create_step(declared_s)
        former_s = declared_s
        if average_s is not None:
            former_s = 0.5 * declared_s + 0.5 * average_s
        yield (
            declared_s,
            former_s,
            times.expected_s(step),
            times.quantile_s(step, 0.85),
            taken_s,
        )
        average_s = taken_s if average_s is None else average_s
        average_s += _AVERAGE_SHARE * (taken_s - average_s)
        finish(times, step, taken_s, f"w{draw.randint(0, 3)}")


@when("{count:d} of them have finished, of {seeds:d} seeds")
def play_runs(context, count, seeds):
    context.played = [
        list(_play(seed, count, **context.play)) for seed in range(seeds)
    ]


def _errors(context, column):
    """Returns the mean log error of the declared, former or expected times."""
    found = [
        abs(math.log(run[-1] / run[column]))
        for runs in context.played
        for run in (runs[_LEARNED:] if len(runs) > _LEARNED else runs)
    ]
    return statistics.fmean(found)


@then(
    "the log error of the expectation is at most {share:g} of that of the"
    " declared times"
)
def beats_declared(context, share):
    expected, declared = _errors(context, 2), _errors(context, 0)
    assert expected <= share * declared, (expected, declared)


@then("at most {share:g} of that of the former moving average")
def beats_average(context, share):
    expected, former = _errors(context, 2), _errors(context, 1)
    assert expected <= share * former, (expected, former)


@then("between {low:g} and {high:g} percent end within the quantile 0.85")
def within_quantile(context, low, high):
    found = [
        run[4] <= run[3] for runs in context.played for run in runs[_LEARNED:]
    ]
    percent = 100 * statistics.fmean(found)
    assert low <= percent <= high, percent


@then(
    "from run {first:d} on the mean log error of the expectation is within"
    " {bias:g}"
)
def has_adapted(context, first, bias):
    for seed, played in enumerate(context.played):
        found = statistics.fmean(
            math.log(run[4] / run[2]) for run in played[first:]
        )
        assert abs(found) <= bias, (seed, found)


@given("a step with a declared time of {seconds:g} s")
def one_step(context, seconds):
    context.times = run_times.RunTimes()
    context.step = create_step(seconds)


@given("a long-running step with a declared time of {seconds:g} s")
def long_running_step(context, seconds):
    context.times = run_times.RunTimes()
    context.step = create_step(seconds, is_long_running=True)


@when("runs of its class take {seconds:g} s each on {count:d} workers")
def finish_runs(context, seconds, count, is_far=False):
    for _ in range(10):
        for number in range(count):
            finish(context.times, context.step, seconds, f"w{number}", is_far)


@when(
    "runs of its class take {seconds:g} s each on {count:d} workers far from"
    " their data"
)
def finish_far_runs(context, seconds, count):
    finish_runs(context, seconds, count, is_far=True)


@when(
    "runs of another step of its queue take {factor:g} times the declared time"
)
def finish_other_step(context, factor):
    for number in range(40):
        declared_s = 1 + number % 7
        step = create_step(declared_s, number=1)
        finish(context.times, step, factor * declared_s, f"w{number % 9}")


@then("its expected time is {seconds:g} s")
def expected_is(context, seconds):
    found = context.times.expected_s(context.step)
    assert math.isclose(found, seconds, rel_tol=0.05), found


@then("its expected time is between {low:g} and {high:g} s")
def expected_between(context, low, high):
    found = context.times.expected_s(context.step)
    assert low <= found <= high, found


@then("its quantile 0.85 is {seconds:g} s")
def quantile_is(context, seconds):
    found = context.times.quantile_s(context.step, 0.85)
    assert math.isclose(found, seconds, rel_tol=0.01), found


@then("the factor far from the data is between {low:g} and {high:g}")
def far_factor(context, low, high):
    found = context.times.far_factor("q")
    assert low <= found <= high, found


@when("runs of {count:d} classes have finished")
def many_classes(context, count):
    steps = [
        create_step(2, queue=create_queue(f"queue-{number}"))
        for number in range(count // 2)
    ]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        context.times = run_times.RunTimes()
        # Each queue is a class as well, for steps without runs.
        for step in steps:
            for seconds in (1.5, 3.0, 1.5, 3.0):
                finish(context.times, step, seconds)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.bytes = after - before


@then("{count:d} classes are kept")
def kept(context, count):
    assert len(context.times) == count, len(context.times)


@then("the learned times take at most {limit:d} MB")
def memory(context, limit):
    assert context.bytes <= limit * 1e6, context.bytes
    print(f"{context.bytes / len(context.times):.0f} bytes for each class")


@then("its expected time is computed once for {count:d} queries")
def computed_once(context, count):
    with mock.patch.object(
        duration_model.Fit,
        "expected_s",
        autospec=True,
        side_effect=duration_model.Fit.expected_s,
    ) as computed:
        for _ in range(count):
            context.times.expected_s(context.step)
    assert computed.call_count == 1, computed.call_count


@given("a job of {count:d} steps of {seconds:g} s in a chain")
def chain(context, count, seconds):
    context.times = run_times.RunTimes()
    context.job = _create_chain(context, count, seconds)
    context.chain = count, seconds
    context.step = context.job.occurrences[0][0]


def _create_chain(context, count, seconds):
    specs = [
        spec_of(seconds, after=(number - 1,) if number else ())
        for number in range(count)
    ]
    return create_job(*specs, times=context.times)


@when("runs of step {number:d} of its queue take {seconds:g} s each")
def finish_chain_step(context, number, seconds):
    # Its first step has runs of its own, so it does not follow the queue.
    for index, step in enumerate(context.job.occurrences[0]):
        taken_s = seconds if index == number else step.spec.estimate_ms / 1000
        for worker in range(40):
            finish(context.times, step, taken_s, f"w{worker % 9}")


@then("the chain from step {number:d} is expected to take {seconds:g} s")
def chain_takes(context, number, seconds):
    found = context.job.occurrences[0][number].chain_s
    assert math.isclose(found, seconds, rel_tol=0.05), found


@then("step {number:d} is {expected} {seconds:g} s after the job was received")
def step_lateness(context, number, expected, seconds):
    found = context.job.occurrences[0][number].lateness(_NOW + seconds)
    assert found.name == expected.replace(" ", "_").upper(), found


@then("the objective of the job is {seconds:g} s")
def objective(context, seconds):
    assert math.isclose(context.job.objective_s, seconds), context.job
    assert math.isclose(context.job.deadline_s, _NOW + seconds), context.job


@then("the objective of a job that is received now is {seconds:g} s")
def new_objective(context, seconds):
    found = _create_chain(context, *context.chain).objective_s
    assert math.isclose(found, seconds, rel_tol=0.05), found


@then("the objective of a job that a tracker receives now is {seconds:g} s")
def tracked_objective(context, seconds):
    leadership = types.SimpleNamespace(
        epoch=1, request_plan=lambda: None, journal=None
    )
    tracker = job_tracker.JobTracker(
        leadership,
        lambda: None,
        {},
        former_leader.FormerLeader(former_leader.released(0.0), 0.0, 0),
        context.times,
    )
    tracker.add(context.job.record, 0)
    [job] = tracker.jobs.values()
    assert math.isclose(job.objective_s, seconds, rel_tol=0.05), job


@given('runs on worker "{slow}" take 4 times as long as on 5 others')
def slow_runs(context, slow):
    step = context.step
    declared_s = step.spec.estimate_ms / 1000
    for _ in range(20):
        finish(context.times, step, 4 * declared_s, slow)
        for number in range(5):
            finish(context.times, step, declared_s, f"w{number}")


@then(
    'a run of the job on worker "{name}" is expected to take {low:g} to'
    " {high:g} s"
)
def expected_on(context, name, low, high):
    registration = model.Registration(
        name, "s", "", "a", False, model.Demand(9000, 999), frozenset(), "", 0
    )
    worker = fleet.Worker(registration, _NOW)
    step = context.step
    run = runs.Run(model.RunName(step.task(0), 1), step, worker, _NOW)
    worker.add(run)
    capacity = worker_capacity.WorkerCapacity(worker)
    [(ends_s, _)] = capacity.expected_ends(_NOW, context.times)
    assert low <= ends_s - _NOW <= high, ends_s - _NOW


@given("learned times of {count:d} classes and of runs far from their data")
def learned_classes(context, count):
    draw = random.Random(3)
    context.times = run_times.RunTimes()
    context.classes = [
        create_step(
            2, number=number % 3, queue=create_queue(f"queue-{number // 3}")
        )
        for number in range(count)
    ]
    for number, step in enumerate(context.classes):
        for _ in range(5 + (number * 7) % 50):
            declared_s = math.exp(draw.gauss(0, 1))
            run = create_step(declared_s, step.number, step.job.queue)
            taken_s = 3 * declared_s * math.exp(draw.gauss(0, 0.4))
            finish(context.times, run, taken_s, f"w{draw.randint(0, 9)}")
    for _ in range(9):
        finish(context.times, context.classes[0], 60, is_far=True)


@when("they are encoded and restored")
def restore_times(context):
    context.content = context.times.encode()
    assert not context.times.has_unstored
    context.restored = run_times.RunTimes()
    context.restored.restore(context.content)


@then("every expected time is as before within {percent:g} percent")
def same_expected(context, percent):
    for step in context.classes:
        for share in (0.5, 0.9):
            former = context.times.quantile_s(step, share)
            found = context.restored.quantile_s(step, share)
            assert abs(found / former - 1) <= percent / 100, (former, found)


@then("the factor far from the data is as before")
def same_far_factor(context):
    former = context.times.far_factor("queue-0")
    found = context.restored.far_factor("queue-0")
    assert former > 2, former
    assert math.isclose(found, former, rel_tol=0.01), (former, found)


@then("their row has at most {limit:d} bytes")
def bounded_row(context, limit):
    assert len(context.content) <= limit, len(context.content)


def _run_count(times, step):
    return int(times.explain(step).source.split()[0])


@then("the {count:d} classes with the most runs are kept")
def most_runs_kept(context, count):
    ordered = sorted(
        context.classes,
        key=lambda step: _run_count(context.times, step),
        reverse=True,
    )
    for step in ordered[:count]:
        assert "step" in context.restored.explain(step).source, step


@then("the number of runs of the kept classes is as before")
def same_counts(context):
    for step in context.classes:
        found = context.restored.explain(step)
        if "step" in found.source:
            assert found.source == context.times.explain(step).source


@when("the stored times are {content}")
def malformed_times(context, content):
    context.content = None if content == "nothing" else content.encode()


@then('they are refused as "{code}" and nothing was learned')
def refused(context, code):
    times = run_times.RunTimes()
    try:
        times.restore(context.content)
    except errors.MarigoldgapError as error:
        assert error.code == code, error
    else:
        raise AssertionError("the stored times were restored")
    assert not len(times)


@when(
    "a job of {count:d} tasks that are declared as {declared:d} ms and take"
    " {taken:d} ms completes"
)
def run_job(context, count, declared, taken):
    context.tasks = count
    context.counted = _counted_errors()
    body = cell_world.job(count, f"ms={taken}", estimateMs=declared)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    cell_jobs.wait_everywhere(context, "completed")


def _counted_errors():
    return [
        measures.REGISTRY.get_sample_value(
            "marigoldgap_run_time_error_bucket",
            {"source": source, "le": "+Inf"},
        )
        or 0
        for source in ("declared", "learned")
    ]


@then(
    "the metrics count the errors of {declared:d} declared and {learned:d}"
    " learned times"
)
def errors_counted(context, declared, learned):
    found = [
        after - before
        for before, after in zip(
            context.counted, _counted_errors(), strict=True
        )
    ]
    assert found == [declared, learned], found


def _stored_times(context):
    row = records.TIMES
    return context.world.store.value(row.table, row.partition, row.key)


@when("the learned run times are stored")
def times_stored(context):
    loops.run(
        context,
        loops.until(lambda: b"[8," in (_stored_times(context) or b"")),
    )


@then("it expects such a task to take {low:g} to {high:g} s")
def leader_expects(context, low, high):
    scheduler = context.world.leader().scheduler
    [job] = scheduler.job_tracker.jobs.values()
    step = jobs.Job(job.record, job.queue, _NOW).open(0)[0]
    found = scheduler.times.expected_s(step)
    assert low <= found <= high, found


@given("a malformed row of learned run times")
def malformed_row(context):
    context.rows = [(records.TIMES, b'{"classes": [1]}')]


@then("the row is soon replaced by a readable one")
def row_replaced(context):
    def is_readable():
        try:
            run_times.RunTimes().restore(_stored_times(context))
        except errors.MarigoldgapError:
            return False
        return True

    loops.run(context, loops.until(is_readable))


def _worker(name, rack="r0"):
    registration = model.Registration(
        name, "s", "", "a", False, model.Demand(9000, 999), frozenset(), rack, 0
    )
    return fleet.Worker(registration, _NOW)


@given("a run of a step with 3 tasks that {kind}")
def run_of_kind(context, kind):
    context.times = run_times.RunTimes()
    is_gang = "gang" in kind
    spec = spec_of(
        1,
        is_gang=is_gang,
        same_rack=is_gang,
        is_long_running="long-running" in kind,
    )
    job = create_job(spec._replace(task_count=3))
    step = job.occurrences[0][0]
    jobs_double = mock.MagicMock(jobs={job.job_id: job})
    context.runs = run_tracker.RunTracker(
        mock.MagicMock(),
        jobs_double,
        context.times,
        mock.MagicMock(),
        mock.Mock(),
    )
    name = model.RunName(step.task(0), 1)
    worker = _worker("w0")
    if "resumes" in kind:
        step.keep_saved(0, "half")
    if "another leader" in kind:
        context.run = context.runs.restore(name, step, worker)
    elif "adopted" in kind:
        context.run = context.runs.adopt(
            worker, model.ActiveRun(name, "", 0.0), _NOW
        )
    else:
        context.run = context.runs.begin(name, step, worker)
    context.runs.on_started(context.run)
    if is_gang:
        rack = "r1" if "two racks" in kind else "r0"
        member = context.runs.begin(
            model.RunName(step.task(1), 1), step, _worker("w1", rack)
        )
        context.runs.on_started(member)
    if "that is done" in kind:
        step.mark_done(1)


@when("it ends as {how}")
def ends_as(context, how):
    context.runs.end(context.run, model.EndReason(how), "", "test")


@then("{count:d} runs have taught run times")
def taught(context, count):
    source = context.times.explain(context.run.step).source
    found = 0 if source == "declared" else int(source.split()[0])
    assert found == count, source
