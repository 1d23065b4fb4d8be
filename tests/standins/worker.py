"""Stand-in for workers, of which several may share one process."""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Annotated
from typing import Any

import typer

from marigoldgap.scheduling import model
from tests.standins import http
from tests.standins import process
from tests.standins import worker_records
from tests.standins import worker_routes
from tests.standins import worker_state

# Makes the clocks of two workers differ by far more than a lease lasts.
_CLOCK_STEP_MS = 7_000_000
_RECORDS_LIMIT = 1_000_000
CAPACITY = model.Resources(
    slots=8, connections=64, millicores=16_000, memory_mib=65_536
)


class Worker:
    """A worker that can be killed and restarted.

    Args:
        state: The state of the worker.
    """

    def __init__(self, state: worker_state.WorkerState) -> None:
        self._server: http.Server | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self.state = state

    async def start(self) -> None:
        """Starts listening on the worker's address, unless it already does."""
        if self._server is not None:
            return
        router = worker_routes.create(self.state)
        self._server = http.Server(router, self.state.worker.address)
        await self._server.start()
        self._tick_task = asyncio.create_task(self.state.run_ticks())

    def kill(self) -> None:
        """Aborts all connections and ends all tasks, like a crash."""
        if self._server is None or self._tick_task is None:
            return
        self.state.records.add("killed", worker_records.now_ms())
        self.state.restart()
        self._server.abort()
        self._server = None
        self._tick_task.cancel()


class WorkerGroup:
    """The workers of one process and their common control interface.

    Args:
        workers: The workers.
        events: Recorded events of all workers, in order of time.
        control_address: `ip:port` of the control interface, which also
            serves killed workers; empty for none.
    """

    def __init__(
        self,
        workers: list[Worker],
        events: list[worker_records.Event],
        control_address: str,
    ) -> None:
        self._events = events
        self._workers = {
            worker.state.worker.worker_id: worker for worker in workers
        }
        self._control_address = control_address

    async def start(self) -> WorkerGroup:
        """Starts all workers and the control interface."""
        for worker in self._workers.values():
            await worker.start()
        if self._control_address:
            await http.Server(self._router(), self._control_address).start()
        return self

    def _router(self) -> http.Router:
        """Returns the routes of the control interface."""
        router = http.Router()
        router.add("GET", "/control/records", self._records)
        router.add("POST", "/control/workers/{worker_id}/kill", self._kill)
        router.add(
            "POST", "/control/workers/{worker_id}/restart", self._restart
        )
        router.add(
            "POST", "/control/workers/{worker_id}/switches", self._switches
        )
        return router

    async def _records(self, request: http.Request) -> http.Response:
        """Returns up to `limit` events after the first `since` ones."""
        first = int(request.query.get("since", 0))
        last = first + int(request.query.get("limit", _RECORDS_LIMIT))
        return http.json_response({"records": self._events[first:last]})

    async def _kill(self, _: http.Request, worker_id: str) -> http.Response:
        """Kills a worker."""
        self._workers[worker_id].kill()
        return http.json_response({})

    async def _restart(self, _: http.Request, worker_id: str) -> http.Response:
        """Kills a worker if it runs, and starts it again."""
        worker = self._workers[worker_id]
        worker.kill()
        await worker.start()
        worker.state.records.add("restarted", worker_records.now_ms())
        return http.json_response({})

    async def _switches(
        self, request: http.Request, worker_id: str
    ) -> http.Response:
        """Sets the switches of one worker."""
        state = self._workers[worker_id].state
        path = "/control/switches"
        return await worker_routes.create(state).handle(
            request._replace(path=path)
        )


def read_worker(
    fields: dict[str, Any],
    clock_offset_ms: int,
    task_grace_ms: int,
    events: list[worker_records.Event],
) -> Worker:
    """Creates a worker from the fields of a WorkerInfo.

    Args:
        fields: Fields of the WorkerInfo; `rack` and `capacity` are optional.
        clock_offset_ms: Offset of the worker's clock, in milliseconds.
        task_grace_ms: How long job tasks keep running without a lease, in
            milliseconds.
        events: List to which the worker appends its events.
    """
    capacity = fields.get("capacity")
    info = model.WorkerInfo(
        worker_id=fields["worker_id"],
        zone=fields["zone"],
        rack=fields.get("rack", "rack-1"),
        address=fields["address"],
        service=fields["service"],
        capacity=model.Resources(**capacity) if capacity else CAPACITY,
    )
    state = worker_state.WorkerState(
        info, clock_offset_ms, task_grace_ms, events
    )
    return Worker(state)


def main(
    workers_file: Annotated[
        str, typer.Option(help="JSON array of workers, fields of WorkerInfo.")
    ] = "",
    worker_id: str = "worker-1",
    zone: str = "zone-1",
    rack: str = "rack-1",
    service: str = "service-1",
    address: Annotated[str, typer.Option(help="Address if no file.")] = "",
    control: Annotated[
        str, typer.Option(help="Address that controls all workers.")
    ] = "",
    task_grace_ms: int = worker_state.TASK_GRACE_MS,
) -> None:
    """Run workers until SIGTERM."""
    single = {
        "worker_id": worker_id,
        "zone": zone,
        "rack": rack,
        "service": service,
        "address": address,
    }
    fields = [single]
    if workers_file:
        fields = json.loads(pathlib.Path(workers_file).read_text())

    async def start() -> WorkerGroup:
        events: list[worker_records.Event] = []
        workers = [
            read_worker(
                each, (index + 1) * _CLOCK_STEP_MS, task_grace_ms, events
            )
            for index, each in enumerate(fields)
        ]
        return await WorkerGroup(workers, events, control).start()

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
