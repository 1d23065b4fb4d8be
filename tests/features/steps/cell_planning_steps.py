"""Steps for planning passes, advice and fair rates."""

from __future__ import annotations

import asyncio
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from marigoldgap import clock
from marigoldgap.cell import advice_dispatcher
from marigoldgap.cell import advice_targets
from marigoldgap.cell import fleet
from marigoldgap.cell import former_leader
from marigoldgap.cell import isolation
from marigoldgap.cell import job_tracker
from marigoldgap.cell import jobs
from marigoldgap.cell import leadership
from marigoldgap.cell import model
from marigoldgap.cell import planner
from marigoldgap.cell import ports
from marigoldgap.cell import records
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import store
from marigoldgap.cell import wait_log
from marigoldgap.web import client
from marigoldgap.web import messages
from tests.fixtures import log_lines
from tests.fixtures import loops

_NOW = 100.0
_CORE = 1000
_SERVICE = "claims"
# Longest pause between two probes of a quarantined worker.
_MAX_PAUSE_S = 4.0
# Pause between two plans.
_PLAN_PAUSE_S = 0.01


def _queue(priority=1):
    return model.Queue(
        f"q{priority}", "h", "/", _SERVICE, priority, 2, 2.0, 500, True, None
    )


def _worker(number, cores):
    registration = model.Registration(
        f"w{number}",
        _SERVICE,
        "127.0.0.1:1",
        "a",
        False,
        model.Demand(cores * _CORE, 65536, 0),
        frozenset({"a", f"r{number}"}),
        f"r{number}",
        0,
    )
    worker = fleet.Worker(registration, _NOW)
    worker.contact = fleet.Contact.ANSWERING
    worker.is_rostered = True
    return worker


def _step(context, count, cores, estimate_s=5, priority=1, **fields):
    spec = model.StepSpec(
        count,
        model.Demand(int(cores * _CORE), 100),
        estimate_ms=int(estimate_s * 1000),
        **fields,
    )
    number = len(context.steps_waiting) + len(context.steps_running)
    record = model.JobRecord(
        f"{number:016x}",
        _queue(priority),
        "team",
        0,
        model.JobSpec("", (spec,)),
    )
    job = jobs.Job(record, record.queue, _NOW)
    job.open_due(0)
    return job.occurrences[0][0]


def add_waiting(context, *arguments, **fields):
    """Adds a step that waits; returns it."""
    return _wait(context, *arguments, **fields)


def wait_with_advice(context, cores, advice):
    """Adds a task that waits for tickets; returns its step."""
    step = _wait(context, 1, cores)
    step.job.queue = step.job.queue._replace(advice=advice)
    return step


def run_on(context, worker, **fields):
    """Lets a task of 1 core run on a worker for long; returns its step."""
    return _run_on(context, worker, estimate_s=60, **fields)


def run_elsewhere(context, step):
    """Lets the task of a step that does not wait run on another worker."""
    (position,) = set(range(step.spec.task_count)) - step.waiting
    worker = _worker(len(context.fleet), 1)
    run = runs.Run(model.RunName(step.task(position), 1), step, worker, _NOW)
    step.active[position] = run
    worker.add(run)


def _wait(context, *arguments, **fields):
    step = _step(context, *arguments, **fields)
    context.steps_waiting.append(step)
    return step


@given("{count:d} workers with {cores:d} cores each")
def create_workers(context, count, cores):
    context.steps_waiting = []
    context.steps_running = []
    context.fleet = fleet.Fleet()
    for number in range(count):
        context.fleet.add(_worker(number, cores))


@given("a run of {cores:d} cores on each worker that ends in {rest:d} s")
def add_runs(context, cores, rest):
    for worker in context.fleet.values():
        step = _step(context, 1, cores, estimate_s=rest)
        context.steps_running.append(step)
        run = runs.Run(model.RunName(step.task(0), 1), step, worker, _NOW)
        step.active[0] = run
        worker.add(run)


