"""Stand-in for a worker: runs tasks under a lease and a fencing token."""

from __future__ import annotations

import asyncio
import json
import math
import socket
import struct
import time
from typing import NamedTuple

from marigoldgap.web import messages
from marigoldgap.web import server
from tests.standins.cell import fleet_runs as fleet_run_records

_CAPACITY = {"cpu": 16000, "memMb": 65536, "gpu": 0}
_HEARTBEAT_S = 0.3
# Longest lease that a worker accepts.
_MAX_LEASE_MS = 6_000
# Ended runs that a worker lists at a time.
_LISTED_ENDS = 500
# A linger time of 0 s makes close() reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RunEvent(NamedTuple):
    """Begin or end of a run.

    Attributes:
        time_s: Monotonic time in seconds.
        worker_id: Id of the worker.
        task: Name of the task.
        run: Number of the run.
        fence: Highest fencing token that the worker has received.
        what: `started`, how the run ended, or `lost` with its process.
        others: Other runs of the task at that time, on all workers.
    """

    time_s: float
    worker_id: str
    task: str
    run: int
    fence: int
    what: str
    others: tuple


class WorkerStandIn:
    """Runs tasks and records violations of the scheduler's guarantees.

    Words of the payload control a run: `ms=200` (duration), `cpu=1000`,
    `mem=100`, `gpu=1` (resources, as its step declares them),
    `fail` (it ends as failed), `lasts` (it may run again after its end) and
    `crash` (it ends the process of the worker, which starts again).

    Args:
        worker_id: Id under which it registers.
        address: `ip:port` to listen on.
        store: The metadata store in which it registers.
        fleet_runs: Current runs of all workers, to detect two runs of one task
            and workspaces above their limits.
        acknowledged_tasks: Tasks of all workers whose end the scheduler has
            acknowledged.

    Attributes:
        fence: Highest fencing token received.
        fences: All values of `fence`, in order.
        unanswered: Number of the next starts that take effect but get no
            response.
        refusal: Status with which every start is refused; 0 for none.
        refused_stops: Number of the next stops that are refused with 503.
        stop_s: Time that a stopped run takes to end, in seconds.
        late_orders: Delays, in seconds, of the next commands: each gets no
            response and is carried out that much later.
        fence_delay_s: Delay of a request with a higher fencing token, in
            seconds.
        duration_factor: Factor of the duration of runs.
        saved: Saved progress that it lists for each run.
        ignored_fence: Lowest fencing token of the requests that get no answer
            and have no effect, as if their sender could not reach the worker.
        falls_silent: Whether the next start makes the worker withhold all
            further responses.
        early_acknowledgements: Each acknowledgement of an end that had not
            happened, as its number and that of the latest end.
        violations: Each violation as a text.
        born_ms: Wall time of its start, in ms.
        public_address: Address that is registered; differs from `address`
            behind a proxy.
        capacity: Registered capacity, which may change while the worker runs.
        longest_lease_ms: Longest time, from its receipt, until the end of a lease
            that the process was asked for.
        most_running: Highest number of runs at the same time.
        lost_starts: Number of the next starts that have no effect and get no
            response.
        restart_s: Time from a crash to the start of the next process, in
            seconds.
        listen_delay_s: Time from the registration of the next process until it
            accepts connections, in seconds.
        kind: First label, which names its kind.
        zone: Availability zone that it registers.
        service: Service that it registers.
        cold_ms: Time in milliseconds for which it registers to be slow; None
            to register none.
        restart_kinds: Kinds of the next processes; the last one is kept.
        restart_ids: Ids of the next processes; the last one is kept.
        restart_addresses: Addresses of the next processes; the last one is
            kept.
        resets_on_crash: Whether a crash resets its connections, instead of
            closing them.
        silences_on_crash: Whether its connections stay open after a crash and
            carry nothing more.
        is_cut_from_store: Whether it cannot renew its registration.
        is_down: Whether its process has ended and not started again.
        crashes: Runs that were lost in each crash, by name of the task.
        history: Begin and end of each run, in order.
    """

    def __init__(
        self, worker_id, address, store, fleet_runs, acknowledged_tasks=None
    ):
        self.worker_id = worker_id
        self.address = address
        self.running = {}
        self.ended = []
        self.starts = []
        self.fence = 0
        self.fences = []
        self.unanswered = 0
        self.refusal = 0
        self.refused_stops = 0
        self.stop_s = 0.0
        self.late_orders = []
        self.fence_delay_s = 0.0
        self.duration_factor = 1.0
        self.saved = ""
        self.ignored_fence = math.inf
        self.falls_silent = False
        self._is_silent = False
        self.is_draining = False
        self.violations = []
        self.early_acknowledgements = []
        self.lease_until_ms = 0
        self._store = store
        self._fleet_runs = fleet_runs
        self.acknowledged_tasks = (
            set() if acknowledged_tasks is None else acknowledged_tasks
        )
        self.public_address = address
        self.capacity = dict(_CAPACITY)
        # Former capacities, and the monotonic times until which they count.
        self._former_capacities = []
        self.longest_lease_ms = 0
        self.most_running = 0
        self.lost_starts = 0
        self.restart_s = 1.2
        self.listen_delay_s = 0.0
        self.restart_ids = []
        self.kind = "a"
        self.zone = "a"
        self.service = "claims"
        self.cold_ms = None
        self.restart_kinds = []
        self.restart_addresses = []
        self.resets_on_crash = False
        self.silences_on_crash = False
        self.is_cut_from_store = False
        self.crashes = []
        self.history = []
        self.is_down = False
        self._refused_runs = {}
        self._last_end_number = 0
        self._born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self._changed = asyncio.Event()
        self._tasks = []
        self._server = server.HttpServer(self._handle)

    async def start(self):
        await self._server.start(self.address)
        self._tasks.append(asyncio.create_task(self._run_heartbeats()))
        self._tasks.append(asyncio.create_task(self._enforce_lease()))

    def advance_clock(self, seconds):
        """Sets the clock on which leases end forward."""
        self._born_s -= seconds

    def cut_off(self):
        """Resets all connections and refuses new ones; tasks keep running."""
        self._reset_connections()
        self._server.close()

    def _reset_connections(self):
        for connection in list(self._server._connections):
            transport = connection._transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            transport.abort()

    async def reconnect(self):
        """Accepts connections again."""
        await self._server.start(self.address)

    def stop(self, is_crash=False):
        """Stops the worker: ends all runs and resets all connections."""
        if is_crash:
            self._record_crash()
        self.is_down = True
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for name, each in self.running.items():
            self._fleet_runs.end(name, self.worker_id)
            self._record(name, each["run"], "lost")
        self.running.clear()

    def crash(self):
        """Ends the process without notice; another one starts later."""
        self.is_down = True
        self._record_crash()
        if self.resets_on_crash:
            self._reset_connections()
        if self.silences_on_crash:
            self._silence_connections()
        self._server.close()
        for name, each in self.running.items():
            self._fleet_runs.end(name, self.worker_id)
            self._record(name, each["run"], "lost")
        self.running.clear()
        self._tasks.append(asyncio.create_task(self._restart()))

    def _silence_connections(self):
        """Keeps connections open that carry nothing more in either way."""
        for connection in list(self._server._connections):
            self._server.remove(connection)
            connection._transport.pause_reading()
            if connection._task is not None:
                connection._task.cancel()

    def _record_crash(self):
        self.crashes.append(
            {name: each["run"] for name, each in self.running.items()}
        )

    async def _restart(self):
        """Starts a process that knows nothing of the earlier one."""
        await asyncio.sleep(self.restart_s)
        former_id = self.worker_id
        if self.restart_ids:
            self.worker_id = self.restart_ids.pop(0)
        if self.restart_addresses:
            self.address = self.public_address = self.restart_addresses.pop(0)
        if self.worker_id != former_id:
            self._store.drop("servers", "", former_id)
        self.ended = []
        self.fence = 0
        self.lease_until_ms = 0
        self.longest_lease_ms = 0
        self.is_draining = False
        self._refused_runs = {}
        self._last_end_number = 0
        self._born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        if self.restart_kinds:
            self.kind = self.restart_kinds.pop(0)
        if self.listen_delay_s:
            self.register()
            await asyncio.sleep(self.listen_delay_s)
        await self._server.start(self.address)
        self.is_down = False
        if not self.is_cut_from_store:
            self.register()

    def change_capacity(self, grace_s=0.0, **amounts):
        """Changes the capacity; the former one counts for a while longer."""
        until_s = time.monotonic() + grace_s
        self._former_capacities.append((until_s, self.capacity))
        self.capacity = {**self.capacity, **amounts}
        if not self.is_down:
            self.register()

    def _counted_capacity(self):
        capacities = [self.capacity]
        for until_s, former in self._former_capacities:
            if time.monotonic() < until_s:
                capacities.append(former)
        return {
            resource: max(each[resource] for each in capacities)
            for resource in self.capacity
        }

    def register(self):
        state = "draining" if self.is_draining else "ready"
        fields = {
            "service": self.service,
            "address": self.public_address,
            "zone": self.zone,
            "state": state,
            "capacity": self.capacity,
            "labels": [self.kind, "r1-1"],
            "born": self.born_ms,
        }
        if self.cold_ms is not None:
            fields["coldRemainingMs"] = self.cold_ms
        content = json.dumps(fields).encode()
        # A heartbeat that changes nothing but its number is no change.
        if self._store.value("servers", "", self.worker_id) != content:
            self._store.put("servers", "", self.worker_id, content)

    @property
    def _clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1000)

    async def _run_heartbeats(self):
        while True:
            if not self.is_down and not self.is_cut_from_store:
                self.register()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _enforce_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if self.lease_until_ms and self._clock_ms > self.lease_until_ms:
                self._end_all()

    def _end_all(self):
        """Ends all runs after the lease has ended.

        If the test process was paused, a run may have been complete before.
        """
        lease_end_s = self._born_s + self.lease_until_ms / 1000
        for name, each in list(self.running.items()):
            if each.get("due_s", math.inf) <= lease_end_s:
                self._complete(name, each["run"], each["spec"])
            elif name in self.running:
                self._end(name, "lapsed")

    async def _handle(self, request):
        if request.headers.get("x-expect-instance") != self.worker_id:
            return messages.Response(421)
        if self.falls_silent and request.path == "/v1/run-start":
            self._is_silent = True
        if self._is_silent:
            await asyncio.Event().wait()
        body = json.loads(request.body)
        if body["fence"] >= self.ignored_fence:
            await asyncio.Event().wait()
        if self.late_orders and request.path != "/v1/hold":
            delay_s = self.late_orders.pop(0)
            self._tasks.append(
                asyncio.create_task(
                    self._carry_out_late(delay_s, request.path, body)
                )
            )
            await asyncio.Event().wait()
        return await self._carry_out(request.path, body)

    async def _carry_out_late(self, delay_s, path, body):
        # The next process knows nothing of the commands of this one.
        born_ms = self.born_ms
        await asyncio.sleep(delay_s)
        if not self.is_down and self.born_ms == born_ms:
            await self._carry_out(path, body)

    async def _carry_out(self, path, body):
        if body["fence"] > self.fence and self.fence_delay_s:
            await asyncio.sleep(self.fence_delay_s)
        if body["fence"] < self.fence:
            return self._answer({"reason": "fence"}, 409)
        if body["fence"] > self.fence:
            self.fence = body["fence"]
            self.fences.append(self.fence)
        lease_ms = body.get("untilMs", 0) - self._clock_ms
        self.longest_lease_ms = max(self.longest_lease_ms, lease_ms)
        until_ms = min(body.get("untilMs", 0), self._clock_ms + _MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        if path == "/v1/run-start":
            return await self._start(body)
        if path == "/v1/run-stop":
            return self._stop(body)
        return await self._handle_hold(body)

    async def _start(self, body):
        if self.refusal:
            return messages.Response(self.refusal)
        if self.lost_starts:
            self.lost_starts -= 1
            await asyncio.Event().wait()
        name, run = body["task"], body["run"]
        if self.running.get(name, {}).get("run") == run:
            return self._answer({})
        if run <= self._refused_runs.get(name, 0):
            return self._answer({"reason": "old"}, 409)
        self.starts.append((name, run))
        if self._clock_ms > self.lease_until_ms:
            return self._answer({"reason": "late"}, 409)
        if self._fleet_runs.others(name):
            self.violations.append(
                f"task {name} was started while another run of it exists"
            )
        if name in self.acknowledged_tasks and "lasts" not in body["spec"]:
            self.violations.append(
                f"task {name} was started after its end was acknowledged"
            )
        self._record(name, run, "started")
        self._check_capacity(name, body["spec"])
        self.violations += self._fleet_runs.begin(
            name, self.worker_id, run, body["spec"]
        )
        now_s = time.monotonic()
        self.running[name] = {
            "run": run,
            "spec": body["spec"],
            "since": now_s,
            "due_s": now_s + self._duration_s(body),
        }
        self.most_running = max(self.most_running, len(self.running))
        self._tasks.append(
            asyncio.create_task(self._run_task(name, run, body["spec"]))
        )
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.Event().wait()
        return self._answer({})

    def _check_capacity(self, name, spec):
        """Records a start after which the worker exceeds its capacity."""
        specs = [spec, *(each["spec"] for each in self.running.values())]
        for resource, capacity in self._counted_capacity().items():
            word = fleet_run_records.RESOURCE_WORDS[resource]
            used = sum(fleet_run_records.amount(each, word) for each in specs)
            if used > capacity:
                self.violations.append(
                    f"task {name} overcommits worker {self.worker_id}:"
                    f" {used} of {capacity} {resource} with it"
                )

    def _stop(self, body):
        if self.refused_stops:
            self.refused_stops -= 1
            return messages.Response(503)
        name, run = body["task"], body["run"]
        self._refused_runs[name] = max(run, self._refused_runs.get(name, 0))
        if self.stop_s:
            self._tasks.append(asyncio.create_task(self._stop_later(name, run)))
        else:
            self._end_stopped(name, run)
        return self._answer({})

    async def _stop_later(self, name, run):
        await asyncio.sleep(self.stop_s)
        self._end_stopped(name, run)

    def _end_stopped(self, name, run):
        if self.running.get(name, {}).get("run") == run:
            self._end(name, "stopped")

    async def _handle_hold(self, body):
        if body["lastSeen"] > self._last_end_number:
            self.early_acknowledgements.append(
                (body["lastSeen"], self._last_end_number)
            )
        for number, name, _, state, _ in self.ended:
            if number <= body["lastSeen"] and state == "done":
                self.acknowledged_tasks.add(name)
        self.ended = [each for each in self.ended if each[0] > body["lastSeen"]]
        if not self.ended and body.get("waitMs"):
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [name, each["run"], self.saved, self._progress_percent(each)]
            for name, each in self.running.items()
        ]
        return self._answer(
            {
                "running": running,
                "ended": self.ended[:_LISTED_ENDS],
                "born": self.born_ms,
            }
        )

    def _progress_percent(self, run):
        elapsed_s = time.monotonic() - run.get("since", self._born_s)
        return min(99, int(100 * elapsed_s / max(self._duration_s(run), 0.001)))

    def _duration_s(self, run):
        milliseconds = int(run["spec"].partition("ms=")[2].split()[0] or 0)
        return self.duration_factor * milliseconds / 1000

    async def _run_task(self, name, run, spec):
        await asyncio.sleep(self._duration_s({"spec": spec}))
        self._complete(name, run, spec)

    def _complete(self, name, run, spec):
        if self.running.get(name, {}).get("run") != run:
            return
        if "crash" in spec:
            self.crash()
        else:
            self._end(name, "failed" if "fail" in spec else "done")

    def _record(self, name, run, what):
        self.history.append(
            RunEvent(
                time.monotonic(),
                self.worker_id,
                name,
                run,
                self.fence,
                what,
                self._fleet_runs.others(name),
            )
        )

    def _end(self, name, state):
        run = self.running.pop(name)["run"]
        self._fleet_runs.end(name, self.worker_id)
        self._record(name, run, state)
        self._refused_runs[name] = max(run, self._refused_runs.get(name, 0))
        self._last_end_number += 1
        self.ended.append([self._last_end_number, name, run, state, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, body, status=200):
        return messages.json_response(
            status, {**body, "clockMs": self._clock_ms}
        )
