"""Steps for cells of stand-ins and real instances."""

from __future__ import annotations

import asyncio
import json
import time

from behave import given
from behave import then
from behave import when

from marigoldgap import json_object
from marigoldgap.cell import jobs
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.platform import documents
from tests.fixtures import cell_world
from tests.fixtures import loops

_JOB = "00000000000000a1"
_OTHER_JOB = "00000000000000b2"
_FAST_S = 1.5
# How long a caller waits that does not say (PROTOCOL.md of the users).
_DEADLINE_S = 3.0


def _names(context):
    return [
        start
        for worker in context.world.workers
        for start in worker.starts
        if start[0].startswith(context.job)
    ]


@given("a cell with {workers:d} workers and {instances:d} instances")
def create_cell(context, workers, instances):
    context.job = _JOB
    cell_world.start(context, workers, instances)


def _submit(context, body, job_id=_JOB, instance=None):
    return loops.run(
        context, context.world.call("POST", job_id, body, instance=instance)
    )


@when("a job of {tasks:d} tasks is submitted")
def submit_tasks(context, tasks):
    context.tasks = tasks
    status, _ = _submit(context, cell_world.job(tasks))
    assert status == 200, status


@when('a job with the payload "{payload}" is submitted')
def submit_payload(context, payload):
    context.tasks = 1
    status, _ = _submit(context, cell_world.job(1, payload))
    assert status == 200, status


@when('a job with the payload "{payload}" is submitted and has begun')
def submit_begun(context, payload):
    submit_payload(context, payload)
    loops.run(context, loops.until(lambda: _names(context)))


@when("the same job is submitted {times:d} times on different instances")
def submit_again(context, times):
    context.tasks = 1
    instances = context.world.instances
    context.statuses = [
        _submit(
            context,
            cell_world.job(),
            instance=instances[number % len(instances)],
        )[0]
        for number in range(times)
    ]


@then("every submission is answered with {status:d}")
def all_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then('every instance shows the job as "{state}"')
def shown_everywhere(context, state):
    async def check():
        for instance in context.world.instances:
            await context.world.wait_for_state(_JOB, state, instance)

    loops.run(context, check())


@then("each of its tasks was started once")
def started_once(context):
    names = [name for name, _ in _names(context)]
    assert len(names) == context.tasks == len(set(names)), names
    no_two_places(context)


@then("its task was started {times:d} times")
def started_times(context, times):
    assert len(_names(context)) == times, _names(context)


@then("no task was started")
def none_started(context):
    assert not any(worker.starts for worker in context.world.workers)


@then("no task ran in two places")
def no_two_places(context):
    found = [
        each for worker in context.world.workers for each in worker.violations
    ]
    assert not found, found


@then("a submission with an unknown key is answered with {status:d}")
def unknown_key(context, status):
    answer = loops.run(
        context,
        context.world.call(
            "POST",
            _JOB,
            cell_world.job(),
            headers=(("Authorization", "Token wrong"),),
        ),
    )
    assert answer[0] == status, answer


@then("a submission to an unknown queue is answered with {status:d}")
def unknown_queue(context, status):
    answer = loops.run(
        context, context.world.call("POST", "../none/", cell_world.job())
    )
    assert answer[0] == status, answer


@then("a malformed job is answered with {status:d}")
def malformed(context, status):
    for body in ({}, {"steps": []}, {"steps": [{"count": "many"}]}):
        answer = _submit(context, body)
        assert answer[0] == status, answer


@then("the state of an unknown job is answered with {status:d}")
def unknown_job(context, status):
    answer = loops.run(context, context.world.call("GET", _OTHER_JOB))
    assert answer[0] == status, answer


@when("the job is cancelled")
def cancel(context):
    status, _ = loops.run(context, context.world.call("DELETE", _JOB))
    assert status == 200, status


@then("nothing runs")
def nothing_runs(context):
    loops.run(context, loops.until(lambda: not context.world.fleet_runs))


@when("the key is withdrawn")
def withdraw_key(context):
    content = cell_world.configuration(version=2, keys=())
    context.world.store.put("op", "", "config", content)


@then("a submission is answered with {status:d} soon")
def answered_soon(context, status):
    async def check():
        while True:
            answer = await context.world.call("POST", _JOB, cell_world.job())
            if answer[0] == status:
                return
            await asyncio.sleep(0.05)

    loops.run(context, check())


@when("the store is silent for longer than keys stay confirmed")
def silent_store(context):
    context.world.store.is_silent = True
    instance = context.world.instances[0]
    loops.run(context, loops.until(lambda: instance.configuration_age_s > 3.6))