@given("{count:d} waiting tasks of 1 core that are late already")
def add_late(context, count):
    _wait(context, count, 1).job.deadline_s = _NOW - 1


@given("{count:d} waiting tasks of 1 core that can be on time")
def add_punctual(context, count):
    context.punctual = _wait(context, count, 1)


@then("only tasks that can be on time start")
def only_punctual(context):
    steps = [each.step for each in context.plan.placements]
    assert steps == [context.punctual] * 4, steps


@given("a waiting gang of {count:d} members of {cores:d} core")
def add_gang(context, count, cores):
    _wait(context, count, cores, is_gang=True, priority=0)


@given("{count:d} waiting long-running tasks of 1 core that take {seconds:d} s")
def add_lasting(context, count, seconds):
    _wait(context, count, 1, estimate_s=seconds, is_long_running=True)


@given("a waiting step whose planning fails")
def add_failing(context):
    _wait(context, 1, 1, priority=0, required_label=["not a text"])


@given("the capacity of each worker shrinks to {cores:d} cores")
def shrink(context, cores):
    for worker in context.fleet.values():
        former = worker.registration
        capacity = former.capacity._replace(millicores=cores * _CORE)
        worker.update_registration(former._replace(capacity=capacity))


@given("{count:d} waiting {kind} without cores")
def add_without_cores(context, count, kind):
    _wait(
        context,
        count,
        0,
        is_gang=kind == "members of gangs",
        uses_idle_only=kind == "idle-only tasks",
    )


@when("the runs have ended and a plan is made")
def end_runs(context):
    for worker in context.fleet.values():
        for run in list(worker.runs.values()):
            worker.remove(run)
    make_plan(context)


def _record_crashes(step, count):
    for position in range(step.spec.task_count):
        for number in range(1, count + 1):
            step.record_crash(model.RunName(step.task(position), number))


@given("2 workers have crashed under the gang")
def crash_gang(context):
    _record_crashes(context.steps_waiting[-1], 2)


@given(
    "{tasks:d} waiting tasks of 1 core under which {count:d} workers have"
    " crashed"
)
def add_crashed_tasks(context, tasks, count):
    context.crashed = _wait(context, tasks, 1, priority=2)
    _record_crashes(context.crashed, count)


@given("a waiting task of 1 core under which {count:d} workers have crashed")
def add_crashed(context, count):
    add_crashed_tasks(context, 1, count)


@given("a waiting long-running task under which 2 workers have crashed")
def add_crashed_service(context):
    context.crashed = _wait(context, 1, 1, is_long_running=True)
    _record_crashes(context.crashed, 2)


@given("2 workers have crashed under that task before")
def crash_running(context):
    _record_crashes(context.steps_running[-1], 2)


def _run_on(context, worker, estimate_s=1, **fields):
    step = _step(context, 1, 1, estimate_s=estimate_s, **fields)
    context.steps_running.append(step)
    run = runs.Run(model.RunName(step.task(0), 9), step, worker, _NOW)
    run.confirmed_s = _NOW
    step.active[0] = run
    step.waiting.clear()
    worker.add(run)
    return step


@given("a run of 1 core on the first worker")
def run_on_first(context):
    _run_on(context, context.fleet.values()[0], estimate_s=60)


@given("that run is at 50 percent for longer than it took to get there")
def overdue_run(context):
    run = context.steps_running[-1].active[0]
    run.started_s = _NOW - 2.5
    run.progressed_s = _NOW - 1.5
    run.percent = 50.0


@given("a task under which 2 workers have crashed runs on the first worker")
def crashed_on_first(context):
    _record_crashes(_run_on(context, context.fleet.values()[0]), 2)


@given("{count:d} long-running runs on the {name} worker")
def services_on(context, count, name):
    worker = context.fleet.values()[("first", "second").index(name)]
    for _ in range(count):
        _run_on(context, worker, is_long_running=True)


