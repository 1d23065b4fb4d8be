"""One soak run: instances, stand-ins and the proxies between them."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import pathlib
import random
import signal

from marigoldgap.cell import records
from marigoldgap.web import request_heads
from soak import callers
from soak import crashes
from soak import faults
from soak import hostile
from soak import instances
from soak import proxy
from tests.fixtures import cell_world
from tests.standins.cell import fleet_runs
from tests.standins.cell import store as store_standin
from tests.standins.cell import worker as worker_standin

DEFAULT_INSTANCES = 4
_WORKERS = 5
# Mean interval between submissions and between starts of faults.
_MEAN_SUBMIT_S = 0.15
_MEAN_FAULT_S = 0.7
_STARTUP_S = 2.5
# Time within which all instances must have started.
_STARTUP_TIMEOUT_S = 30.0
_STARTUP_POLL_S = 0.2
_COMPLETION_TIMEOUT_S = 30.0
# A job that no caller submits.
_NO_JOB = "00000000000000ff"


class World:
    """One run with its deployment, load and faults.

    Args:
        seed: Determines jobs and faults.
        folder: Holds settings and logs of the instances.
        instance_count: Number of instances.
        sends_early_reloads: Whether processes get SIGHUP while their
            interpreter starts.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        instance_count: int = DEFAULT_INSTANCES,
        sends_early_reloads: bool = True,
    ) -> None:
        self._sends_early_reloads = sends_early_reloads
        self.random_source = random.Random(seed)
        self._job_random_source = random.Random(seed + 2)
        self.violations: list[str] = []
        self.injected_faults: list[str] = []
        self.store = store_standin.StoreStandIn(_free_address())
        self.workers: list[worker_standin.WorkerStandIn] = []
        self.worker_links: list[proxy.Proxy] = []
        self.store_links: dict[str, proxy.Proxy] = {}
        self.instances: list[instances.Instance] = []
        self._ended_workers: list[worker_standin.WorkerStandIn] = []
        self._fleet_runs = fleet_runs.FleetRuns(self.store)
        self._acknowledged_tasks: set[str] = set()
        self._config_version = 1
        self._limit = 0
        self._event_log = folder / "events.log"
        self._fault_tasks: set[asyncio.Task[None]] = set()
        for number in range(instance_count):
            self._add_instance(f"e{number}", folder)
        self.callers = callers.Callers(
            random.Random(seed + 1),
            self.instances,
            (cell_world.HOST, cell_world.PREFIX, cell_world.KEY),
        )
        self.hostile_client = hostile.HostileClient(
            random.Random(seed + 3),
            self.instances,
            request_heads.encode(
                "GET",
                cell_world.HOST,
                cell_world.PREFIX + _NO_JOB,
                0,
                (("Authorization", f"Token {cell_world.KEY}"),),
            ),
        )

    @property
    def leader(self) -> instances.Instance | None:
        """The instance that the election row names, released or not."""
        content = self.store.value(*records.ELECTION)
        name = records.decode(content)["instance"] if content else ""
        return next(
            (each for each in self.instances if each.name == name), None
        )

    async def run(self, duration_s: float) -> None:
        """Runs load and faults, then checks that all accepted jobs complete.

        Args:
            duration_s: Duration of load and faults, in seconds.
        """
        await self._start()
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        submissions = asyncio.create_task(self._submit_until(end))
        supervisor = asyncio.create_task(self._supervise())
        hostile_client = asyncio.create_task(self.hostile_client.run())
        try:
            while loop.time() < end:
                await asyncio.sleep(
                    self.random_source.expovariate(1 / _MEAN_FAULT_S)
                )
                self._start_fault(
                    self.random_source.choice(sorted(faults.FAULTS))
                )
            await submissions
            await asyncio.gather(*self._fault_tasks)
            hostile_client.cancel()
            await self._check_results()
        finally:
            # It would restart the instances of a run that failed.
            supervisor.cancel()
            hostile_client.cancel()

    def stop(self) -> None:
        """Stops all processes, proxies and stand-ins of the run."""
        for instance in self.instances:
            instance.send_signal(signal.SIGKILL)
            instance.wait(2.0)
        for link in (*self.store_links.values(), *self.worker_links):
            link.close()
        for worker in self.workers:
            worker.stop()
        self.store.stop()

    def change_configuration(self, limit: int | None = None) -> None:
        """Writes a new version of the configuration.

        Args:
            limit: Upper limit of the workspace in millicores; 0 for none, None
                for the same as before.
        """
        self._config_version += 1
        if limit is not None:
            self._limit = limit
        self._write_configuration()

    def _write_configuration(self) -> None:
        content = cell_world.configuration(
            self._config_version, cap=self._limit
        )
        self.store.put("op", "", "config", content)

    async def replace_worker(self, keeps_id: bool) -> None:
        """Stops a random worker and starts another one in its place.

        A worker that is down starts again, or is being replaced.

        Args:
            keeps_id: Whether the new worker has the id of the old one.
        """
        index = self.random_source.randrange(len(self.workers))
        old = self.workers[index]
        if old.is_down:
            return
        old.stop(is_crash=True)
        self._ended_workers.append(old)
        self.worker_links[index].close()
        if not keeps_id:
            self.store.drop("servers", "", old.worker_id)
        await asyncio.sleep(self.random_source.uniform(0.0, 1.0))
        worker_id = (
            old.worker_id if keeps_id else f"w{self.random_source.random()}"
        )
        worker, link = await self._create_worker(worker_id)
        self.workers[index] = worker
        self.worker_links[index] = link

    def _add_instance(self, name: str, folder: pathlib.Path) -> None:
        link = proxy.Proxy(_free_address(), self.store.address)
        self.store_links[name] = link
        addresses = (_free_address(), _free_address(), _free_address())
        self.instances.append(
            instances.Instance(
                name,
                folder,
                addresses,
                link.address,
                self._sends_early_reloads,
            )
        )

    async def _start(self) -> None:
        await self.store.start()
        self._write_configuration()
        for link in self.store_links.values():
            await link.start()
        for number in range(_WORKERS):
            worker, link = await self._create_worker(f"w{number}")
            self.workers.append(worker)
            self.worker_links.append(link)
        for instance in self.instances:
            instance.start()
        await asyncio.sleep(_STARTUP_S)
        # The supervisor restarts an instance that does not start.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STARTUP_TIMEOUT_S):
                for instance in self.instances:
                    while not await self.callers.open_connections(instance, 1):
                        await asyncio.sleep(_STARTUP_POLL_S)

    async def _create_worker(
        self, worker_id: str
    ) -> tuple[worker_standin.WorkerStandIn, proxy.Proxy]:
        worker = worker_standin.WorkerStandIn(
            worker_id,
            _free_address(),
            self.store,
            self._fleet_runs,
            self._acknowledged_tasks,
        )
        link = proxy.Proxy(_free_address(), worker.address)
        worker.public_address = link.address
        await link.start()
        await worker.start()
        return worker, link

    async def _submit_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < end:
            job_id = f"{self._job_random_source.getrandbits(64):016x}"
            tasks.append(asyncio.create_task(self.callers.submit(job_id)))
            await asyncio.sleep(
                self._job_random_source.expovariate(1 / _MEAN_SUBMIT_S)
            )
        await asyncio.gather(*tasks)

    def _start_fault(self, name: str) -> None:
        self.injected_faults.append(name)
        task = asyncio.create_task(self._run_fault(name))
        self._fault_tasks.add(task)

    async def _run_fault(self, name: str) -> None:
        self._log_event("started", name)
        await faults.FAULTS[name](self)
        self._log_event("ended", name)

    def _log_event(self, event: str, name: str) -> None:
        """Logs a change of a fault or an instance with the wall-clock time."""
        with self._event_log.open("a") as log:
            log.write(f"{datetime.datetime.now():%H:%M:%S.%f} {event} {name}\n")

    async def _supervise(self) -> None:
        """Restarts instances that have ended, as the platform does.

        An instance that ended without a signal to do so is a violation.
        """
        while True:
            await asyncio.sleep(self.random_source.uniform(0.2, 1.0))
            for instance in self.instances:
                if instance.is_running:
                    continue
                if not instance.is_ending:
                    self.violations.append(
                        f"{instance.name} ended unexpectedly with exit code"
                        f" {instance.wait(0)}"
                    )
                self._log_event("restarted", instance.name)
                instance.start()

    async def _check_results(self) -> None:
        # The jobs that wait for the limit are completed in time without one.
        self.change_configuration(limit=0)
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
        workers = [*self.workers, *self._ended_workers]
        for job_id in await self.callers.wait_for_all(
            _COMPLETION_TIMEOUT_S,
            lambda job_id: crashes.may_be_given_up(job_id, workers),
        ):
            self.violations.append(
                f"accepted job {job_id} was not completed"
                f" within {_COMPLETION_TIMEOUT_S:g} s"
            )
        self.violations += self.callers.violations
        self.violations += hostile.memory_violations(self.instances)
        started = set()
        self.violations += crashes.excess_starts(workers)
        for worker in workers:
            self.violations += worker.violations
            started |= {name.partition(".")[0] for name, _ in worker.starts}
        for job_id in sorted(started & self.callers.refused):
            self.violations.append(f"refused job {job_id} was started")


def _free_address() -> str:
    return cell_world.free_address()
