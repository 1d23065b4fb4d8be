"""Seeded schedules of faults; a registry filled by a decorator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import importlib
import pkgutil
import random

from bench import cluster
from bench import evidence
from bench import fault_kinds
from bench import jobs
from bench import wiring
from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs

ALL = "all"
NONE = "none"
_WARM_UP_S = 3.0
_LEAST_GAP_S = 1.0
_MOST_GAP_S = 5.0
_log = logs.PartLogger("faults")


class UnknownFaultError(errors.MarigoldgapError):
    """There is no fault of this name."""

    code = "unknown-fault"


class Context:
    """What faults act on, and what they tell the judge.

    Args:
        target: The deployment.
        accepted: The jobs of the load.
        source: Randomness of the schedule.
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
        self.disturbances: list[evidence.Disturbance] = []
        self.limits: list[evidence.LimitChange] = []
        self.withdrawals: list[evidence.Withdrawal] = []
        self.history: list[tuple[int, str]] = []

    async def hold(self, least_s: float, most_s: float) -> None:
        """Waits a random time, or until the schedule ends."""
        wait_s = self.random.uniform(least_s, most_s)
        try:
            await asyncio.wait_for(self._ending.wait(), wait_s)
        except TimeoutError:
            pass

    @property
    def is_ending(self) -> bool:
        """Whether faults must heal now."""
        return self._ending.is_set()

    def end(self) -> None:
        """Makes all faults heal."""
        self._ending.set()

    def claim_entry(
        self, among: tuple[wiring.Entry, ...] | None = None
    ) -> wiring.Entry | None:
        """Returns an entry instance that no other fault acts on."""
        entries = among or self.target.wired.entries
        free = [each for each in entries if self._is_free(each.instance_id)]
        if not free:
            return None
        chosen = self.random.choice(free)
        self._claimed.add(chosen.instance_id)
        return chosen

    def claim_worker(self) -> wiring.Worker | None:
        """Returns a worker that no other fault acts on."""
        workers = self.target.wired.workers
        free = [each for each in workers if self._is_free(each.worker_id)]
        if not free:
            return None
        chosen = self.random.choice(free)
        self._claimed.add(chosen.worker_id)
        return chosen

    def claim(self, name: str) -> bool:
        """Claims something by name unless another fault acts on it."""
        if not self._is_free(name):
            return False
        self._claimed.add(name)
        return True

    def release(self, name: str) -> None:
        """Lets other faults act on it."""
        self._claimed.discard(name)

    def disturb(self, kind: str, zone: str, from_ms: int) -> None:
        """Notes a fault that ended now and kept changes from spreading."""
        ended_ms = clock.monotonic_ms()
        self.disturbances.append(
            evidence.Disturbance(kind, zone, from_ms, ended_ms)
        )

    def note(self, message: str) -> None:
        """Notes what a fault does."""
        _log.info("%s", message)
        self.history.append((clock.monotonic_ms(), message))

    def _is_free(self, name: str) -> bool:
        """Returns whether no fault acts on it."""
        return name not in self._claimed


Fault = Callable[[Context], Awaitable[None]]
_faults: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault; it must heal what it did before it returns."""

    def add(perform: Fault) -> Fault:
        _faults[name] = perform
        return perform

    return add


def names(wanted: str) -> list[str]:
    """Returns the faults that a command line asks for.

    Args:
        wanted: `all`, `none` or names separated by commas.

    Raises:
        UnknownFaultError: There is no such fault.
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
            raise UnknownFaultError(f"{name!r}; known faults: {known}")
    return chosen


async def run(context: Context, chosen: list[str], duration_s: float) -> None:
    """Performs faults at random times, alone and together, then heals all.

    Args:
        context: What they act on.
        chosen: Names of faults; each is used before one is repeated.
        duration_s: Time until the last fault begins to heal.
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
        tasks.add(asyncio.create_task(_perform(context, waiting.pop())))
        gap_s = context.random.uniform(_LEAST_GAP_S, _MOST_GAP_S)
        await asyncio.sleep(min(gap_s, max(0.0, end_s - loop.time())))
    context.end()
    await asyncio.gather(*tasks)


async def _perform(context: Context, name: str) -> None:
    """Performs one fault; a failure of its own must not stop the others."""
    context.note(f"{name} begins")
    try:
        await _faults[name](context)
    except errors.MarigoldgapError as error:
        context.note(f"{name} failed: {error.detail}")
    context.note(f"{name} ends")