@given('only the first {count:d} workers have the label "{label}"')
def label_first(context, count, label):
    for worker in context.fleet.values()[:count]:
        registration = worker.registration
        worker.registration = registration._replace(
            labels=registration.labels | {label}
        )


@given('{count:d} waiting tasks of 1 core with the label "{label}"')
def add_labelled(context, count, label):
    _wait(context, count, 1, required_label=label)


@given("runs of {count:d} jobs have failed on the first worker")
def failures_on_first(context, count):
    _record_failures(context.fleet.values()[0], count)


@given("runs of {count:d} jobs have failed on each worker")
def failures_on_each(context, count):
    for worker in context.fleet.values():
        _record_failures(worker, count)


def _record_failures(worker, count):
    for number in range(count):
        # Each one fails after the pause of the one before; the last one now.
        failed_s = _NOW - (count - 1 - number) * _MAX_PAUSE_S
        worker.record_failure(f"{number:016x}", failed_s)


def _crashed_placements(context):
    """Returns the placements that run alone, after a check of each worker."""
    crashed = [
        each for each in context.plan.placements if each.step is context.crashed
    ]
    for placement in crashed:
        beside = [
            each
            for each in context.plan.placements
            if each.worker is placement.worker
        ]
        assert beside == [placement], beside
    return crashed


@then("the crashed task starts alone on the second worker")
def crashed_alone(context):
    (placement,) = _crashed_placements(context)
    assert placement.worker.worker_id == "w1", placement


@then("{count:d} other tasks start")
def others_start(context, count):
    others = len(context.plan.placements) - len(_crashed_placements(context))
    assert others == count, context.plan.placements


@then("{count:d} crashed tasks start alone and {others:d} others start")
def crashed_and_others(context, count, others):
    assert len(_crashed_placements(context)) == count
    others_start(context, others)


@then("{count:d} tasks start on the first worker only")
def first_only(context, count):
    some_start(context, count)
    workers = {each.worker.worker_id for each in context.plan.placements}
    assert workers == {"w0"}, workers


@given(
    "{count:d} waiting tasks of 1 core that take {seconds:d} s and are less"
    " urgent"
)
def add_tasks(context, count, seconds):
    _wait(context, count, 1, estimate_s=seconds, priority=2)


@given("{count:d} waiting tasks of 1 core with at most 1 per worker")
def add_spread(context, count):
    _wait(context, count, 1, max_per_worker=1)


@given("a waiting task whose data is in the rack of the second worker")
def add_near(context):
    _wait(context, 1, 1, data_rack="r1")


@given("{count:d} waiting tasks of 1 core above the fair rate")
def add_over(context, count):
    _wait(context, count, 1, priority=0).job.is_over_fair_rate = True


@given("{count:d} waiting tasks of 1 core within the fair rate")
def add_within(context, count):
    _wait(context, count, 1, priority=1)


@when("a plan is made")
def make_plan(context):
    make_later_plan(context, 0)


@when("a plan is made {seconds:d} s later")
def make_later_plan(context, seconds):
    context.plan = planner.Planner(context.fleet, run_times.RunTimes()).plan(
        context.steps_waiting, {}, {}, _NOW + seconds
    )


@then("nothing starts")
def nothing(context):
    assert not context.plan.placements, context.plan.placements


@then("{count:d} tasks start")
def some_start(context, count):
    assert len(context.plan.placements) == count, context.plan.placements


@then("{count:d} tasks start on different workers")
def different_workers(context, count):
    some_start(context, count)
    workers = {each.worker.worker_id for each in context.plan.placements}
    assert len(workers) == count, workers


@then("it starts on the second worker")
def second_worker(context):
    workers = [each.worker.worker_id for each in context.plan.placements]
    assert workers == ["w1"], workers


@then("only tasks within the fair rate start")
def within_only(context):
    started = [
        each.step.job.is_over_fair_rate for each in context.plan.placements
    ]
    assert started == [False] * 4, started


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 12),
        strategies.integers(1, 9),
        strategies.booleans(),
        strategies.integers(0, 2),
        strategies.integers(0, 3),
        strategies.integers(0, 2),
    ),
    max_size=8,
)


