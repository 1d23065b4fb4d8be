"""Steps for the evacuation of availability zones."""

from __future__ import annotations

import asyncio
import json
import time

from behave import given
from behave import then
from behave import when

from marigoldgap import clock
from marigoldgap import measures
from marigoldgap.cell import advice_targets
from marigoldgap.cell import evacuation_log
from marigoldgap.cell import evacuations
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress
from marigoldgap.platform import documents
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import log_lines
from tests.fixtures import loops


def _row(zone):
    return "op", "", f"evacuate/{zone}"


@given(
    'a cell with a worker in each of the zones "{zones}" and {instances:d}'
    " instances"
)
def create_cell(context, zones, instances):
    context.job = cell_jobs.JOB
    names = tuple(zones.split())
    cell_world.start(context, len(names), instances, zones=names)


@given("{count:d} other rows before those of evacuations")
def add_rows(context, count):
    for number in range(count):
        context.world.store.put("op", "", f"d{number}", b"{}")


@when('the operator evacuates zone "{zone}"')
@when('the operator evacuates zone ""')
def evacuate(context, zone=""):
    context.world.store.put(*_row(zone), b"{}")


@when('the operator evacuates zone "{zone}" with malformed content')
def evacuate_malformed(context, zone):
    context.world.store.put(*_row(zone), b"\xff[")


@when('the operator ends the evacuation of zone "{zone}"')
def end_evacuation(context, zone):
    context.world.store.drop(*_row(zone))


@when('the evacuation of zone "{zone}" ends and the store forgets its history')
def end_unnoticed(context, zone):
    context.world.store.rows.pop(_row(zone))
    context.world.store.version += 1
    context.world.store.forget_history()


@when("all instances are replaced by {count:d} new ones")
def replace_instances(context, count):
    async def replace():
        for instance in context.world.instances:
            instance.abort()
            instance.serving.cancel()
        context.world.instances.clear()
        for number in range(count):
            await context.world.add_instance(f"n{number}")
        await loops.until(lambda: context.world.schedulers)

    loops.run(context, replace())


def _wait_until_known(context, zones):
    def is_known():
        return all(
            instance._configuration.evacuated_zones == zones
            for instance in context.world.instances
        )

    loops.run(context, loops.until(is_known))


@then('every instance knows the evacuated zones "{zones}"')
@then('every instance knows the evacuated zones ""')
def all_know(context, zones=""):
    _wait_until_known(context, frozenset(zones.split()))


@when("{count:d} tasks are submitted to the cell")
def submit(context, count):
    context.begun_before = _starts(context)
    cell_jobs.submit_tasks(context, count)


def _starts(context):
    """Returns zone and name of the task of each start, in order of time."""
    zones = {each.worker_id: each.zone for each in context.world.workers}
    return [
        (zones[event.worker_id], event.task)
        for event in cell_jobs.history(context)
        if event.what == "started"
    ]


def _later_starts(context, zone):
    """Returns the tasks that have started in a zone since the submission."""
    begun = _starts(context)[len(context.begun_before) :]
    return [task for each, task in begun if each == zone]


@then('the job is completed and nothing started in zone "{zone}"')
def completed_elsewhere(context, zone):
    cell_jobs.wait_everywhere(context, "completed")
    assert not _later_starts(context, zone), _starts(context)
    cell_jobs.check_no_violations(context)


@then('tasks started in zone "{zone}"')
def started_in(context, zone):
    loops.run(context, loops.until(lambda: _later_starts(context, zone)))


_EVACUATED = frozenset({"evacuated"})


def _is_evacuated(worker):
    return worker.registration.zone in _EVACUATED


@given("the first {count:d} workers are in the evacuated zone")
@when("the first {count:d} workers are in the evacuated zone")
def place_in_zone(context, count):
    for worker in context.fleet.values()[:count]:
        worker.registration = worker.registration._replace(zone="evacuated")


@given("the capacity of the last worker shrinks to {cores:d} cores")
def shrink_last(context, cores):
    worker = context.fleet.values()[-1]
    capacity = model.Demand(1000 * cores, 65536, 0)
    worker.registration = worker.registration._replace(capacity=capacity)


@given("a waiting {kind} of {cores:d} cores")
def add_waiting(context, kind, cores):
    if kind == "gang":
        context.execute_steps(
            f"Given a waiting gang of 2 members of {cores} core"
        )
    elif kind == "lone task":
        context.execute_steps(
            "Given a waiting task of 1 core under which 2 workers have crashed"
        )
    else:
        context.execute_steps("Given a waiting gang of 1 members of 1 core")
        step = context.steps_waiting[-1]
        demand = model.Demand(1000 * cores, 100)
        step.spec = step.spec._replace(is_gang=False, demand=demand)


