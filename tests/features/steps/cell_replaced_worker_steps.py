"""Steps for starts that are pending while the process of a worker changes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import runs
from marigoldgap.cell import worker_commands
from marigoldgap.web import messages
from tests.fixtures import cell_jobs
from tests.fixtures import cell_world
from tests.fixtures import loops

# The leader reads the registration of the next process in this time, while its
# latest renewal of the lease still waits for an answer.
_RESTART_S = 0.2
_LISTEN_DELAY_S = 0.6
# Time from the start of the task until its worker is cut off.
_CUT_AFTER_S = 0.1
# Time in which a start that was repeated would have reached the next process.
_WATCH_S = 1.5


async def _wait_for_renewal(worker):
    """Waits for a renewal; the session then waits for its answer."""
    lease_until_ms = worker.lease_until_ms
    await loops.until(lambda: worker.lease_until_ms != lease_until_ms)


@when(
    "the worker is replaced without a sign while a job of {milliseconds:d} ms"
    " waits for its start"
)
def replace_with_pending_start(context, milliseconds):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.listen_delay_s = _LISTEN_DELAY_S
    worker.silences_on_crash = True

    async def crash():
        await _wait_for_renewal(worker)
        worker.crash()

    loops.run(context, crash())
    context.job = cell_jobs.JOB
    status, _ = cell_jobs.submit(
        context, cell_world.job(payload=f"ms={milliseconds}")
    )
    assert status == 200, status
    assert worker.is_down
    loops.run(context, loops.until(lambda: cell_jobs.starts(context)))


async def _wait_for_next_process(context, former_ms):
    """Waits until the leader has heard of the process that took the place."""
    (worker,) = context.world.workers
    tracker = context.world.schedulers[0].worker_tracker
    await loops.until(lambda: worker.born_ms != former_ms)
    await loops.until(
        lambda: any(
            known.born_ms == worker.born_ms
            for known in tracker.workers.values()
        )
    )


@when(
    'the worker is replaced by one of kind "{kind}" {moment} of a task for kind'
    ' "{label}"'
)
def replace_at(context, kind, moment, label):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.listen_delay_s = _LISTEN_DELAY_S
    worker.restart_kinds = [kind]
    worker.silences_on_crash = True
    worker.lost_starts = int(moment == "after an attempt was lost")
    worker.unanswered = int(moment == "after an answer was lost")
    is_before = moment == "before the first attempt"
    former_ms = worker.born_ms

    async def replace():
        await _wait_for_renewal(worker)
        if is_before:
            worker.crash()
        status, _ = await context.world.call(
            "POST",
            cell_jobs.JOB,
            cell_world.job(payload="ms=3000", requiredLabel=label),
        )
        assert status == 200, status
        if not is_before:
            await loops.until(
                lambda: not worker.lost_starts and not worker.unanswered
            )
            worker.crash()
        context.former_starts = list(worker.starts)
        await _wait_for_next_process(context, former_ms)

    context.job = cell_jobs.JOB
    loops.run(context, replace())


def _next_starts(context):
    (worker,) = context.world.workers
    return worker.starts[len(context.former_starts) :]


@then("the next process carries out no start of the former run")
def no_former_start(context):
    # Its first run is the one that was planned for the former process.
    assert all(run > 1 for _, run in _next_starts(context))


@then('a next process of kind "{kind}" starts the task {count:d} times')
def next_starts(context, kind, count):
    (worker,) = context.world.workers
    assert worker.kind == kind, worker.kind

    async def watch():
        if count:
            await loops.until(lambda: len(_next_starts(context)) >= count)
        await asyncio.sleep(_WATCH_S)

    loops.run(context, watch())
    no_former_start(context)
    assert len(_next_starts(context)) == count, _next_starts(context)


@then("the next process does not carry out the first start")
def first_start_not_carried_out(context):
    assert all(run > 1 for _, run in cell_jobs.starts(context))


@when("the worker is cut off once the task runs, and another worker joins")
def cut_off_for_good(context):
    (worker,) = context.world.workers

    async def cut_off():
        await asyncio.sleep(_CUT_AFTER_S)
        worker.cut_off()
        await context.world.create_worker("w1").start()

    loops.run(context, cut_off())


@then("the task runs on the other worker")
def runs_on_other(context):
    other = context.world.workers[1]
    loops.run(context, loops.until(lambda: other.running))


@given("the clock of the worker is {seconds:d} s ahead")
def advance_clock(context, seconds):
    (worker,) = context.world.workers
    worker.advance_clock(seconds)
    # The leader knows the clock once it grants a lease on it.
    loops.run(
        context, loops.until(lambda: worker.lease_until_ms > 1000 * seconds)
    )


@when(
    "the job is cancelled, and the worker is replaced by one of kind"
    ' "{kind}" {moment}'
)
def replace_at_stop(context, kind, moment):
    (worker,) = context.world.workers
    worker.restart_s = _RESTART_S
    worker.listen_delay_s = _LISTEN_DELAY_S
    worker.restart_kinds = [kind]
    worker.silences_on_crash = True
    worker.refused_stops = int(moment == "after a stop was refused")
    # The command is carried out, but gets no answer.
    worker.late_orders = [0.0] * (moment == "after an answer was lost")
    is_before = moment == "before the first stop"
    former_ms = worker.born_ms

    async def replace():
        await _wait_for_renewal(worker)
        if is_before:
            worker.crash()
        status, _ = await context.world.call("DELETE", cell_jobs.JOB)
        assert status == 200, status
        if not is_before:
            await loops.until(
                lambda: not worker.refused_stops and not worker.late_orders
            )
            worker.crash()
        context.former_starts = list(worker.starts)
        await _wait_for_next_process(context, former_ms)

    loops.run(context, replace())


@then("the next process runs nothing of the job")
def nothing_of_job(context):
    loops.run(context, asyncio.sleep(_WATCH_S))
    assert not _next_starts(context), _next_starts(context)


@then("no lease that the next process was asked for exceeds {seconds:d} s")
def short_leases(context, seconds):
    (worker,) = context.world.workers
    assert (
        0 < worker.longest_lease_ms <= 1000 * seconds
    ), worker.longest_lease_ms


@then("the next process runs another job")
def runs_other_job(context):
    status, _ = cell_jobs.submit(
        context,
        cell_world.job(requiredLabel=context.world.workers[0].kind),
        cell_jobs.OTHER_JOB,
    )
    assert status == 200, status
    loops.run(
        context, context.world.wait_for_state(cell_jobs.OTHER_JOB, "completed")
    )


class _Listener:
    """Allows starts, and records those that are given up."""

    epoch = 1

    def __init__(self):
        self.given_up = []

    def may_start(self):
        return True

    def limit_lease_s(self, lease_s):
        return lease_s

    def is_evacuated(self, run):
        return False

    def exceeds_limit(self, run):
        return False

    def on_refused(self, run, outcome):
        self.given_up.append(("planned again", outcome))

    def on_uncertain_refusal(self, run, outcome):
        self.given_up.append(("stopped before it ends", outcome))


class _SilentPort:
    """Answers no start; the first one may be carried out, or was not sent."""

    def __init__(self, is_sent):
        self.starts = 0
        self._error = (
            messages.NoAnswerError("timeout")
            if is_sent
            else messages.NotConnectedError("refused")
        )

    async def start(self, worker, command, timeout_s):
        self.starts += 1
        raise self._error


def _create_run(worker):
    job = SimpleNamespace(
        record=SimpleNamespace(spec=SimpleNamespace(payload="ms=50"))
    )
    step = SimpleNamespace(
        job=job,
        spec=model.StepSpec(1, model.Demand(1000, 100)),
        saved_for=lambda position: "",
    )
    name = model.RunName(model.TaskName(cell_jobs.JOB, 0, 0, 0), 1)
    return runs.Run(name, step, worker, 0.0)


@given("a start that was {sent} to a worker without an answer")
def pending_start(context, sent):
    registration = model.Registration(
        "w1",
        "claims",
        "127.0.0.1:1",
        "a",
        False,
        model.Demand(16_000, 65_536, 0),
        frozenset(),
        "",
        1,
    )
    context.worker = fleet.Worker(registration, 0.0)
    context.worker.contact = fleet.Contact.ANSWERING
    context.worker.born_ms = 1
    context.listener = _Listener()
    context.port = _SilentPort(sent == "sent")
    commands = worker_commands.WorkerCommands(
        context.listener, context.worker, context.port
    )

    async def begin():
        context.start = asyncio.create_task(
            commands.start(_create_run(context.worker), "")
        )
        await loops.until(lambda: context.port.starts)

    loops.run(context, begin())


@when("another process of the worker answers")
def other_process(context):
    context.starts = context.port.starts
    context.worker.reset_incarnation(2, 0.0, 6.3)
    loops.run(context, context.start)


@then("no further start is sent, and the run is {handling}")
def given_up(context, handling):
    assert context.port.starts == context.starts
    expected = [(handling, model.StartOutcome.OTHER_LIFE)]
    assert context.listener.given_up == expected, context.listener.given_up