@then("no generated plan exceeds a worker or an upper limit")
def generated(context):
    @hypothesis.given(
        _STEPS, strategies.integers(1, 5), strategies.integers(0, 20)
    )
    def check(steps, workers, limit):
        create_workers(context, workers, 8)
        for count, half_cores, is_gang, priority, bound, crashes in steps:
            step = _wait(
                context,
                count,
                half_cores / 2,
                is_gang=is_gang,
                priority=priority,
                max_per_worker=bound,
            )
            _record_crashes(step, crashes)
        workspace = model.Workspace("team", 9, model.Demand(limit * _CORE))
        plan = planner.Planner(context.fleet, run_times.RunTimes()).plan(
            context.steps_waiting, {}, {"team": workspace}, _NOW
        )
        _check_plan(plan, limit)

    check()


def _check_plan(plan, limit):
    used = {}
    members = {}
    for each in plan.placements:
        cores = each.step.spec.demand.millicores
        worker_id = each.worker.worker_id
        used[worker_id] = used.get(worker_id, 0) + cores
        members.setdefault(id(each.step), []).append(each)
    assert all(value <= 8 * _CORE for value in used.values()), used
    if limit:
        _check_limit(plan.placements, limit * _CORE)
    for each in plan.placements:
        if isolation.is_isolated(each.step, each.position):
            workers = [other.worker for other in plan.placements]
            assert workers.count(each.worker) == 1, each
    for placements in members.values():
        spec = placements[0].step.spec
        positions = {each.position for each in placements}
        assert len(positions) == len(placements)
        if spec.is_gang:
            assert len(placements) == spec.task_count
        if spec.max_per_worker:
            ids = [each.worker.worker_id for each in placements]
            assert max(map(ids.count, ids)) <= spec.max_per_worker


def _check_limit(placements, limit):
    """Checks that one task at most exceeds the limit, and only from half."""
    total = 0
    used_before = {}
    for each in placements:
        assert total <= limit, (total, limit)
        used_before.setdefault(id(each.step), total)
        total += each.step.spec.demand.millicores
        if total > limit:
            assert 2 * used_before[id(each.step)] < limit, placements


@given("the first {count:d} workers are full")
def fill_workers(context, count):
    for worker in context.fleet.values()[:count]:
        step = _step(context, 1, 4)
        context.steps_running.append(step)
        run = runs.Run(model.RunName(step.task(0), 1), step, worker, _NOW)
        step.active[0] = run
        worker.add(run)


def _wait_with_advice(context):
    step = _wait(context, 1, 1)
    advice = model.PlacementAdvice(10, 1, 1_500)
    step.job.queue = step.job.queue._replace(advice=advice)
    return step


@given("a waiting task of a queue with advice")
def advised_task(context):
    _wait_with_advice(context)


@given("a waiting task that is advised only on full workers")
def advised_full(context):
    step = _wait_with_advice(context)
    for worker in context.fleet.values()[:100]:
        step.asked_workers.add(worker.worker_id)
        step.advised_workers[worker.worker_id] = None


@given("a waiting task that is advised on the first worker only")
def advised_on_first(context):
    step = _wait_with_advice(context)
    step.asked_workers.update(
        worker.worker_id for worker in context.fleet.values()
    )
    worker_id = context.fleet.values()[0].worker_id
    step.advised_workers[worker_id] = None
    step.tickets[worker_id] = ("t", _NOW + 10)


@then("advice is requested on every worker with free capacity")
def advice_for_free_workers(context):
    [(_, names)] = context.plan.advice
    with_capacity = {
        worker.worker_id for worker in context.fleet.values() if not worker.runs
    }
    assert with_capacity <= set(names[:100]), names


