"""Steps for elections and takeovers in a cell."""

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
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops
from tests.fixtures import stopwatch


@when("the leader ends")
def leader_ends(context):
    context.former = context.world.leader()
    context.former.abort()
    context.former.serving.cancel()
    context.world.instances.remove(context.former)


@when("the leader is asked to stop")
def stop_leader(context):
    context.former = context.world.leader()
    context.former.request_stop()
    context.world.instances.remove(context.former)


@then("another instance is the leader")
def another_is_leader(context):
    loops.run(context, loops.until(lambda: context.world.scheduler_is_ready(1)))
    assert context.world.leader() is not context.former


@then('the other instances show the job as "{state}"')
def shown_by_others(context, state):
    cell_jobs.wait_everywhere(context, state)


@then("a new job of {tasks:d} tasks completes on the other instances")
def new_job(context, tasks):
    cell_jobs.submit_tasks(context, tasks)
    cell_jobs.wait_everywhere(context, "completed")


@then("every worker has accepted the second fencing token")
def accepted_second_token(context):
    for worker in context.world.workers:
        assert worker.fences == [1, 2], worker.fences


@given("the worker runs a task of an unknown job")
def unknown_run(context):
    worker = context.world.workers[0]
    name = f"{cell_jobs.OTHER_JOB}.0.0.0"

    async def begin():
        worker.running[name] = {"run": 1, "spec": "ms=20000"}
        worker._changed.set()
        scheduler = context.world.schedulers[0]
        known = scheduler.worker_tracker.workers.get(worker.worker_id)
        await loops.until(lambda: known.unknown_runs)

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


@given("a stored job whose gang has ended but whose end is not stored")
def stored_gang(context):
    configuration = documents.decode_configuration(cell_world.configuration())
    body = json.dumps(cell_world.job(2, gang=True)).encode()
    record = model.JobRecord(
        cell_jobs.JOB,
        configuration.queues[0],
        "team",
        0,
        documents.decode_job(body),
    )
    job = jobs.Job(record, record.queue, 0.0)
    job.open_due(0)
    job.occurrences[0][0].mark_done(0)
    context.rows = [
        (records.job_row_key(cell_jobs.JOB), records.encode_job(record)),
        (
            records.progress_row_key(cell_jobs.JOB),
            json_object.encode(job.encode()),
        ),
    ]


@given(
    "a cell with {workers:d} workers and {instances:d} instances that restores"
    " it"
)
def cell_with_rows(context, workers, instances):
    context.job = cell_jobs.JOB
    cell_world.start(context, workers, instances, context.rows)


@when(
    "the worker that runs it accepts a new fencing token {milliseconds:d} ms"
    " late"
)
def accept_token_late(context, milliseconds):
    worker = next(each for each in context.world.workers if each.running)
    worker.fence_delay_s = milliseconds / 1000


@when("the other instance takes over while the leader continues")
def takes_over(context):
    context.former = context.world.leader()
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    epoch = context.former.scheduler.worker_tracker.epoch
    assert loops.run(context, other._election.take_over(epoch, "test"))


@when("another job is submitted to the former leader at once")
def submit_to_former(context):
    body = cell_world.job(1, "ms=1200")
    status, _ = cell_jobs.submit(
        context, body, cell_jobs.OTHER_JOB, context.former
    )
    assert status == 200, status


@when(
    "all processes are paused for {milliseconds:d} ms when the new leader knows"
    " the job"
)
def pause_new_leader(context, milliseconds):
    other = next(
        each for each in context.world.instances if each is not context.former
    )

    async def pause():
        await loops.until(
            lambda: other.scheduler
            and cell_jobs.OTHER_JOB in other.scheduler.job_tracker.jobs
        )
        time.sleep(milliseconds / 1000)

    loops.run(context, pause())


@then("the other job is completed")
def other_completed(context):
    loops.run(
        context, context.world.wait_for_state(cell_jobs.OTHER_JOB, "completed")
    )


@then("the other job was started once")
def other_once(context):
    starts = [
        start
        for worker in context.world.workers
        for start in worker.starts
        if start[0].startswith(cell_jobs.OTHER_JOB)
    ]
    assert len(starts) == 1, starts


@given("the first worker accepts new fencing tokens {milliseconds:d} ms late")
def first_accepts_token_late(context, milliseconds):
    context.world.workers[0].fence_delay_s = milliseconds / 1000


@then("its task was started before the first worker accepted the token")
def started_before_token(context):
    first, second = context.world.workers
    assert second.starts and not first.starts
    assert first.fences == [1], first.fences


@given("another instance joins")
def joins_last(context):
    async def join():
        leader = context.world.leader()
        await context.world.add_instance("last")
        await loops.until(
            lambda: (
                [each.name for each in leader._instances.peers][:1] == ["last"]
            )
        )

    loops.run(context, join())


