"""Plays an order on a simulated cell."""

from __future__ import annotations

import asyncio

from marigoldgap import errors
from tests.fixtures import cell_world
from tests.model import checks
from tests.model import orders
from tests.model import simulation
from tests.model import world

_STORE = "store"
_CALLER = "caller"
# Time in which accepted jobs have to complete after the last disturbance, besides
# that for the work itself: the lease of a dark worker, and the waiting for a turn.
_COMPLETION_S = 60.0
# Tasks that run at the same time at least: what fits into one worker.
_PARALLEL_TASKS = 4
_POLL_S = 0.5
# Time from a start to an event that waits for it.
_AFTER_START_S = 0.05
# Time from the end of an instance to the start of its next process.
_INSTANCE_RESTART_S = 4.0
_FOREIGN_TOKEN = 5_000
_ENDED_STATES = ("completed", "failed", "cancelled")


class Player:
    """Plays one order."""

    def __init__(self, order, network):
        self._order = order
        self._network = network
        self._world = world.World()
        self._checks = checks.Checks(self._world.workers)
        # Events that wait for the next start on a worker.
        self._awaiting_start = {}
        self._is_over = False
        # Time that all tasks take one after another, in seconds.
        self._work_s = 0.0
        self._tasks = set()
        self._loop = asyncio.get_running_loop()

    async def play(self):
        """Plays the order; returns each violation of a rule as a text."""
        await self._start()
        for event in self._order.events:
            await asyncio.sleep(event.pause_s)
            await getattr(self, f"_{event.kind}")(**event.fields)
        await self._recover()
        self._checks.finish(await self._await_jobs())
        return self._checks.violations

    async def _start(self):
        cell = self._world
        await world.on(_STORE, cell.store.start())
        cell.store.put(
            "op",
            "",
            "config",
            cell_world.configuration(
                attempts=checks.ATTEMPTS, cap=self._order.cap
            ),
        )
        for name, kind in zip(orders.WORKERS, orders.KINDS, strict=True):
            worker = cell.create_worker(name)
            worker.kind = kind
            worker.on_start = self._on_start
            worker.on_failure = self._checks.record_failure
            await world.on(name, worker.start())
        for name in orders.INSTANCES:
            await world.on(name, cell.add_instance(name))
        while not cell.scheduler_is_ready(len(orders.WORKERS)):
            await asyncio.sleep(0.1)

    def _spawn(self, name, coroutine):
        task = asyncio.create_task(world.on(name, coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _instance(self, name):
        for each in self._world.instances:
            if each.settings.name == name:
                return each
        return None

    def _worker(self, name):
        return next(
            each for each in self._world.workers if each.worker_id == name
        )

    async def _call(self, method, job_id, body=None, instance=""):
        target = self._instance(instance) or self._world.instances[0]
        try:
            return await self._world.call(method, job_id, body, target)
        except (errors.MarigoldgapError, OSError, ValueError):
            return 0, None

    async def _submit(self, number, instance, milliseconds, tasks, label, form):
        is_filling = form == "fills"
        payload = f"ms={milliseconds} cpu={0 if is_filling else 1000} mem=100"
        step = {"requiredLabel": label} if label else {}
        if form == "gang":
            step["gang"] = True
        if is_filling:
            payload += " gpu=1"
            step |= {"fills": True, "gpu": 1}
        if form in ("fail", "crash"):
            payload += f" {form}"
        runs = 2 if form in ("chain", "fail") else 1
        self._work_s += tasks * runs * milliseconds / 1000
        job = world.Job(f"{number + 1:016x}", label, payload, tasks)
        self._checks.jobs[number] = job
        body = cell_world.job(tasks, payload, **step)
        if form == "chain":
            body["steps"].append({**body["steps"][0], "after": [0]})

        async def send():
            status, _ = await self._call("POST", job.job_id, body, instance)
            job.is_accepted = status == 200
            job.is_refused = status == 503

        self._spawn(_CALLER, send())

    async def _cancel(self, number, instance):
        job = self._checks.jobs.get(number)
        if job is None:
            return

        async def send():
            status, _ = await self._call(
                "DELETE", job.job_id, instance=instance
            )
            if status in (200, 204, 410) and job.cancelled_s is None:
                job.cancelled_s = self._loop.time()

        self._spawn(_CALLER, send())

    def _at_next_start(self, worker, event):
        """Plays an event as soon as the next task has started on a worker."""
        self._awaiting_start.setdefault(worker, []).append(event)

    async def _crash(self, worker, connections, restart_s, kind, at_start):
        if at_start:
            self._at_next_start(
                worker,
                lambda: self._crash(
                    worker, connections, restart_s, kind, False
                ),
            )
            return
        found = self._worker(worker)
        if found.is_down:
            return
        self._checks.disturb()
        found.restart_s = restart_s
        found.restart_kinds = [kind]
        found.resets_on_crash = connections == "reset"
        found.silences_on_crash = connections == "silenced"
        await world.on(worker, _call_soon(found.crash))

    async def _cut_worker(self, worker, way, at_start):
        if at_start:
            self._at_next_start(
                worker, lambda: self._cut_worker(worker, way, False)
            )
            return
        self._checks.disturb()
        self._worker(worker).is_cut_from_store = True
        for name in orders.INSTANCES:
            self._network.cut(worker, name, way)

    async def _cut_instance(self, instance, way):
        self._checks.disturb()
        others = (*orders.WORKERS, *orders.INSTANCES, _STORE)
        for name in others:
            if name != instance:
                self._network.cut(instance, name, way)

    async def _heal(self):
        self._checks.disturb()
        for worker in self._world.workers:
            worker.is_cut_from_store = False
        self._network.heal()

    async def _delay_writes(self, count, delay_s):
        self._checks.disturb()
        self._world.store.late_writes += [delay_s] * count

    async def _refuse_calls(self, duration_s):
        self._checks.disturb()
        self._world.store.refusal = 503
        self._loop.call_later(duration_s, self._accept_calls)

    def _accept_calls(self):
        self._checks.disturb()
        self._world.store.refusal = 0

    async def _end_instance(self, instance):
        await self._remove_instance(instance, is_crash=True)

    async def _stop_instance(self, instance):
        await self._remove_instance(instance, is_crash=False)

    async def _remove_instance(self, name, is_crash):
        instance = self._instance(name)
        if instance is None or len(self._world.instances) < 2:
            return
        self._checks.disturb()
        self._world.instances.remove(instance)
        if is_crash:
            instance.abort()
            instance.serving.cancel()
        else:
            await world.on(name, _call_soon(instance.request_stop))
        self._loop.call_later(
            _INSTANCE_RESTART_S,
            lambda: self._spawn(name, self._world.add_instance(name)),
        )

    async def _delay_starts(self, worker, delay_s):
        self._checks.disturb()
        self._worker(worker).late_orders.append(delay_s)

    async def _lose_answers(self, worker, count):
        self._checks.disturb()
        self._worker(worker).unanswered += count

    async def _register_foreign(self):
        name = f"foreign{len(self._world.workers)}"
        worker = self._world.create_worker(name)
        worker.service = "another-service"
        worker.fence = _FOREIGN_TOKEN
        worker.on_start = self._checks.on_foreign_start
        await world.on(name, worker.start())

    def _on_start(self, worker, task, payload):
        """Plays what waits for a start, and checks it."""
        for event in self._awaiting_start.pop(worker.worker_id, ()):
            # The answer to the start is sent before.
            self._loop.call_later(_AFTER_START_S, self._play_at_start, event)
        self._checks.on_start(worker, task, payload)

    def _play_at_start(self, event):
        if not self._is_over:
            self._spawn(_CALLER, event())

    async def _recover(self):
        self._is_over = True
        await self._heal()
        store = self._world.store
        store.late_writes.clear()
        self._accept_calls()
        for worker in self._world.workers:
            worker.late_orders.clear()
            worker.unanswered = 0

    async def _await_jobs(self):
        until_s = (
            self._loop.time() + _COMPLETION_S + self._work_s / _PARALLEL_TASKS
        )
        open_jobs = list(self._checks.jobs.values())
        while self._loop.time() < until_s:
            for job in open_jobs:
                _, body = await world.on(_CALLER, self._call("GET", job.job_id))
                job.state = (body or {}).get("state")
            open_jobs = [
                job
                for job in open_jobs
                if job.state not in _ENDED_STATES
                and (job.is_accepted or job.state is not None)
            ]
            if not open_jobs and self._loop.time() > self._checks.settled_s:
                break
            await asyncio.sleep(_POLL_S)
        return open_jobs


async def _call_soon(function):
    function()


def play(order):
    """Plays an order; returns the violations of rules as texts."""

    async def run(network):
        return await Player(order, network).play()

    return simulation.run(order.seed, run)