@given("a crashed task that is advised on all workers")
def crashed_advised(context):
    context.crashed = step = _wait_with_advice(context)
    _record_crashes(step, 2)
    for worker in context.fleet.values():
        step.asked_workers.add(worker.worker_id)
        step.advised_workers[worker.worker_id] = None


@then("a ticket is requested for the second worker only")
def ticket_for_second(context):
    assert context.plan.advice == [
        (context.crashed, ["w1"])
    ], context.plan.advice


@when("the ticket has arrived and a plan is made")
def ticket_arrived(context):
    context.crashed.tickets["w1"] = ("ticket", _NOW + 1.5)
    make_plan(context)


@given(
    "{count:d} stored jobs of a workspace with a fair rate of 1 job a second"
)
def stored_jobs(context, count):
    context.records = [
        model.JobRecord(
            f"{number:016x}",
            _queue(),
            "team",
            # All within 0.2 s: a burst above the rate.
            1_000_000 + 10 * number,
            model.JobSpec("", (model.StepSpec(1, model.Demand(1)),)),
        )
        for number in range(count)
    ]


@when("they are restored in any order")
def restore_jobs(context):
    workspace = model.Workspace("team", 1.0, model.Demand())
    limits = model.RequestLimits(0, 0, 0, 0)
    configuration = model.Configuration(1, (), {}, {"team": workspace}, limits)
    context.tracker = job_tracker.JobTracker(
        leadership.Leadership(2, None, None),
        lambda: configuration,
        {},
        former_leader.FormerLeader(former_leader.released(0.0), 0.0, 0),
    )
    for record in random.Random(1).sample(context.records, 20):
        row_key = records.job_row_key(record.job_id)
        row = store.Row(row_key, records.encode_job(record), 1)
        context.tracker.restore(row, None)
    context.tracker.classify_inherited_jobs()


@then("the {count:d} that were accepted first are within the fair rate")
def first_within(context, count):
    within = [
        job_id
        for job_id, job in context.tracker.jobs.items()
        if not job.is_over_fair_rate
    ]
    first = [record.job_id for record in context.records[:count]]
    assert sorted(within) == first, within


@given("a waiting gang of a queue with advice")
def advised_gang(context):
    step = _wait(context, 8, 1, is_gang=True)
    advice = model.PlacementAdvice(10, 1, 1_500)
    step.job.queue = step.job.queue._replace(advice=advice)


def _dispatcher(context, proxies, answered=lambda: None):
    def choose(step, requested):
        return advice_targets.choose(step, requested, context.fleet, _NOW)

    return advice_dispatcher.AdviceDispatcher(lambda: proxies, choose, answered)


class _Proxy:
    """Records the workers that it is asked about and never answers."""

    def __init__(self, name):
        self.name = name
        self.asked = []

    async def ask(self, step, workers, timeout_s):
        self.asked.extend(workers)
        await asyncio.sleep(timeout_s)


@when("a plan is made and its advice calls go to {count:d} proxies")
def call_proxies(context, count):
    make_plan(context)
    context.proxies = [_Proxy(f"proxy {number}") for number in range(count)]

    async def ask():
        dispatcher = _dispatcher(context, context.proxies)
        for step, workers in context.plan.advice:
            dispatcher.request(step, workers)
        await asyncio.sleep(0)
        dispatcher.close()

    loops.run(context, ask())


@then("{count:d} proxies are called about {workers:d} workers in total")
def proxies_called(context, count, workers):
    asked = [proxy.asked for proxy in context.proxies if proxy.asked]
    assert len(asked) == count, asked
    assert len({each for names in asked for each in names}) == workers


@given("a waiting gang that is advised on all workers")
def advised_gang_on_all(context):
    advised_gang(context)
    step = context.steps_waiting[-1]
    for worker in context.fleet.values():
        step.asked_workers.add(worker.worker_id)
        step.advised_workers[worker.worker_id] = None


@then("tickets are requested for every worker with free capacity")
def tickets_for_free_workers(context):
    advice_for_free_workers(context)