@then("the instance that started last is the leader")
def last_is_leader(context):
    last = context.world.instances[-1]
    loops.run(context, loops.until(lambda: last.scheduler is not None))


@when("every answer of the store takes {milliseconds:d} ms for {seconds:d} s")
def slow_store(context, milliseconds, seconds):
    context.former = context.world.leader()
    context.epoch = context.former.scheduler.worker_tracker.epoch
    context.world.store.delay_s = milliseconds / 1000
    loops.run(context, asyncio.sleep(seconds))


@then("the leader is the same as before")
def same_leader(context):
    assert context.former.scheduler is not None
    assert context.former.scheduler.worker_tracker.epoch == context.epoch


class _SilentStore:
    """Store that never answers a write."""

    async def transact(self, transaction):
        await asyncio.sleep(60)


@when("a claim of the other instance takes effect late")
def late_claim(context):
    context.former = context.world.leader()
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    epoch = context.former.scheduler.worker_tracker.epoch
    claim = {
        "epoch": epoch + 1,
        "instance": other.settings.name,
        "address": other.settings.peers_address,
        "is_released": False,
    }
    row = records.ELECTION
    content = json_object.encode(claim)
    # The former leader gets no answers to its writes, so it does not notice the
    # claim and continues.
    context.former.scheduler.leadership.journal._rows = _SilentStore()
    context.world.store.put(row.table, row.partition, row.key, content)
    loops.run(
        context,
        loops.until(lambda: other.scheduler and other.scheduler.is_recovered),
    )


@when("the store loses the answers of {count:d} writes")
def lose_answers(context, count):
    context.former = context.world.leader()
    context.epoch = context.former.scheduler.worker_tracker.epoch
    context.world.store.lost = count
    loops.run(context, loops.until(lambda: not context.world.store.lost))
    loops.run(context, asyncio.sleep(1.0))


@given("an instance that polls the election every {seconds:d} s")
def poll_rarely(context, seconds):
    leader = context.world.leader()
    context.rare = next(
        each for each in context.world.instances if each is not leader
    )
    loops.run(
        context,
        loops.until(lambda: context.rare._election.leader is not None),
    )

    class RareElection(type(context.rare._election)):
        _poll_interval_s = seconds

    context.rare._election.__class__ = RareElection
    # Waits until the current pause between two polls has ended.
    loops.run(context, asyncio.sleep(1.3))


@when("the third instance is elected while the former leader continues")
def third_elected(context):
    context.former = context.world.leader()
    third = next(
        each
        for each in context.world.instances
        if each not in (context.former, context.rare)
    )
    epoch = context.former.scheduler.worker_tracker.epoch
    assert loops.run(context, third._election.take_over(epoch, "test"))
    loops.run(context, loops.until(lambda: context.former.scheduler is None))


@when("a job is submitted to the instance that polls rarely")
def submit_rare(context):
    status, _ = cell_jobs.submit(
        context, cell_world.job(), cell_jobs.OTHER_JOB, context.rare
    )
    assert status == 200, status


@then("that instance knows the new leader within {seconds:d} s")
def rare_knows(context, seconds):
    def knows():
        if context.rare.scheduler is not None:
            return True
        leader = context.rare._election.leader
        return leader.instance != context.former.settings.name

    loops.run(context, stopwatch.within(loops.until(knows), seconds))


@when("the job of that task is submitted")
def submit_listed(context):
    # With a new event the worker waits again before it sends its next listing.
    context.world.workers[0]._changed = asyncio.Event()
    loops.run(context, asyncio.sleep(0.01))
    body = cell_world.job(1, "ms=20000")
    status, _ = cell_jobs.submit(context, body, cell_jobs.OTHER_JOB)
    assert status == 200, status