@when("the store refuses every call")
def refuse(context):
    context.world.store.refusal = 503
    loops.run(context, asyncio.sleep(0.3))


@when("the store refuses every call until the task is done")
def refuse_until_done(context):
    context.world.store.refusal = 503
    worker = context.world.workers[0]
    loops.run(context, loops.until(lambda: worker.ended))
    loops.run(context, asyncio.sleep(0.2))


@when("the store serves again")
def serve_again(context):
    context.world.store.refusal = 0
    context.world.store.delay_s = 0.0
    loops.run(context, asyncio.sleep(0.3))


@then(
    "a submission is answered with {status:d} at once and says when to come"
    " back"
)
def refused_at_once(context, status):
    began = time.monotonic()
    answer = _submit(context, cell_world.job())
    assert answer[0] == status, answer
    assert answer[1]["retryAfterMs"] > 0, answer
    assert time.monotonic() - began < _FAST_S


@when("the store loses the answer of the next write")
def lose_answer(context):
    context.world.store.lost = 1


@when("the elected instance ends")
def elected_ends(context):
    context.former = context.world.elected()
    context.former.abort()
    context.former.serving.cancel()
    context.world.instances.remove(context.former)


@when("the elected instance is asked to stop")
def elected_stops(context):
    context.former = context.world.elected()
    context.former.request_stop()
    context.world.instances.remove(context.former)


@then("another instance schedules")
def another_schedules(context):
    loops.run(context, loops.until(lambda: context.world.scheduler_is_ready(1)))
    assert context.world.elected() is not context.former


@then('the job is shown as "{state}" by the others')
def shown_by_others(context, state):
    shown_everywhere(context, state)


@then("a new job of {tasks:d} tasks is completed by the others")
def new_job(context, tasks):
    submit_tasks(context, tasks)
    shown_everywhere(context, "completed")


@then("every worker obeys the second election")
def second_election(context):
    for worker in context.world.workers:
        assert worker.fences == [1, 2], worker.fences


@given("the worker runs a task of a job that is not known")
def unknown_run(context):
    worker = context.world.workers[0]
    name = f"{_OTHER_JOB}.0.0.0"

    async def begin():
        worker.running[name] = {"run": 1, "spec": "ms=20000"}
        worker._changed.set()
        scheduler = context.world.schedulers[0]
        known = scheduler.workers.workers.get(worker.worker_id)
        await loops.until(lambda: known.unaccounted)

    loops.run(context, begin())
    context.unknown_run = name


@then("no task of it starts before the unknown run has ended")
def waits_for_unknown(context):
    worker = context.world.workers[0]

    async def watch():
        while not worker.starts:
            was_running = context.unknown_run in worker.running
            await asyncio.sleep(0)
        return was_running

    loops.run(context, watch())
    ended = [each[1] for each in worker.ended] + list(worker._refused_runs)
    assert context.unknown_run in ended
    assert context.unknown_run not in worker.running


@given("the workers carry out the next start without an answer")
def unanswered(context):
    for worker in context.world.workers:
        worker.unanswered = 1


@given("one worker refuses starts with {status:d}")
def refusing_worker(context, status):
    context.world.workers[0].refusal = status


@when("the worker that runs it ends")
def worker_ends(context):
    worker = next(each for each in context.world.workers if each.running)
    worker.stop()
    context.world.store.drop("servers", "", worker.worker_id)


@when("one worker says that it is draining")
def draining(context):
    worker = context.world.workers[0]
    worker.is_draining = True
    worker.register()
    scheduler = context.world.schedulers[0]
    known = scheduler.workers.workers.get(worker.worker_id)
    loops.run(context, loops.until(lambda: known.registration.is_draining))


@then("the draining worker started nothing")
def drained(context):
    assert not context.world.workers[0].starts


@when("unreadable entries appear among the workers")
def unreadable(context):
    store = context.world.store
    store.put("servers", "", "x1", b"\xff\xfe")
    store.put("servers", "", "x2", b"[]")
    store.put("servers", "", "x3", json.dumps({"state": "odd"}).encode())
    loops.run(context, asyncio.sleep(0.6))


@given("a stored job whose gang has ended but whose end is not shown yet")
def stored_gang(context):
    configuration = documents.decode_configuration(cell_world.configuration())
    body = json.dumps(cell_world.job(2, gang=True)).encode()
    record = model.JobRecord(
        _JOB, configuration.queues[0], "team", 0, documents.decode_job(body)
    )
    job = jobs.Job(record, record.queue, 0.0)
    job.open_due(0)
    job.occurrences[0][0].mark_done(0)
    context.rows = [
        (records.job_place(_JOB), records.encode_job(record)),
        (records.progress_place(_JOB), json_object.encode(job.encode())),
    ]


