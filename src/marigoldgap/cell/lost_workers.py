"""Suspects crashes of workers that fell silent until their leases expired.

An expired lease does not tell a crash from a network cut. The worker has
probably crashed if its registration vanishes as well, or if another incarnation
takes its id. It has not if the same incarnation is heard of again.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import runs
from marigoldgap.cell import worker_process

# Time for which a lost worker is remembered, in seconds.
_MEMORY_S = 600.0


class _LostWorker(NamedTuple):
    """A worker whose lease has expired.

    Attributes:
        process: Its process.
        runs: The runs that it had.
        lost_s: Monotonic time at which its lease expired, in seconds.
        is_suspected: Whether it is suspected to have crashed.
    """

    process: worker_process.WorkerProcess
    runs: tuple[runs.Run, ...]
    lost_s: float
    is_suspected: bool


class LostWorkers:
    """Remembers lost workers until it is known what became of them.

    Args:
        suspect: Counts a suspected crash under a run.
        withdraw: Undoes the count.
    """

    def __init__(
        self,
        suspect: Callable[[runs.Run], None],
        withdraw: Callable[[runs.Run], None],
    ) -> None:
        self._suspect = suspect
        self._withdraw = withdraw
        # In the order of their losses.
        self._lost: collections.OrderedDict[str, _LostWorker] = (
            collections.OrderedDict()
        )

    def add(self, worker: fleet.Worker) -> None:
        """Remembers a worker whose lease has expired, before its runs end."""
        now = clock.now_s()
        self._forget_old(now)
        if not worker.runs or worker.is_leaving:
            return
        self._lost.pop(worker.worker_id, None)
        self._lost[worker.worker_id] = _LostWorker(
            worker.process
            if worker.process.is_known
            else worker_process.of_registration(worker.registration),
            tuple(worker.runs.values()),
            now,
            False,
        )
        if worker.has_vanished:
            self.on_vanished(worker.worker_id)

    def on_vanished(self, worker_id: str) -> None:
        """Suspects a lost worker, as its registration was removed."""
        lost = self._lost.get(worker_id)
        if lost is None or lost.is_suspected:
            return
        self._lost[worker_id] = lost._replace(is_suspected=True)
        for run in lost.runs:
            self._suspect(run)

    def on_registered(self, registration: model.Registration) -> None:
        """Handles a registration, which may be from before the loss."""
        process = worker_process.of_registration(registration)
        lost = self._lost.get(process.worker_id)
        if lost is not None and (lost.is_suspected or lost.process != process):
            self.on_heard(process)

    def on_heard(self, process: worker_process.WorkerProcess) -> None:
        """Handles a sign of life of the process that has the id now."""
        lost = self._lost.get(process.worker_id)
        if lost is None:
            return
        if lost.process.is_other(process):
            self.on_vanished(process.worker_id)
        elif lost.is_suspected:
            for run in lost.runs:
                self._withdraw(run)
        del self._lost[process.worker_id]

    def _forget_old(self, now: float) -> None:
        while self._lost:
            worker_id, lost = next(iter(self._lost.items()))
            if now - lost.lost_s < _MEMORY_S:
                return
            del self._lost[worker_id]