@when("a plan is made during the evacuation")
def plan_evacuated(context):
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    now = 100.0
    context.plan = plans.plan(
        context.steps_waiting, {}, {}, now, evacuated=_EVACUATED
    )
    context.reserved = plans._reserved


@then("{count:d} tasks start, none of them in the evacuated zone")
def placed_elsewhere(context, count):
    placed = context.plan.placements
    assert len(placed) == count, placed
    assert not any(_is_evacuated(each.worker) for each in placed), placed


@then("the plan requests advice on workers, none in the evacuated zone")
def advice_elsewhere(context):
    asked = [name for _, names in context.plan.advice for name in names]
    assert asked
    assert not any(_is_evacuated(context.fleet.get(name)) for name in asked)


@then("the gang holds reservations on {count:d} workers")
def reserved_on(context, count):
    reserved = _reserved(context)
    assert len(reserved) == count, reserved


@then("the gang holds no reservation")
def none_reserved(context):
    assert not context.reserved, context.reserved


@then(
    "the gang holds reservations on {count:d} workers, none in the evacuated"
    " zone"
)
def reserved_elsewhere(context, count):
    reserved_on(context, count)
    for name in context.reserved:
        assert not _is_evacuated(context.fleet.get(name)), context.reserved


def _reserved(context):
    if not hasattr(context, "reserved"):
        plans = planner.Planner(context.fleet, run_times.RunTimes())
        plans.plan(context.steps_waiting, {}, {}, 100.0)
        return plans._reserved
    return context.reserved


@then(
    "a call of that plan asks about {count:d} workers, none in the evacuated"
    " zone"
)
def call_elsewhere(context, count):
    ((step, requested),) = context.plan.advice
    assert any(_is_evacuated(context.fleet.get(name)) for name in requested)
    chosen = advice_targets.choose(
        step, requested, context.fleet, 100.0, _EVACUATED
    )
    assert len(chosen) == count, chosen
    assert not any(_is_evacuated(context.fleet.get(name)) for name in chosen)


@then("its wait reason is {name}")
def waits_as(context, name):
    (step,) = context.steps_waiting
    assert step.wait_reason is step_progress.WaitReason[name], step.wait_reason


# Number of starts that a worker loses at most.
_ALL_STARTS = 1_000
_LARGE_MILLICORES = 32_000


def _worker_in(context, zone):
    return next(each for each in context.world.workers if each.zone == zone)


@given('zone "{zone}" is used first')
def prefer_zone(context, zone):
    """Enlarges the other workers: the one with the least free cores is used."""
    for worker in context.world.workers:
        if worker.zone != zone:
            worker.change_capacity(cpu=_LARGE_MILLICORES)

    def is_known():
        (scheduler,) = context.world.schedulers
        return all(
            known.registration.zone == zone
            or (
                known.registration.capacity.millicores == _LARGE_MILLICORES
                and known.accepts(1e12)
            )
            for known in scheduler.worker_tracker.workers.values()
        )

    loops.run(context, loops.until(is_known))


@when("every instance has learned of it")
def learned(context):
    all_know(context, "a")


@when("another job of {count:d} tasks is submitted after all instances know it")
def submit_other(context, count):
    learned(context)
    context.begun_before = _starts(context)
    status, _ = cell_jobs.submit(
        context, cell_world.job(count), cell_jobs.OTHER_JOB
    )
    assert status == 200, status


@then('nothing has started in zone "{zone}" since the request was known')
def nothing_later(context, zone):
    assert not _later_starts(context, zone), _starts(context)


@then("the first election is the only one")
def one_election(context):
    (scheduler,) = context.world.schedulers
    assert scheduler.worker_tracker.epoch == 1, scheduler.worker_tracker.epoch


@then("the job waits as its zones are evacuated")
def waits_evacuated(context):
    def is_waiting():
        (scheduler,) = context.world.schedulers
        job = scheduler.job_tracker.jobs.get(cell_jobs.JOB)
        return job is not None and [
            step.wait_reason for step in job.occurrences[0]
        ] == [step_progress.WaitReason.EVACUATED]

    loops.run(context, loops.until(is_waiting))
    state = loops.run(context, context.world.state(cell_jobs.JOB))
    assert state == "queued", state
    assert not _starts(context)


