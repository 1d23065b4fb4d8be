"""A simulated cell whose stand-ins tell the model check what they see."""

from __future__ import annotations

import asyncio
import contextvars

from tests.fixtures import cell_world
from tests.model import simulation
from tests.standins.cell import store as store_standin
from tests.standins.cell import worker as worker_standin


class Worker(worker_standin.WorkerStandIn):
    """Worker that tells the player of starts and of acknowledged failures."""

    on_start = None
    on_failure = None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Tasks of each crash whose runs, or whose ends, the cell did not see.
        self.lost_tasks = []

    def crash(self):
        ended = {task for _, task, _, _, _ in self.ended}
        self.lost_tasks.append({*self.running, *ended})
        super().crash()

    async def _start(self, body):
        known = len(self.history)
        answer = await super()._start(body)
        if len(self.history) > known and body["task"] in self.running:
            self.on_start(self, body["task"], body["spec"])
        return answer

    async def _handle_hold(self, body):
        for number, task, run, state, _ in self.ended:
            if number <= body["lastSeen"] and state == "failed":
                self.on_failure(task, run)
        return await super()._handle_hold(body)


class Store(store_standin.StoreStandIn):
    """Store that performs writes of any kind late and without an answer."""

    def __init__(self, address):
        super().__init__(address)
        self.late_writes = []

    async def _transact(self, body):
        if self.late_writes:
            delay_s = self.late_writes.pop(0)
            self._late.append(
                asyncio.create_task(self._perform_late(delay_s, body))
            )
            await asyncio.Event().wait()
        return await self._perform(body)


class World(cell_world.CellWorld):
    """Cell whose parts run on hosts of their own."""

    def __init__(self):
        super().__init__()
        self.store = Store(self.store.address)
        self.fleet_runs._store = self.store

    def create_worker(self, name, address=""):
        worker = Worker(
            name,
            address or cell_world.free_address(),
            self.store,
            self.fleet_runs,
        )
        worker.capacity = {"cpu": 4_000, "memMb": 65_536, "gpu": 1}
        self.workers.append(worker)
        return worker


class Job:
    """A job of a caller, and what the caller was told."""

    def __init__(self, job_id, label, payload, tasks):
        self.job_id = job_id
        self.label = label
        self.payload = payload
        self.tasks = tasks
        self.is_accepted = False
        self.is_refused = False
        self.cancelled_s = None
        self.state = None


async def on(name, coroutine):
    """Awaits a coroutine on a host."""
    context = contextvars.copy_context()
    context.run(simulation.host.set, name)
    return await asyncio.create_task(coroutine, context=context)