@given("a gang that needs advice on one more worker")
def gang_with_one_unknown(context):
    advised_gang_on_all(context)
    step = context.steps_waiting[-1]
    name = context.fleet.values()[-1].worker_id
    step.asked_workers.discard(name)
    del step.advised_workers[name]


@when("its call for advice waits while {gone:d} workers leave and {new:d} join")
def change_workers_during_wait(context, gone, new):
    step = context.steps_waiting[-1]
    other = _wait_with_advice(context)
    names = [worker.worker_id for worker in context.fleet.values()]
    proxy = _AnsweringProxy("only", step.job.queue.advice)

    async def ask():
        dispatcher = _dispatcher(context, [proxy])
        dispatcher.request(other, names[:1])
        dispatcher.request(
            step, [name for name in names if name not in step.asked_workers]
        )
        for worker in context.fleet.values()[:gone]:
            context.fleet.remove(worker)
        for number in range(new):
            context.fleet.add(_worker(len(names) + number, 4))
        await loops.until(lambda: not step.is_advice_pending)
        dispatcher.close()

    loops.run(context, ask())


@then("the gang has tickets for all {count:d} workers")
def has_tickets(context, count):
    names = {worker.worker_id for worker in context.fleet.values()}
    step = next(each for each in context.steps_waiting if each.spec.is_gang)
    assert set(step.tickets) == names, step.tickets
    assert len(names) == count, names


@when("a plan is made every second for {seconds:d} s")
def plan_and_examine(context, seconds):
    context.log = log_lines.capture(context)
    waits = wait_log.WaitLog()
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    for second in range(seconds):
        now = _NOW + second
        plans.plan(context.steps_waiting, {}, {}, now)
        steps = context.steps_waiting + context.steps_running
        waits.examine([(step, step.wait_reason) for step in steps], now)


def _wait_lines(context):
    return [fields for event, fields in context.log if event == "step_waiting"]


@then('{count:d} lines say that the step "{reason}"')
def waiting_lines(context, count, reason):
    lines = _wait_lines(context)
    assert [line["reason"] for line in lines] == [reason] * count, lines
    assert [line["waited_s"] for line in lines] == [3.0, 8.0], lines


@then("no step is logged as waiting")
def no_waiting_lines(context):
    assert not _wait_lines(context), _wait_lines(context)


@given("{count:d} waiting gangs that are larger than the fleet")
def add_large_gangs(context, count):
    for _ in range(count):
        _wait(context, 200, 1, is_gang=True, priority=0)


@given("{count:d} waiting gangs of which each waits for one of these workers")
def add_label_gangs(context, count):
    for number in range(count):
        _wait(
            context,
            2,
            1,
            is_gang=True,
            priority=0,
            required_label=f"r{number}",
        )


@then("tickets are requested for the gang that fits")
def tickets_for_last_gang(context):
    asked = [step for step, _ in context.plan.advice]
    assert asked == [context.steps_waiting[-1]], asked


@given("a waiting gang that is advised only on full workers")
def advised_gang_on_full(context):
    advised_gang(context)
    step = context.steps_waiting[-1]
    for worker in context.fleet.values():
        if worker.runs:
            step.asked_workers.add(worker.worker_id)
            step.advised_workers[worker.worker_id] = None


@given(
    "a waiting gang of {count:d} members that is advised on all workers, 1 per"
    " worker"
)
def advised_spread_gang(context, count):
    step = _wait(context, count, 1, is_gang=True, max_per_worker=1)
    for worker in context.fleet.values():
        step.asked_workers.add(worker.worker_id)
        step.advised_workers[worker.worker_id] = None


class _AnsweringProxy:
    """Advises every worker, after the declared time of the queue."""

    def __init__(self, name, advice):
        self.name = name
        self._advice = advice

    async def ask(self, step, workers, timeout_s):
        advice = self._advice
        milliseconds = advice.decide_ms + advice.each_ms * len(workers)
        await asyncio.sleep(milliseconds / 1000)
        return ports.Tickets(dict.fromkeys(workers, "t"), advice.valid_ms)