@given("a cell with {workers:d} workers and {instances:d} instances around it")
def cell_with_rows(context, workers, instances):
    context.job = _JOB
    cell_world.start(context, workers, instances, context.rows)


@given(
    "a cell with {workers:d} workers and {instances:d} instances that keeps"
    " ended jobs for {seconds:d} s"
)
def forgetful_cell(context, workers, instances, seconds):
    context.job = _JOB
    cell_world.start(context, workers, instances, kept_s=seconds)


@then("the store forgets the job soon")
def forgotten(context):
    def is_forgotten():
        return not any(key == _JOB for _, _, key in context.world.store.rows)

    loops.run(context, loops.until(is_forgotten))


@then("the state of the job is answered with {status:d}")
def job_state_status(context, status):
    answer = loops.run(context, context.world.call("GET", _JOB))
    assert answer[0] == status, answer


@when("the store is silent for {seconds:d} s")
def silent_for(context, seconds):
    context.world.store.is_silent = True
    loops.run(context, asyncio.sleep(seconds))


@when("the worker that runs it obeys a new election {milliseconds:d} ms late")
def obeys_late(context, milliseconds):
    worker = next(each for each in context.world.workers if each.running)
    worker.fence_delay_s = milliseconds / 1000


@when("the other instance takes over while the elected one goes on")
def takes_over(context):
    context.former = context.world.elected()
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    epoch = context.former.scheduler.workers.fence
    assert loops.run(context, other._election.take_over(epoch, "test"))


@when("another job is submitted to the former elected instance at once")
def submit_to_former(context):
    body = cell_world.job(1, "ms=1200")
    status, _ = _submit(context, body, _OTHER_JOB, context.former)
    assert status == 200, status


@then("the other job is completed")
def other_completed(context):
    loops.run(context, context.world.wait_for_state(_OTHER_JOB, "completed"))


@then("the other job was started once")
def other_once(context):
    starts = [
        start
        for worker in context.world.workers
        for start in worker.starts
        if start[0].startswith(_OTHER_JOB)
    ]
    assert len(starts) == 1, starts


@given("the first worker obeys new elections {milliseconds:d} ms late")
def first_obeys_late(context, milliseconds):
    context.world.workers[0].fence_delay_s = milliseconds / 1000


@then("its task was started before the first worker obeyed")
def started_before_fence(context):
    first, second = context.world.workers
    assert second.starts and not first.starts
    assert first.fences == [1], first.fences


@given("an instance joins that starts last")
def joins_last(context):
    async def join():
        elected = context.world.elected()
        await context.world.add_instance("last")
        await loops.until(
            lambda: (
                [each.name for each in elected._instances.peers][:1] == ["last"]
            )
        )

    loops.run(context, join())


@then("the instance that started last schedules")
def last_schedules(context):
    last = context.world.instances[-1]
    loops.run(context, loops.until(lambda: last.scheduler is not None))


@when("every answer of the store takes {milliseconds:d} ms for {seconds:d} s")
def slow_store(context, milliseconds, seconds):
    context.former = context.world.elected()
    context.epoch = context.former.scheduler.workers.fence
    context.world.store.delay_s = milliseconds / 1000
    loops.run(context, asyncio.sleep(seconds))


@when("every answer of the store takes {milliseconds:d} ms")
def slow_answers(context, milliseconds):
    context.world.store.delay_s = milliseconds / 1000


@then("a submission is answered with {status:d} within half of its deadline")
def answered_early(context, status):
    context.tasks = 1
    began = time.monotonic()
    answer = _submit(context, cell_world.job())
    assert answer[0] == status, answer
    assert time.monotonic() - began < _DEADLINE_S / 2


@then("the submission is stored and its job is completed once")
def stored_once(context):
    shown_everywhere(context, "completed")
    started_once(context)


@then("the same instance schedules as before")
def same_schedules(context):
    assert context.former.scheduler is not None
    assert context.former.scheduler.workers.fence == context.epoch


@then('a job named "{job_id}" is accepted')
def named_accepted(context, job_id):
    answer = _submit(context, cell_world.job(), job_id)
    assert answer[0] == 200, answer
    loops.run(context, context.world.wait_for_state(job_id, "completed"))


@then('a submission with the deadline "{text}" is answered with {status:d}')
def deadline_status(context, text, status):
    headers = (
        ("Authorization", f"Token {cell_world.KEY}"),
        ("X-Deadline-Ms", text),
    )
    answer = loops.run(
        context,
        context.world.call("POST", _JOB, cell_world.job(), headers=headers),
    )
    assert answer[0] == status, answer


