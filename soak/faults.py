"""Faults that a run injects; a decorator registers each by its name."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
from typing import TYPE_CHECKING

from soak import instances
from soak import planned_stops
from soak import proxy

if TYPE_CHECKING:
    from soak import world as worlds

Fault = Callable[["worlds.World"], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Every fault undoes its effect within this time, but that of a capacity.
_MAX_FAULT_S = 5.0
# Longest delay of a call to the store.
_MAX_STORE_DELAY_S = 0.9
# Time for which a capacity that has shrunk counts no less: no other fault keeps
# the leader from the registrations for longer.
_SHRUNK_GRACE_S = _MAX_FAULT_S + 1.0
_FULL_MILLICORES = 16_000
# A gang of the callers needs at most one member more than the lowest limit; 0 is
# no limit.
_LIMITS_MILLICORES = (0, 20_000, 28_000, 40_000)
# Pause before the operator repeats a write that the store has refused.
_OPERATOR_RETRY_S = 0.1
# Range of the delays of commands that are carried out late.
_LATE_ORDER_S = (2.0, 12.0)
# Longest time that a stopped run takes to end.
_MAX_STOP_S = 0.9
# Longest pause between two signals of a series.
_MAX_SIGNAL_GAP_S = 0.8


def _fault(function: Fault) -> Fault:
    FAULTS[function.__name__] = function
    return function


@_fault
async def kill_instances(world: worlds.World) -> None:
    """Kills some instances; the supervisor restarts them."""
    chosen = world.random_source.sample(
        world.instances, world.random_source.randint(1, len(world.instances))
    )
    for instance in chosen:
        instance.send_signal(signal.SIGCONT)
        instance.send_signal(signal.SIGKILL)


@_fault
async def stop_gracefully(world: worlds.World) -> None:
    """Asks an instance to shut down; the supervisor restarts it."""
    instance = world.random_source.choice(world.instances)
    if not instance.is_paused:
        await planned_stops.stop_in_use(world, instance, [signal.SIGTERM])


@_fault
async def stop_beside_late_answers(world: worlds.World) -> None:
    """Stops an instance while the store is slow until after its end."""
    await asyncio.gather(
        stop_gracefully(world),
        _delay_store(
            world,
            world.random_source.uniform(0.0, instances.SHUTDOWN_S / 2),
            world.random_source.uniform(0.5, _MAX_STORE_DELAY_S),
            instances.SHUTDOWN_S,
        ),
    )


@_fault
async def send_signal_series(world: worlds.World) -> None:
    """Sends SIGTERM and SIGHUP by turns, beside faults of the store."""
    source = world.random_source
    chosen = set(
        source.sample(
            world.instances, source.randint(1, (len(world.instances) + 1) // 2)
        )
    )
    if world.leader is not None and source.random() < 0.5:
        chosen.add(world.leader)
    besides = (slow_store, lose_store_answers, change_configuration)
    await asyncio.gather(
        *(fault(world) for fault in besides if source.random() < 0.5),
        *(
            planned_stops.stop_in_use(
                world, instance, _signal_series(world), _MAX_SIGNAL_GAP_S
            )
            for instance in chosen
            if not instance.is_paused
        ),
    )


def _signal_series(world: worlds.World) -> list[signal.Signals]:
    """Returns signals that end with SIGTERM, its repetitions included."""
    count = world.random_source.randint(2, 6)
    return [
        signal.SIGTERM if number % 2 == 0 else signal.SIGHUP
        for number in range(count, -1, -1)
    ]


@_fault
async def pause_instance(world: worlds.World) -> None:
    """Suspends an instance for a while."""
    instance = world.random_source.choice(world.instances)
    instance.send_signal(signal.SIGSTOP)
    await asyncio.sleep(world.random_source.uniform(0.3, _MAX_FAULT_S))
    instance.send_signal(signal.SIGCONT)


@_fault
async def reload_settings(world: worlds.World) -> None:
    """Sends the signal to reload settings to all instances."""
    for instance in world.instances:
        instance.send_signal(signal.SIGHUP)


async def _impair_links(world: worlds.World, links: list[proxy.Proxy]) -> None:
    for link in links:
        link.mode = world.random_source.choice(list(proxy.Mode)[1:])
        link.delay_s = world.random_source.uniform(0.01, 0.3)
    await asyncio.sleep(world.random_source.uniform(0.5, _MAX_FAULT_S))
    for link in links:
        link.mode = proxy.Mode.PASS
        # The reset discards bytes that the proxy withheld.
        link.reset()


@_fault
async def harm_store_links(world: worlds.World) -> None:
    """Delays or blocks the link of one instance to the store."""
    links = list(world.store_links.values())
    await _impair_links(world, world.random_source.sample(links, 1))


@_fault
async def thin_store_links(world: worlds.World) -> None:
    """Limits the rate of the links of all instances to the store."""
    links = list(world.store_links.values())
    for link in links:
        link.answer_rate = world.random_source.uniform(10_000, 100_000)
    await asyncio.sleep(world.random_source.uniform(1.0, _MAX_FAULT_S))
    for link in links:
        link.answer_rate = 0.0


@_fault
async def harm_worker_links(world: worlds.World) -> None:
    """Delays or blocks links to workers."""
    await _impair_links(
        world, world.random_source.sample(world.worker_links, 2)
    )


@_fault
async def refuse_at_worker_links(world: worlds.World) -> None:
    """Refuses connections to workers that keep running."""
    links = world.random_source.sample(world.worker_links, 2)
    for link in links:
        link.close()
    await asyncio.sleep(world.random_source.uniform(0.5, _MAX_FAULT_S))
    for link in links:
        # A link whose worker was replaced meanwhile stays closed.
        if link in world.worker_links:
            await link.start()


@_fault
async def slow_store(world: worlds.World) -> None:
    """Delays each call to the store."""
    await _delay_store(
        world,
        0.0,
        world.random_source.uniform(0.1, _MAX_STORE_DELAY_S),
        world.random_source.uniform(0.5, _MAX_FAULT_S),
    )


async def _delay_store(
    world: worlds.World, start_s: float, delay_s: float, duration_s: float
) -> None:
    await asyncio.sleep(start_s)
    world.store.delay_s = delay_s
    await asyncio.sleep(duration_s)
    world.store.delay_s = 0.0


@_fault
async def slow_worker(world: worlds.World) -> None:
    """Makes new runs on a worker 3 to 10 times as long."""
    worker = world.random_source.choice(world.workers)
    worker.duration_factor = world.random_source.uniform(3, 10)
    await asyncio.sleep(world.random_source.uniform(0.5, _MAX_FAULT_S))
    worker.duration_factor = 1.0


@_fault
async def reset_links(world: worlds.World) -> None:
    """Resets all connections to the store and to workers."""
    for link in (*world.store_links.values(), *world.worker_links):
        link.reset()


@_fault
async def refuse_at_store(world: worlds.World) -> None:
    """Makes the store refuse calls or leave them without a response."""
    if world.random_source.random() < 0.3:
        world.store.is_silent = True
    else:
        world.store.refusal = world.random_source.choice((429, 503))
    await asyncio.sleep(world.random_source.uniform(0.3, _MAX_FAULT_S))
    world.store.refusal = 0
    world.store.is_silent = False


@_fault
async def lose_store_answers(world: worlds.World) -> None:
    """Withholds the responses to some writes."""
    world.store.lost += world.random_source.randint(1, 5)


@_fault
async def forget_history(world: worlds.World) -> None:
    """Drops the change history of the store, so that feeds start over."""
    world.store.first_version_kept = world.store.version


@_fault
async def leave_orders_unanswered(world: worlds.World) -> None:
    """Makes workers start runs without responding to the request."""
    for worker in world.random_source.sample(world.workers, 2):
        worker.unanswered += world.random_source.randint(1, 3)


@_fault
async def replace_worker(world: worlds.World) -> None:
    """Replaces a worker by a new one, sometimes under the same id."""
    await world.replace_worker(keeps_id=world.random_source.random() < 0.4)


@_fault
async def change_configuration(world: worlds.World) -> None:
    """Writes a new version of the configuration."""
    world.change_configuration()


@_fault
async def change_limit(world: worlds.World) -> None:
    """Raises or lowers the upper limit of the workspace.

    The operator waits as well while the store serves nobody.
    """
    while world.store.refusal or world.store.is_silent:
        await asyncio.sleep(_OPERATOR_RETRY_S)
    world.change_configuration(world.random_source.choice(_LIMITS_MILLICORES))


@_fault
async def carry_orders_out_late(world: worlds.World) -> None:
    """Makes workers carry out commands late, without a response."""
    for worker in world.random_source.sample(world.workers, 2):
        worker.late_orders += [
            world.random_source.uniform(*_LATE_ORDER_S)
            for _ in range(world.random_source.randint(1, 6))
        ]


@_fault
async def stop_runs_slowly(world: worlds.World) -> None:
    """Makes stopped runs of a worker end late."""
    worker = world.random_source.choice(world.workers)
    worker.stop_s = world.random_source.uniform(0.1, _MAX_STOP_S)
    await asyncio.sleep(world.random_source.uniform(0.5, _MAX_FAULT_S))
    worker.stop_s = 0.0


@_fault
async def submit_crashing_job(world: worlds.World) -> None:
    """Submits a job whose task crashes each worker that runs it."""
    job_id = f"{world.random_source.getrandbits(64):016x}"
    run_ms = world.random_source.randint(20, 800)
    await world.callers.submit(job_id, f"ms={run_ms} cpu=1000 crash")


@_fault
async def crash_worker(world: worlds.World) -> None:
    """Crashes a worker that no task has crashed; it comes back."""
    worker = world.random_source.choice(world.workers)
    worker.resets_on_crash = world.random_source.random() < 0.5
    worker.restart_s = world.random_source.uniform(0.1, _MAX_FAULT_S)
    if not worker.is_down:
        worker.crash()


@_fault
async def shrink_capacity(world: worlds.World) -> None:
    """Shrinks the capacity of a worker for a while, beyond its grace."""
    worker = world.random_source.choice(world.workers)
    cores = world.random_source.choice((4000, 6000, 8000))
    worker.change_capacity(_SHRUNK_GRACE_S, cpu=cores)
    await asyncio.sleep(
        _SHRUNK_GRACE_S + world.random_source.uniform(0.5, _MAX_FAULT_S)
    )
    worker.change_capacity(cpu=_FULL_MILLICORES)
