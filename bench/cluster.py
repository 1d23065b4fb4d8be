"""Starts and stops all processes of a deployment on this machine."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import pathlib
import signal

from bench import controls
from bench import exchange
from bench import layouts
from bench import observations
from bench import operators
from bench import processes
from bench import waiting
from bench import wiring
from marigoldgap import clock

PROGRAM = ("-m", "marigoldgap", "serve")
_READY_LINE = b"ready\n"
READY_TIMEOUT_S = 60.0
_STANDIN_STOP_TIMEOUT_S = 5.0
# Shorter than the default drain_timeout_ms of the settings, which would make a
# run too long; requests of the load take a few seconds at most.
ENTRY_STOP_TIMEOUT_S = 40.0
_GRANT_TIMEOUT_S = 30.0
_OK = 200


class Cluster:
    """A deployment of stand-ins and entry instances.

    Args:
        layout: Layout of the deployment.
        directory: Directory for files and logs.
        program: Interpreter arguments that start an entry instance; the path
            of its settings file follows them.
    """

    def __init__(
        self,
        layout: layouts.Layout,
        directory: pathlib.Path,
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self._directory = directory
        self._program = program
        self._standins: list[processes.Process] = []
        self._entries: dict[str, processes.Process] = {}
        self._ended_by_tool: set[str] = set()
        self.layout = layout
        self.wired = wiring.Wiring(layout, directory)
        self.client = exchange.Client()
        self.controls = controls.Controls(self.client, self.wired)
        self.operator = operators.Operator(self.client, self.wired)
        self.keys: dict[str, operators.Key] = {}
        self.stops: list[observations.PlannedStop] = []

    async def start(self) -> None:
        """Starts all processes, applies the first rules and grants keys.

        Raises:
            MarigoldgapError: A process did not start or become ready, or an
                operator's request was not accepted in time.
        """
        self.wired.write_files()
        await self.start_standins()
        for entry in self.wired.entries:
            await self.start_entry(entry)
        await self.operator.apply_first_rules(
            layouts.rules_text(self.layout), READY_TIMEOUT_S
        )
        for entry in self.wired.entries:
            await self.wait_ready(entry)
        for team in self.layout.keyed_teams:
            key = await self.operator.grant(team.name, _GRANT_TIMEOUT_S)
            self.keys[team.name] = key
        await self._wait_in_force()
        await self._wait_for_balancers()

    async def start_standins(self) -> None:
        """Starts the platform's services, the link, workers and balancers."""
        async with asyncio.TaskGroup() as group:
            for name, options in self._standin_options():
                group.create_task(self._start_standin(name, *options))

    async def start_entry(self, entry: wiring.Entry) -> None:
        """Starts the process of an entry instance."""
        arguments = [*self._program, str(entry.settings_file)]
        process = processes.Process(
            entry.instance_id, arguments, self._directory
        )
        self._entries[entry.instance_id] = process
        self._ended_by_tool.discard(entry.instance_id)
        await process.start()

    async def wait_ready(self, entry: wiring.Entry) -> None:
        """Waits until an entry instance reports ready.

        Raises:
            ReadyError: It was not ready in time, or its process ended.
        """
        process = self._entries[entry.instance_id]
        name = entry.instance_id

        async def is_ready() -> bool:
            if not process.is_running:
                raise waiting.ReadyError(
                    f"the process of {name} ended before it was ready"
                )
            try:
                reply = await self.client.send(
                    "GET", entry.address, "/readyz", timeout_s=2
                )
            except exchange.NoReplyError:
                return False
            return reply.status == _OK

        await waiting.until(
            is_ready,
            READY_TIMEOUT_S,
            f"{name} did not become ready within {READY_TIMEOUT_S:g} s",
        )

    def is_running(self, entry: wiring.Entry) -> bool:
        """Returns whether the process of an entry instance runs."""
        return self._entries[entry.instance_id].is_running

    def entry_pid(self, entry: wiring.Entry) -> int:
        """Returns the process id of an entry instance."""
        return self._entries[entry.instance_id].pid

    def signal_entry(self, entry: wiring.Entry, number: signal.Signals) -> None:
        """Sends a signal to an entry instance."""
        self._entries[entry.instance_id].send(number)

    async def kill_entry(self, entry: wiring.Entry) -> None:
        """Kills an entry instance, like a crash."""
        self._ended_by_tool.add(entry.instance_id)
        await self._entries[entry.instance_id].kill()

    async def stop_entry(self, entry: wiring.Entry) -> None:
        """Stops an entry instance gracefully and records its exit."""
        process = self._entries[entry.instance_id]
        if entry.instance_id in self._ended_by_tool:
            return
        self._ended_by_tool.add(entry.instance_id)
        if not process.is_running:
            self._record_crash(entry, process)
            return
        ended = await process.stop(ENTRY_STOP_TIMEOUT_S)
        self.stops.append(
            observations.PlannedStop(
                entry.instance_id,
                ended.asked_ms,
                ended.ended_ms,
                ended.status,
                ended.forced,
            )
        )

    async def stop_entries(self) -> None:
        """Stops all entry instances gracefully and concurrently."""
        async with asyncio.TaskGroup() as group:
            for entry in self.wired.entries:
                if entry.instance_id in self._entries:
                    group.create_task(self.stop_entry(entry))

    async def close(self) -> None:
        """Ends all processes that still run, with bounded waits."""
        try:
            await self.stop_entries()
            async with asyncio.TaskGroup() as group:
                for standin in self._standins:
                    group.create_task(standin.stop(_STANDIN_STOP_TIMEOUT_S))
            await self.client.close()
        finally:
            self.kill_all()

    def kill_all(self) -> None:
        """Kills all processes that still run, without waiting."""
        for process in (*self._entries.values(), *self._standins):
            process.send(signal.SIGKILL)

    def _record_crash(
        self, entry: wiring.Entry, process: processes.Process
    ) -> None:
        """Records that a process had exited before it was asked to stop."""
        now_ms = clock.monotonic_ms()
        self.stops.append(
            observations.PlannedStop(
                entry.instance_id, now_ms, now_ms, process.status, True
            )
        )

    async def _wait_in_force(self) -> None:
        """Waits until every entry instance has the rules and all keys.

        Raises:
            ReadyError: An entry instance has an older version after the
                timeout.
        """
        version = max(key.version for key in self.keys.values())

        async def is_in_force() -> bool:
            seen = await asyncio.gather(
                *(map(self.operator.read_rules, self.wired.entries))
            )
            return all(each and each.version >= version for each in seen)

        await waiting.until(
            is_in_force,
            READY_TIMEOUT_S,
            f"configuration version {version} is not in force at every entry"
            f" instance within {READY_TIMEOUT_S:g} s",
        )

    async def _wait_for_balancers(self) -> None:
        """Waits until the balancers route to every entry instance.

        Raises:
            ReadyError: An entry instance is not in use after the timeout.
        """
        wanted = {entry.instance_id for entry in self.wired.entries}

        async def is_balanced() -> bool:
            return await self.controls.ready_entries() >= wanted

        await waiting.until(
            is_balanced,
            READY_TIMEOUT_S,
            "the balancers do not use every entry instance within"
            f" {READY_TIMEOUT_S:g} s",
        )

    def _standin_options(self) -> Iterator[tuple[str, tuple[str, ...]]]:
        """Yields the module name and the arguments of each stand-in."""
        services = self.wired.services
        yield "table", (services.table,)
        yield "objects", (services.objects,)
        yield (
            "instance_list",
            (
                f"--instances-file={self.wired.file('instances')}",
                *(
                    f"--listen={zone}={address}"
                    for zone, address in services.lists.items()
                ),
            ),
        )
        yield "link", (str(self.wired.file("link")), services.link_control)
        for control in self.wired.worker_processes():
            file = self.wired.worker_file(control)
            yield (
                "worker",
                (f"--workers-file={file}", f"--control={control}"),
            )
        for zone, address in services.balancers.items():
            yield (
                "balancer",
                (
                    address,
                    services.lists[zone],
                    zone,
                    services.balancer_controls[zone],
                    f"--delay-ms={self.layout.network.client_delay_ms}",
                ),
            )

    async def _start_standin(self, name: str, *options: str) -> None:
        """Starts a stand-in and waits until it listens."""
        process = processes.Process(
            f"{name}-{len(self._standins)}",
            ["-m", f"tests.standins.{name}", *options],
            self._directory,
        )
        self._standins.append(process)
        await process.start(_READY_LINE)