@then("the job is completed within {seconds:d} s")
def completed_within(context, seconds):
    loops.run(
        context,
        asyncio.wait_for(
            context.world.wait_for_state(_JOB, "completed"), seconds
        ),
    )


@when("the worker that runs it refuses connections for {milliseconds:d} ms")
def refuses_connections(context, milliseconds):
    worker = next(each for each in context.world.workers if each.running)

    async def cut():
        worker.cut_off()
        await asyncio.sleep(milliseconds / 1000)
        await worker.reconnect()

    loops.run(context, cut())


@when("the process of the worker that runs it ends")
def process_ends(context):
    next(each for each in context.world.workers if each.running).stop()


@when(
    "a job is submitted that is due in {milliseconds:d} ms and plans are made"
    " all the time"
)
def submit_timed(context, milliseconds):
    context.submitted = time.monotonic()
    body = {
        **cell_world.job(),
        "startAtMs": int(time.time() * 1000) + milliseconds,
        "repeats": 1,
        "intervalMs": 1000,
    }
    status, _ = _submit(context, body)
    assert status == 200, status
    duty = context.world.schedulers[0]._duty

    async def keep_busy():
        for _ in range(300):
            duty.wake()
            await asyncio.sleep(0.005)
            if _names(context):
                break

    loops.run(context, keep_busy())


@then("its task starts between {least:d} and {most:d} ms after the submission")
def started_between(context, least, most):
    assert _names(context)
    took_ms = 1000 * (time.monotonic() - context.submitted)
    assert least <= took_ms <= most, took_ms


@when('a service with the payload "{payload}" is submitted')
def submit_service(context, payload):
    body = cell_world.job(1, payload, longRunning=True)
    status, _ = _submit(context, body)
    assert status == 200, status


@then("its task is started at least {times:d} times")
def started_at_least(context, times):
    loops.run(context, loops.until(lambda: len(_names(context)) >= times))
    no_two_places(context)


class _SilentStore:
    """Never answers a write."""

    async def transact(self, transaction):
        await asyncio.sleep(60)


@when("a claim of the other instance takes effect late")
def late_claim(context):
    context.former = context.world.elected()
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    epoch = context.former.scheduler.workers.fence
    claim = {
        "epoch": epoch + 1,
        "instance": other.settings.name,
        "address": other.settings.peers_address,
        "is_released": False,
    }
    row = records.ELECTION
    content = json_object.encode(claim)
    # The former instance gets no answers to its writes, so that it goes on.
    context.former.scheduler._duty.journal._rows = _SilentStore()
    context.world.store.put(row.table, row.partition, row.key, content)
    loops.run(
        context,
        loops.until(lambda: other.scheduler and other.scheduler.is_recovered),
    )


@when("the store loses the answers of {count:d} writes")
def lose_answers(context, count):
    context.former = context.world.elected()
    context.epoch = context.former.scheduler.workers.fence
    context.world.store.lost = count
    loops.run(context, loops.until(lambda: not context.world.store.lost))
    loops.run(context, asyncio.sleep(1.0))


@given("an instance that looks at the election every {seconds:d} s")
def rare_looks(context, seconds):
    elected = context.world.elected()
    context.rare = next(
        each for each in context.world.instances if each is not elected
    )
    loops.run(
        context,
        loops.until(lambda: context.rare._election.elected is not None),
    )

    class RareElection(type(context.rare._election)):
        _poll_s = seconds

    context.rare._election.__class__ = RareElection
    # Lets the pause that has begun end.
    loops.run(context, asyncio.sleep(1.3))


@when("the third instance is elected while the former one runs on")
def third_elected(context):
    context.former = context.world.elected()
    third = next(
        each
        for each in context.world.instances
        if each not in (context.former, context.rare)
    )
    epoch = context.former.scheduler.workers.fence
    assert loops.run(context, third._election.take_over(epoch, "test"))
    loops.run(context, loops.until(lambda: context.former.scheduler is None))


@when("a job is submitted to the instance that looks rarely")
def submit_rare(context):
    status, _ = _submit(context, cell_world.job(), _OTHER_JOB, context.rare)
    assert status == 200, status


@then("that instance knows the elected one within {seconds:d} s")
def rare_knows(context, seconds):
    def knows():
        if context.rare.scheduler is not None:
            return True
        elected = context.rare._election.elected
        return elected.instance != context.former.settings.name

    loops.run(context, asyncio.wait_for(loops.until(knows), seconds))
