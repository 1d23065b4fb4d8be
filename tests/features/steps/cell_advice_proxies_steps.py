"""Steps for the instances through which the advice service is called."""

from __future__ import annotations

import asyncio

from behave import given
from behave import then
from behave import when

from marigoldgap.cell import advice_dispatcher
from marigoldgap.cell import advice_proxies
from marigoldgap.cell import model
from marigoldgap.cell import peers
from marigoldgap.cell import ports
from marigoldgap.web import messages
from tests.features.steps import cell_planning_steps
from tests.fixtures import loops

_LEADER = "leader"
# Declared as a slow call: it may not use the proxies kept for quick ones.
_SLOW_ADVICE = model.PlacementAdvice(150, 1, 2_500)


@given("a leader and {count:d} other proxies for advice")
def create_proxies(context, count):
    context.names = [_LEADER, *(f"other {number}" for number in range(count))]
    context.proxies = advice_proxies.AdviceProxies()
    context.proxies.update(context.names)
    context.now = 0.0
    context.busy = set()


@when("the calls through the last {count:d} proxies fail")
def fail(context, count):
    for name in context.names[len(context.names) - count :]:
        context.proxies.record_failure(name, context.now)


@when("no call for advice is made for {seconds:d} s")
def pass_time(context, seconds):
    context.now += seconds


@when("the leader has a call in progress")
def leader_busy(context):
    context.busy.add(_LEADER)


@when("a proxy that has failed is tried again")
def try_again(context):
    context.busy.add(context.names[-1])


@when("the last {count:d} proxies are no longer registered")
def unregister(context, count):
    context.proxies.update(context.names[: len(context.names) - count])


@then("{calls} calls use {count:d} proxies, the leader {leader}")
def used(context, calls, count, leader):
    found = context.proxies.usable(context.busy, calls == "slow", context.now)
    assert len(found) == count, found
    assert (_LEADER in found) == (leader == "included"), found


@then("the pauses after failures of {proxy} are {pauses} s")
def pauses_are(context, proxy, pauses):
    name = _LEADER if proxy == "the leader" else context.names[-1]
    wanted = [float(each) for each in pauses.split(",")]
    found = [context.proxies.record_failure(name, 0.0) for _ in wanted]
    assert found == wanted, found


@then("the pause after {count:d} failures of the other proxy is {pause:d} s")
def pause_after_many(context, count, pause):
    for _ in range(count):
        found = context.proxies.record_failure(context.names[-1], 0.0)
    assert found == pause, found


@then("all proxies are used after {count:d} rounds of calls that succeed")
def used_after_rounds(context, count):
    for _ in range(count):
        # The sound ones have calls in progress, and others are waiting.
        busy = context.proxies.usable(set(), False, context.now)
        for name in context.proxies.usable(busy, False, context.now):
            context.proxies.record_success(name)
    found = context.proxies.usable(set(), False, context.now)
    assert len(found) == len(context.names), len(found)


@then("no failures are remembered")
def forgotten(context):
    assert not context.proxies._failures


@given("{count:d} waiting tasks of a queue with slow advice")
def add_slow(context, count):
    for _ in range(count):
        cell_planning_steps.wait_with_advice(context, 1, _SLOW_ADVICE)


class _Proxy:
    """Answers after the declared time, or not at all."""

    def __init__(self, name, is_silent):
        self.name = name
        self._is_silent = is_silent

    async def ask(self, step, workers, timeout_s):
        if self._is_silent:
            await asyncio.sleep(timeout_s)
            raise ports.AdviceBusyError("no answer")
        await asyncio.sleep(_SLOW_ADVICE.decide_ms / 1000)
        return ports.Tickets(dict.fromkeys(workers, "t"), 2_500)


@when("their advice calls go to a leader and {count:d} silent proxies")
def request_advice(context, count):
    proxies = [
        _Proxy(_LEADER, False),
        *(_Proxy(f"other {number}", True) for number in range(count)),
    ]
    names = [worker.worker_id for worker in context.fleet.values()]

    async def request():
        context.dispatcher = advice_dispatcher.AdviceDispatcher(
            lambda: proxies,
            lambda step, requested: requested,
            lambda: _request_missing(context, names),
        )
        _request_missing(context, names)

    loops.run(context, request())


def _request_missing(context, names):
    for step in context.steps_waiting:
        if not step.tickets:
            context.dispatcher.request(step, names)


@then("all {count:d} tasks get their advice within {seconds:d} s")
def all_advised(context, count, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            await loops.until(
                lambda: all(step.tickets for step in context.steps_waiting)
            )
        context.dispatcher.close()

    assert len(context.steps_waiting) == count
    loops.run(context, wait())


class _CountedJob:
    """Job that counts how often it is examined whether it has ended."""

    def __init__(self, job):
        self.queue = job.queue
        self.job_id = job.job_id
        self.examined = 0

    @property
    def is_ended(self):
        self.examined += 1
        return False


@when("they request advice together while the only instance is busy")
def request_together(context):
    names = [worker.worker_id for worker in context.fleet.values()]
    for step in context.steps_waiting:
        step.job = _CountedJob(step.job)

    async def request():
        dispatcher = advice_dispatcher.AdviceDispatcher(
            lambda: [_Proxy(_LEADER, True)],
            lambda step, requested: requested,
            lambda: None,
        )
        for step in context.steps_waiting:
            dispatcher.request(step, names)
        await asyncio.sleep(0)
        dispatcher.close()

    loops.run(context, request())


@then("no waiting call has been examined more than {count:d} times")
def few_examinations(context, count):
    found = [step.job.examined for step in context.steps_waiting]
    assert 0 < max(found) <= count, max(found)


_ODD_ANSWERS = {
    "no fields": {},
    "a list of tickets": {"by_worker": [], "valid_ms": 1},
    "a validity of a text": {"by_worker": {}, "valid_ms": "soon"},
}


class _OddPool:
    """Answers each request with the same fields."""

    def __init__(self, fields):
        self._fields = fields

    async def exchange(self, *arguments, **options):
        return messages.json_response(200, self._fields)


@when("an instance answers a call for advice with {odd}")
def answer_oddly(context, odd):
    peer = peers.PeerClient(_OddPool(_ODD_ANSWERS[odd]), "127.0.0.1:9", "e1")
    context.outcome = loops.outcome(context, peer.ask("step", [], 1.0))


@then('the call has failed with "{code}"')
def failed_with(context, code):
    assert getattr(context.outcome, "code", "") == code, context.outcome