@when("a job that fills both zones for long is submitted")
def submit_long(context):
    # Four tasks at a time on each of two workers, for 300 ms.
    body = cell_world.job(80, "ms=300 cpu=4000", cpu=4000)
    status, _ = cell_jobs.submit(context, body)
    assert status == 200, status
    workers = context.world.workers
    loops.run(
        context,
        loops.until(lambda: all(len(each.running) == 4 for each in workers)),
    )


@when(
    'the operator evacuates zone "{zone}" at the moment at which the leader'
    " ends"
)
def evacuate_and_end(context, zone):
    _request(context, zone)
    context.execute_steps("When the leader ends")


@when(
    'the operator evacuates zone "{zone}" and all is paused for {seconds:d} s'
)
def evacuate_and_pause(context, zone, seconds):
    async def pause():
        _request(context, zone)
        time.sleep(seconds)

    loops.run(context, pause())


@when(
    'the operator evacuates zone "{zone}" at the moment at which the leader is'
    " cut off from the store"
)
def evacuate_and_cut(context, zone):
    context.former = context.world.leader()

    async def cut():
        address = cell_world.free_address()
        host, _, port = address.rpartition(":")
        silent = await asyncio.start_server(_keep_silent, host, int(port))
        context.add_cleanup(silent.close)
        context.former._rows._address = address
        _request(context, zone)

    loops.run(context, cut())
    context.world.instances.remove(context.former)

    async def abort():
        context.former.abort()

    context.add_cleanup(lambda: loops.run(context, abort()))


async def _keep_silent(reader, writer):
    while await reader.read(65_536):
        pass
    writer.close()


def _request(context, zone):
    evacuate(context, zone)
    context.requested_s = time.monotonic()
    context.begun_before = _starts(context)


@then(
    'the job is completed, with nothing started in zone "{zone}" since the'
    " request"
)
def completed_since(context, zone):
    completed_elsewhere(context, zone)


@then('nothing starts in zone "{zone}" from {seconds:d} s after the request on')
def nothing_after(context, zone, seconds):
    loops.run(context, asyncio.sleep(seconds + 2))
    late_s = context.requested_s + seconds
    worker_id = _worker_in(context, zone).worker_id
    events = [
        event
        for event in cell_jobs.history(context)
        if event.what == "started" and event.time_s >= late_s
    ]
    assert events
    assert not [each for each in events if each.worker_id == worker_id], events


@given('the worker in zone "{zone}" loses all starts')
@when('the worker in zone "{zone}" loses all starts')
def lose_all(context, zone):
    _worker_in(context, zone).lost_starts = _ALL_STARTS


@when("a start was lost")
def start_lost(context):
    worker = _worker_in(context, "a")
    loops.run(context, loops.until(lambda: worker.lost_starts < _ALL_STARTS))


@then('no further start is sent to zone "{zone}"')
def no_further(context, zone):
    learned(context)
    # A command that was sent before arrives within this time.
    _check_none_sent(context, zone, 0.2, 2)


@then('no further start is sent to zone "{zone}" within {seconds:d} s')
def no_further_within(context, zone, seconds):
    _check_none_sent(context, zone, 0.0, seconds)


@then('no further start is sent to zone "{zone}" from {seconds:g} s on')
def no_further_from(context, zone, seconds):
    _check_none_sent(context, zone, seconds, 2)


def _check_none_sent(context, zone, from_s, seconds):
    worker = _worker_in(context, zone)
    loops.run(context, asyncio.sleep(from_s))
    lost = worker.lost_starts
    assert lost < _ALL_STARTS
    loops.run(context, asyncio.sleep(seconds))
    assert worker.lost_starts == lost, (worker.lost_starts, lost)


@when('the worker in zone "{zone}" is cut off')
def cut_off(context, zone):
    _worker_in(context, zone).cut_off()


@when('the worker in zone "{zone}" is connected again and loses no starts')
def connect(context, zone):
    worker = _worker_in(context, zone)
    worker.lost_starts = 0
    loops.run(context, worker.reconnect())


@when(
    "a gang of {count:d} members that run for {milliseconds:d} ms is submitted"
)
def submit_long_gang(context, count, milliseconds):
    body = cell_world.job(count, f"ms={milliseconds}", gang=True)
    status, _ = cell_jobs.submit(context, body, cell_jobs.OTHER_JOB)
    assert status == 200, status


@when("{count:d} of its members have begun")
def members_begun(context, count):
    world = context.world
    loops.run(context, loops.until(lambda: len(world.fleet_runs) == count))


