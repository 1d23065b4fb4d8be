"""Registry of faults and the seeded schedule that injects them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import pkgutil
import random

from bench import cluster
from bench import fault_kinds
from bench import jobs
from bench import observations
from bench import wiring
from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs

ALL = "all"
NONE = "none"
_WARM_UP_S = 3.0
_MIN_GAP_S = 1.0
_MAX_GAP_S = 5.0
_log = logs.PartLogger("faults")


class UnknownFaultError(errors.MarigoldgapError):
    """The requested fault does not exist."""

    code = "unknown-fault"


class Context:
    """State that faults share: their targets, claims and records.

    Args:
        target: The deployment.
        accepted: The jobs of the load.
        source: Random generator of the schedule.
    """

    def __init__(
        self,
        target: cluster.Cluster,
        accepted: jobs.Jobs,
        source: random.Random,
    ) -> None:
        self._ending = asyncio.Event()
        self._claimed: set[str] = set()
        self.target = target
        self.jobs = accepted
        self.random = source
        self.disturbances: list[observations.Disturbance] = []
        self.limits: list[observations.LimitChange] = []
        self.withdrawals: list[observations.Withdrawal] = []
        self.history: list[tuple[int, str]] = []

    async def pause(self, min_s: float, max_s: float) -> None:
        """Waits for a random time, or until the schedule ends."""
        wait_s = self.random.uniform(min_s, max_s)
        try:
            await asyncio.wait_for(self._ending.wait(), wait_s)
        except TimeoutError:
            pass

    @property
    def is_ending(self) -> bool:
        """Whether all faults must be reverted now."""
        return self._ending.is_set()

    def end(self) -> None:
        """Ends the schedule: all faults are reverted."""
        self._ending.set()

    def claim_entry(
        self, among: tuple[wiring.Entry, ...] | None = None
    ) -> wiring.Entry | None:
        """Claims a random entry instance; None if all are claimed."""
        entries = among or self.target.wired.entries
        free = [each for each in entries if self._is_free(each.instance_id)]
        if not free:
            return None
        chosen = self.random.choice(free)
        self._claimed.add(chosen.instance_id)
        return chosen

    def claim_worker(self) -> wiring.Worker | None:
        """Claims a random worker; None if all are claimed."""
        workers = self.target.wired.workers
        free = [each for each in workers if self._is_free(each.worker_id)]
        if not free:
            return None
        chosen = self.random.choice(free)
        self._claimed.add(chosen.worker_id)
        return chosen

    def claim(self, name: str) -> bool:
        """Claims a target by name; returns False if it is already claimed."""
        if not self._is_free(name):
            return False
        self._claimed.add(name)
        return True

    def release(self, name: str) -> None:
        """Releases a claimed target."""
        self._claimed.discard(name)

    def record_disturbance(self, kind: str, zone: str, from_ms: int) -> None:
        """Records a fault that prevented changes from spreading until now."""
        ended_ms = clock.monotonic_ms()
        self.disturbances.append(
            observations.Disturbance(kind, zone, from_ms, ended_ms)
        )

    def record(self, message: str) -> None:
        """Logs an action of a fault and adds it to the history."""
        _log.info("%s", message)
        self.history.append((clock.monotonic_ms(), message))

    def _is_free(self, name: str) -> bool:
        """Returns whether no fault has claimed a target."""
        return name not in self._claimed


Fault = Callable[[Context], Awaitable[None]]
_faults: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault, which must revert its changes before it returns."""

    def add(perform: Fault) -> Fault:
        _faults[name] = perform
        return perform

    return add


def names(wanted: str) -> list[str]:
    """Returns the names of the faults that a command line selects.

    Args:
        wanted: `all`, `none` or names separated by commas.

    Raises:
        UnknownFaultError: There is no fault of one of the names.
    """
    for module in pkgutil.iter_modules(fault_kinds.__path__):
        importlib.import_module(f"{fault_kinds.__name__}.{module.name}")
    if wanted == NONE:
        return []
    if wanted == ALL:
        return sorted(_faults)
    chosen = wanted.split(",")
    for name in chosen:
        if name not in _faults:
            known = ", ".join(sorted(_faults))
            raise UnknownFaultError(
                f"unknown fault {name!r}; known faults: {known}"
            )
    return chosen


async def run(context: Context, chosen: list[str], duration_s: float) -> None:
    """Injects faults at random times, also overlapping, then reverts all.

    Args:
        context: State that the faults share.
        chosen: Names of faults; each is injected before one is repeated.
        duration_s: Time until no fault begins and all are reverted.
    """
    if not chosen:
        return
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    tasks: set[asyncio.Task[None]] = set()
    waiting: list[str] = []
    await asyncio.sleep(_WARM_UP_S)
    while loop.time() < end_s:
        if not waiting:
            waiting = context.random.sample(chosen, len(chosen))
        tasks.add(asyncio.create_task(_inject(context, waiting.pop())))
        gap_s = context.random.uniform(_MIN_GAP_S, _MAX_GAP_S)
        await asyncio.sleep(min(gap_s, max(0.0, end_s - loop.time())))
    context.end()
    await asyncio.gather(*tasks)


async def _inject(context: Context, name: str) -> None:
    """Injects one fault; its own failure must not stop the other faults."""
    context.record(f"{name} begins")
    try:
        await _faults[name](context)
    except errors.MarigoldgapError as error:
        context.record(f"{name} failed: {error.detail}")
    context.record(f"{name} ends")
