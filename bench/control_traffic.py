"""Measures control traffic of 7 instances in 3 zones over loopback TCP.

Run it with `python -m bench.control_traffic`. Real peer hubs and coordination
run in one process with test doubles for workers and store. The counters are
those of the peer links, without TCP and IP headers.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap.coordination import builder
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.entries import hub as hub_module
from marigoldgap.entries import registry
from marigoldgap.table_service import model as table_service_model
from tests.fixtures import control_workers
from tests.fixtures import control_world
from tests.fixtures import peer_hubs

_LAYOUT = {
    "centro-a": ("e1", "e2", "e3"),
    "centro-b": ("e4", "e5"),
    "occidente-a": ("f1", "f2"),
}
_TEAMS = ("claims", "status", "walk-in", "audit", "night", "public")
_WORKERS_PER_ZONE = 8
_SLOTS = 8
_STEP_S = 0.1
_WARM_UP_S = 8
_MEASURE_S = 15
_LOAD_JOBS_PER_S = 4
_LOAD_TASKS_PER_JOB = 25
_TASK_S = 0.5


class Rates(NamedTuple):
    """Bytes that one instance sends, as totals or per second.

    Attributes:
        control: Heartbeats and other control messages.
        digest: Zone digests.
        work: Messages that carry work.
        between_zones: All messages to other zones.
    """

    control: float
    digest: float
    work: float
    between_zones: float


class _RealTimeNet:
    """Replaces the simulated network of the tests by real time."""

    bytes_sent: dict[str, int]

    @property
    def now_ms(self) -> int:
        """Monotonic time in milliseconds."""
        return clock.monotonic_ms()

    def acts(self, _instance_id: str) -> bool:
        """Returns True, since no instance is ever paused."""
        return True


class _HubList:
    """Instance list with the bound ports of the hubs."""

    def __init__(self, world: LiveWorld) -> None:
        self._world = world

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances, optionally of one zone."""
        return tuple(
            table_service_model.InstanceEntry(
                instance_id=name,
                kind="entry",
                zone=self._world.zone_of[name],
                region="centro",
                rack="r1",
                address="127.0.0.1:1",
                peer_address=f"127.0.0.1:{hub.bound_port}",
                service="",
                state="live",
            )
            for name, hub in self._world.hubs.items()
            if zone in (None, self._world.zone_of[name])
        )

    def workers(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the worker doubles, optionally of one zone."""
        return control_world.WorkerList(self._world).workers(zone)

    def age_ms(self) -> int:
        """Returns 0, since the list is always current."""
        return 0


class LiveWorld(control_world.ControlWorld):
    """The simulated cluster of the tests on real peer hubs in real time."""

    def __init__(self) -> None:
        super().__init__()
        self.net: Any = _RealTimeNet()
        self.hubs: dict[str, hub_module.PeerHub] = {}
        self.zone_of: dict[str, str] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.source = random.Random(1)
        self.quick: dict[str, dict[str, int]] = {}

    async def start(self, name: str, zone: str) -> None:
        """Starts the hub and the coordination of an instance."""
        settings = peer_hubs.make_settings(name, zone, peers={})
        self.zone_of[name] = zone
        hub = hub_module.PeerHub(settings, _HubList(self))
        peers: Any = hub
        peers.instance_id, peers.zone, peers.incarnation = name, zone, name
        instance = control_workers.InstanceDouble(self, peers)
        needs = builder.Dependencies(
            peers=hub,
            instances=_HubList(self),
            table=self.store,
            committer=self.store,
            objects=self.store,
            config=self.config,
            in_force=control_world.InForceDouble(),
            holdings=instance.holdings,
            placer=instance,
            stopper=instance,
            fleet=instance,
        )
        coordination = builder.create_coordination(settings, needs)
        instance.agent = coordination.agent
        hub.set_local_state(_LocalState(self, name))
        self.hubs[name] = hub
        self.instances[name] = instance
        self.coordinations[name] = coordination
        self.quick[name] = {}
        self.tasks.append(asyncio.create_task(hub.run()))
        self.tasks.append(asyncio.create_task(coordination.run()))

    def step(self) -> None:
        """Advances workers and instances by one step."""
        for worker in self.workers.values():
            worker.step(self.net.now_ms)
        self._report_ends()
        for instance in self.instances.values():
            instance.step()


class _LocalState:
    """Local state for heartbeats, with varying numbers of quick requests."""

    draining = False
    config_version = 1
    generation = 0

    def __init__(self, world: LiveWorld, name: str) -> None:
        self._world = world
        self._name = name

    def load(self) -> dispatch_model.EntryLoad:
        """Returns the load of the instance double and of quick requests."""
        load = self._world.instances[self._name].load()
        running = dict(self._world.quick[self._name])
        waiting = {f"{team}-q": n for team, n in running.items() if n > 5}
        return dispatch_model.EntryLoad(load.free, waiting, running)


def _sent_bytes(world: LiveWorld) -> dict[str, Rates]:
    """Returns the total bytes that each instance has sent."""
    found = {}
    for name, hub in world.hubs.items():
        sent = dict.fromkeys(registry.Traffic, 0)
        between = 0
        for peer, link in hub.link_traffic().items():
            for kind, size in link.sent.items():
                sent[kind] += size
            if world.zone_of[peer] != world.zone_of[name]:
                between += sum(link.sent.values())
        found[name] = Rates(
            sent[registry.Traffic.CONTROL],
            sent[registry.Traffic.DIGEST],
            sent[registry.Traffic.WORK],
            between,
        )
    return found


async def _run_steps(world: LiveWorld, seconds: float, load: bool) -> None:
    """Steps the cluster for a number of seconds."""
    steps = int(seconds / _STEP_S)
    for index in range(steps):
        world.step()
        if load:
            await _apply_load(world, index)
        await asyncio.sleep(_STEP_S)


async def _apply_load(world: LiveWorld, index: int) -> None:
    """Submits jobs, ends tasks, and requests and returns holdings."""
    names = list(world.hubs)
    if index % int(1 / _STEP_S / _LOAD_JOBS_PER_S) == 0:
        gateway = world.coordinations[world.source.choice(names)].gateway
        spec = control_world.job_spec(
            team=world.source.choice(_TEAMS), tasks=_LOAD_TASKS_PER_JOB
        )
        await gateway.submit(spec)
    for worker, task in world.running():
        if world.source.random() < _STEP_S / _TASK_S and worker.owner:
            world.end(task.task_id)
    for name in names:
        team = world.source.choice(_TEAMS)
        world.quick[name][team] = world.source.randrange(12)
        world.coordinations[name].ask_holding(team, 1)
        if world.instances[name].holdings.give_back(team, 1):
            world.coordinations[name].agent.holding_returned(team)


async def measure(load: bool) -> dict[str, Rates]:
    """Returns the send rates of all instances in bytes per second.

    Args:
        load: Whether to run jobs and change holdings.
    """
    world = LiveWorld()
    for team in _TEAMS:
        world.config.set_team(team, 64)
    for zone, names in _LAYOUT.items():
        for index in range(_WORKERS_PER_ZONE):
            world.add_worker(f"{zone}-w{index}", zone, _SLOTS)
        for name in names:
            await world.start(name, zone)
    await _run_steps(world, _WARM_UP_S, load)
    before = _sent_bytes(world)
    started = len(world.starts)
    await _run_steps(world, _MEASURE_S, load)
    after = _sent_bytes(world)
    rate = (len(world.starts) - started) / _MEASURE_S
    print(f"load={load}: {rate:.0f} task starts/s, {world.violations}")
    for task in world.tasks:
        task.cancel()
    await asyncio.gather(*world.tasks, return_exceptions=True)
    return {
        name: Rates(
            *[
                (b - a) / _MEASURE_S
                for a, b in zip(before[name], after[name], strict=True)
            ]
        )
        for name in before
    }


def main() -> None:
    """Prints the send rates without and with load."""
    for load in (False, True):
        rates = asyncio.run(measure(load))
        for name, rate in rates.items():
            numbers = " ".join(f"{value:8.0f}" for value in rate)
            print(f"{name} control/digest/work/between zones B/s: {numbers}")


if __name__ == "__main__":
    main()