@then('the other job is completed in zone "{zone}"')
def other_completed_in(context, zone):
    context.execute_steps("Then the other job is completed")
    worker_id = _worker_in(context, zone).worker_id
    done = [
        event.worker_id
        for event in cell_jobs.history(context)
        if event.what == "done"
    ]
    assert set(done) == {worker_id}, done
    cell_jobs.check_no_violations(context)


@when("every instance has learned of both")
def learned_both(context):
    all_know(context, "a b")


def _only_step(context):
    (scheduler,) = context.world.schedulers
    job = scheduler.job_tracker.jobs.get(cell_jobs.JOB)
    return job.occurrences[0][0] if job is not None else None


@when("a worker has crashed under the task and starts are stored late")
def crashed_before(context):
    loops.run(context, loops.until(lambda: _only_step(context)))
    step = _only_step(context)
    step.record_crash(model.RunName(step.task(0), 1))
    (scheduler,) = context.world.schedulers
    tracker = scheduler.worker_tracker
    context.stored = tracker.stored
    context.gate = context.event_loop.create_future()
    tracker.stored = lambda _: context.gate


@when("the task is about to start")
def about_to_start(context):
    step = _only_step(context)
    loops.run(context, loops.until(lambda: step.active))


@when("the start is stored")
def start_stored(context):
    context.world.schedulers[0].worker_tracker.stored = context.stored
    context.gate.set_result(None)


@given("the first worker is cold for {milliseconds:d} ms")
def cool(context, milliseconds):
    worker = context.fleet.values()[0]
    worker.registration = worker.registration._replace(
        cold_until_s=100.0 + milliseconds / 1000
    )


@given("a waiting task of {cores:d} cores that is due in {seconds:d} s")
def add_due(context, cores, seconds):
    add_waiting(context, "task", cores)
    context.steps_waiting[-1].job.deadline_s = 100.0 + seconds


@when("a plan is made {milliseconds:d} ms later")
def plan_later(context, milliseconds):
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    now = 100.0 + milliseconds / 1000
    context.plan = plans.plan(context.steps_waiting, {}, {}, now)


_ORDINALS = ("first", "second")


@then("only the {name} worker is used")
def used_only(context, name):
    used = {each.worker.worker_id for each in context.plan.placements}
    assert used == {f"w{_ORDINALS.index(name)}"}, used


@then("the task that is due in {seconds:d} s runs on the {name} worker")
def due_runs_on(context, seconds, name):
    (placement,) = (
        each
        for each in context.plan.placements
        if each.step.job.deadline_s == 100.0 + seconds
    )
    number = _ORDINALS.index(name)
    assert placement.worker.worker_id == f"w{number}", placement


@when('a registration with "{field}" is read at {seconds:d} s')
@when('a registration with "" is read at {seconds:d} s')
def read_registration(context, seconds, field=""):
    content = f"""{{{field} "service": "claims", "address": "127.0.0.1:1",
        "zone": "a", "state": "ready", "capacity": {{"cpu": 1000}}}}"""
    context.registration = documents.decode_registration(
        "w1", content.encode(), float(seconds)
    )


@then("its worker is cold until {seconds:g} s")
def cold_until(context, seconds):
    assert context.registration.cold_until_s == seconds, context.registration


@then("the stored roster does not have that time")
def cold_not_stored(context):
    stored = records.encode_worker(context.registration)
    assert b"cold" not in stored, stored
    restored = records.decode_worker(stored)
    assert restored == context.registration._replace(cold_until_s=0.0)


@when(
    'the worker in zone "{zone}" registers that it is cold for'
    " {milliseconds:d} ms"
)
def register_cold(context, zone, milliseconds):
    worker = _worker_in(context, zone)
    worker.cold_ms = milliseconds
    worker.register()
    (scheduler,) = context.world.schedulers
    context.known = scheduler.worker_tracker.workers.get(worker.worker_id)
    loops.run(
        context, loops.until(lambda: context.known.registration.cold_until_s)
    )


@then("the leader takes it for cold until {least:d} to {most:d} s from now")
def cold_from_now(context, least, most):
    now = clock.now_s()
    assert context.known.is_cold(now + least)
    assert not context.known.is_cold(now + most)


@given("the log lines are recorded")
def record_log(context):
    context.lines = log_lines.capture(context)


def _logged(context, event, zone):
    return [
        fields
        for found, fields in context.lines
        if found == event and fields["zone"] == zone
    ]


@then(
    'the log says that zone "{zone}" is evacuated and that {count:d} run'
    " remains"
)
def logged_evacuated(context, zone, count):
    instances = len(context.world.instances)
    assert len(_logged(context, "zone_evacuated", zone)) == instances
    loops.run(
        context,
        loops.until(lambda: _logged(context, "zone_evacuating", zone)),
    )
    (fields,) = _logged(context, "zone_evacuating", zone)
    assert fields["runs"] == fields["running"] == count, fields