@when(
    "plans are made while {count:d} proxies answer, with tickets valid for"
    " {milliseconds:d} ms"
)
def plan_while_answering(context, count, milliseconds):
    advice = model.PlacementAdvice(10, 2, milliseconds)
    for step in context.steps_waiting:
        step.job.queue = step.job.queue._replace(advice=advice)
    proxies = [_AnsweringProxy(str(number), advice) for number in range(count)]
    _plan_until_placed(context, proxies, 2.0)


def _plan_until_placed(context, proxies, limit_s):
    """Plans and calls the proxies until something starts, or for a time."""
    plans = planner.Planner(context.fleet, run_times.RunTimes())

    async def plan_until_placed():
        dispatcher = _dispatcher(context, proxies)
        for _ in range(int(limit_s / _PLAN_PAUSE_S)):
            context.plan = plans.plan(
                context.steps_waiting, {}, {}, clock.now_s()
            )
            if context.plan.placements:
                break
            for step, workers in context.plan.advice:
                dispatcher.request(step, workers)
            await asyncio.sleep(_PLAN_PAUSE_S)
        dispatcher.close()

    loops.run(context, plan_until_placed())


class _SilentProxy:
    """Fails each call after the time that a connection attempt takes."""

    def __init__(self, name):
        self.name = name

    async def ask(self, step, workers, timeout_s):
        await asyncio.sleep(client.CONNECT_TIMEOUT_S)
        raise messages.NotConnectedError("timeout")


@when(
    "its advice calls go to {silent:d} silent proxies before {count:d} that"
    " answer"
)
def plan_with_silent_proxies(context, silent, count):
    advice = context.steps_waiting[-1].job.queue.advice
    proxies = [_SilentProxy(f"silent {number}") for number in range(silent)]
    proxies += [
        _AnsweringProxy(f"answering {number}", advice)
        for number in range(count)
    ]
    context.proxies = proxies


@then("{count:d} tasks start within {seconds:d} s")
def start_within(context, count, seconds):
    _plan_until_placed(context, context.proxies, seconds)
    some_start(context, count)


@given(
    "a waiting gang of {count:d} members of {cores:d} core that takes"
    " {seconds:d} s"
)
def add_long_gang(context, count, cores, seconds):
    _wait(context, count, cores, estimate_s=seconds, priority=2, is_gang=True)


@when("plans are made for {seconds:d} s")
def plan_for(context, seconds, since_s=_NOW):
    plans = planner.Planner(context.fleet, run_times.RunTimes())
    for tenth in range(10 * seconds + 1):
        now = context.planned_s = since_s + tenth / 10
        context.plan = plans.plan(context.steps_waiting, {}, {}, now)
        if context.plan.placements:
            break


@when(
    "{count:d} other steps renew their tickets all the time through one proxy"
)
def renew_all_the_time(context, count):
    context.slow = context.steps_waiting[-1]
    context.quick = [_wait_with_advice(context) for _ in range(count)]


@then("the task gets its advice on {workers:d} workers within {seconds:d} s")
def advice_within(context, workers, seconds):
    advice = context.slow.job.queue.advice
    proxies = [_AnsweringProxy("only", advice)]
    names = [worker.worker_id for worker in context.fleet.values()]

    async def ask():
        def renew():
            for step in context.quick:
                dispatcher.request(step, names[:1])

        dispatcher = _dispatcher(context, proxies, renew)
        renew()
        dispatcher.request(context.slow, names)
        await asyncio.sleep(0)
        deadline_s = clock.now_s() + seconds
        while context.slow.is_advice_pending and clock.now_s() < deadline_s:
            await asyncio.sleep(_PLAN_PAUSE_S)
        dispatcher.close()

    loops.run(context, ask())
    assert len(context.slow.tickets) == workers, len(context.slow.tickets)