@then("no worker starts that task in {seconds:d} s")
def starts_nothing(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    found = [worker.starts for worker in context.world.workers if worker.starts]
    assert not found, found


@when("the other instance takes over while it polls the election")
def takes_over_during_poll(context):
    context.former = context.world.leader()
    other = next(
        each for each in context.world.instances if each is not context.former
    )
    election = other._election
    poll = election._poll
    epoch = context.former.scheduler.worker_tracker.epoch
    has_taken_over = asyncio.Event()

    async def poll_slowly():
        election._poll = poll
        assert await election.take_over(epoch, "test")
        has_taken_over.set()

    async def take_over():
        election._poll = poll_slowly
        await has_taken_over.wait()
        await loops.until(lambda: context.former.scheduler is None)

    loops.run(context, take_over())


@given("the workspace may use {millicores:d} millicores")
def limit_workspace(context, millicores):
    context.limit = millicores
    content = cell_world.configuration(version=2, cap=millicores)
    context.world.store.put("op", "", "config", content)

    async def wait():
        for instance in context.world.instances:
            await loops.until(
                lambda each=instance: each._configuration.current.version == 2
            )

    loops.run(context, wait())
    # Every instance knows the new limit, so the former one is not in force.
    del context.world.store.configurations[:-1]


def _submit_limited(context, job_id, tasks, millicores, run_ms, instance):
    payload = f"ms={run_ms} cpu={millicores}"
    body = cell_world.job(tasks, payload, cpu=millicores)
    status, _ = cell_jobs.submit(context, body, job_id, instance)
    assert status == 200, status


@when(
    "a job of {tasks:d} tasks with {millicores:d} millicores each has begun on"
    " one worker"
)
def begin_on_one_worker(context, tasks, millicores):
    _submit_limited(context, cell_jobs.JOB, tasks, millicores, 6_000, None)
    workers = context.world.workers
    loops.run(
        context,
        loops.until(
            lambda: any(len(each.running) == tasks for each in workers)
        ),
    )


def _cancel_and_end_leader(context):
    async def cancel():
        status, _ = await context.world.call("DELETE", cell_jobs.JOB)
        assert status == 200, status
        row_key = records.progress_row_key(cell_jobs.JOB)
        store = context.world.store
        await loops.until(
            lambda: b"cancelled" in (store.value(*row_key) or b"")
        )

    loops.run(context, cancel())
    leader_ends(context)
    loops.run(context, loops.until(lambda: context.world.schedulers))


@when("that worker refuses stops, the job is cancelled and the leader ends")
def refuse_and_cancel(context):
    context.refusing = next(
        each for each in context.world.workers if each.running
    )
    context.refusing.refused_stops = 1_000
    _cancel_and_end_leader(context)


@when("that worker falls silent, the job is cancelled and the leader ends")
def silent_and_cancelled(context):
    context.silent = next(
        each for each in context.world.workers if each.running
    )
    context.silent._is_silent = True
    _cancel_and_end_leader(context)


@when("that worker accepts stops again")
def accept_stops(context):
    context.refusing.refused_stops = 0


@then("nothing of the cancelled job runs after {seconds:d} s")
def cancelled_stopped(context, seconds):
    loops.run(context, asyncio.sleep(seconds))
    names = [name for name, _ in context.world.fleet_runs]
    assert not [name for name in names if name.startswith(cell_jobs.JOB)], names


@when("that worker falls silent and the leader ends")
def silent_then_leader_ends(context):
    context.silent = next(
        each for each in context.world.workers if each.running
    )
    context.silent._is_silent = True
    leader_ends(context)
    loops.run(context, loops.until(lambda: context.world.schedulers))


@when(
    "another job of {tasks:d} tasks with {millicores:d} millicores each is"
    " submitted"
)
def submit_other(context, tasks, millicores):
    instance = context.world.instances[0]
    _submit_limited(
        context, cell_jobs.OTHER_JOB, tasks, millicores, 300, instance
    )


@then("no task of the other job starts within {seconds:d} s of the election")
def other_does_not_start(context, seconds):
    async def watch():
        await asyncio.sleep(seconds)
        return [
            name
            for worker in context.world.workers
            for name, _ in worker.starts
            if name.startswith(cell_jobs.OTHER_JOB)
        ]

    started = loops.run(context, watch())
    assert not started, started


@when("the silent worker answers again")
def answers_again(context):
    context.silent._is_silent = False


@then("the limit is never exceeded until both jobs are completed")
def limit_kept(context):
    _watch_limit(context, (cell_jobs.JOB, cell_jobs.OTHER_JOB))


@then("the limit is never exceeded until the other job is completed")
def limit_kept_for_other(context):
    _watch_limit(context, (cell_jobs.OTHER_JOB,))


def _watch_limit(context, awaited):
    async def watch():
        states = set()
        while states != {"completed"}:
            used = context.world.fleet_runs.used("team", "cpu")
            assert used <= context.limit, used
            states = {await context.world.state(job) for job in awaited}
            await asyncio.sleep(0.02)

    loops.run(context, watch())


@when("an unexpected error ends the task that follows the {table} table")
def fail_feed(context, table):
    rows = context.world.leader()._rows
    follow = rows.changes

    async def fail_once(name, after, wait_ms):
        if name != table:
            return await follow(name, after, wait_ms)
        rows.changes = follow
        raise RuntimeError("unexpected")

    context.epoch = context.world.leader().scheduler.worker_tracker.epoch
    rows.changes = fail_once


@then("a leadership with a higher epoch begins within {seconds:d} s")
def higher_epoch(context, seconds):
    async def watch():
        async with asyncio.timeout(seconds):
            await loops.until(
                lambda: any(
                    each.worker_tracker.epoch > context.epoch
                    for each in context.world.schedulers
                )
            )

    loops.run(context, watch())