@then('the log says that zone "{zone}" has returned')
def logged_returned(context, zone):
    all_know(context)
    instances = len(context.world.instances)
    assert len(_logged(context, "zone_returned", zone)) == instances


def _remaining_line(zone):
    return f'marigoldgap_evacuating_runs{{zone="{zone}"}} '


@then(
    "the metrics show {zones:d} evacuated zones and {count:d} runs that remain"
    ' in zone "{zone}"'
)
def measured(context, zones, count, zone):
    text = measures.text().decode()
    assert f"marigoldgap_evacuated_zones {zones}.0\n" in text, text
    assert f"{_remaining_line(zone)}{count}.0\n" in text, text


@then('later {count:d} runs that remain in zone "{zone}"')
def measured_later(context, count, zone):
    line = f"{_remaining_line(zone)}{count}.0\n"
    loops.run(context, loops.until(lambda: line in measures.text().decode()))


@then('the metrics show no runs that remain in zone "{zone}"')
def not_measured(context, zone):
    line = _remaining_line(zone)
    loops.run(
        context, loops.until(lambda: line not in measures.text().decode())
    )


@given("the second worker does not answer")
def second_silent(context):
    context.fleet.values()[1].contact = fleet.Contact.SILENT


@when(
    "the zone and {count:d} further zones are logged each second for"
    " {seconds:d} s"
)
def log_zones(context, count, seconds):
    context.lines = log_lines.capture(context)
    log = evacuation_log.EvacuationLog()
    context.add_cleanup(log.close)
    others = {f"other-{number}" for number in range(count)}
    context.logged_zones = _EVACUATED | others
    context.passes = []
    for second in range(seconds + 1):
        before = len(context.lines)
        log.examine(
            context.fleet.values(), context.logged_zones, 100.0 + second
        )
        context.passes.append(len(context.lines) - before)


@then("each zone was logged {times:d} times, at most {most:d} in a second")
def logged_times(context, times, most):
    for zone in context.logged_zones:
        assert len(_logged(context, "zone_evacuating", zone)) == times, zone
    assert max(context.passes) <= most, context.passes


@then(
    "the zone was logged with {workers:d} workers, {silent:d} silent and"
    " {count:d} long-running runs"
)
def logged_remainder(context, workers, silent, count):
    fields = _logged(context, "zone_evacuating", "evacuated")[0]
    assert fields["workers"] == workers, fields
    assert fields["silent"] == silent, fields
    assert fields["long_running"] == fields["runs"] == count, fields


@given('log lines about a job whose start was refused as "{outcome}"')
def refused_lines(context, outcome):
    lines = [
        {"event": "start_refused", "run": f"{cell_jobs.JOB}.0.0.0#1"},
        {"event": "job_ended", "job": cell_jobs.JOB, "state": "completed"},
    ]
    lines[0]["outcome"] = outcome
    context.texts = [
        json.dumps({"time_ms": number, "instance": "e1", **line})
        for number, line in enumerate(lines)
    ]


@then('the cause names "{text}"')
def cause_names(context, text):
    assert text in context.explanation.cause, context.explanation.cause


@given("a gang of which one member was sent and one was not")
def gang_partly_sent(context):
    context.execute_steps("""
        Given 1 workers with 4 cores each
        And the first 1 workers are in the evacuated zone
        And a waiting gang of 2 members of 1 core
        """)
    (step,) = context.steps_waiting
    (worker,) = context.fleet.values()
    for position in range(2):
        name = model.RunName(step.task(position), 1)
        step.active[position] = runs.Run(name, step, worker, 100.0)
    step.active[0].is_sent = True


@given("its zone was last known not to be evacuated {seconds:g} s ago")
def last_absent(context, seconds):
    context.absent_s = None if seconds == float("inf") else 100.0 - seconds


@given("its evacuation was learned {seconds:g} s ago and requested again now")
def learned_ago(context, seconds):
    context.evacuations = evacuations.Evacuations()
    context.evacuations.replace(_EVACUATED, context.absent_s, 100.0 - seconds)
    context.evacuations.replace(_EVACUATED, 100.0, 100.0)


@then("the start of a member is {result}")
def member_result(context, result):
    (step,) = context.steps_waiting
    withdrawn = {
        context.evacuations.withdraws(run, 100.0)
        for run in step.active.values()
    }
    assert withdrawn == {result == "withdrawn"}, withdrawn
