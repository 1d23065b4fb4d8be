"""Workers of a cell: their capacity, runs, leases and eligibility."""

from __future__ import annotations

import enum

from marigoldgap.cell import model
from marigoldgap.cell import runs
from marigoldgap.cell import worker_process

# A worker's monotonic clock may run slower than ours by up to this share.
CLOCK_DRIFT = 0.02
# A worker is quarantined after this many consecutive failed runs that belong
# to at least this many jobs.
_QUARANTINE_FAILURES = 3
_QUARANTINE_JOBS = 2
# Initial quarantine; doubles with each failed probe up to the maximum: a task that
# lasts may have no run for 3 s, once 4 s have passed without trouble.
_QUARANTINE_S = 2.0
_MAX_QUARANTINE_S = 4.0
# Time at work after which a long-running task proves that its worker is sound.
_PROOF_S = 2.0


class Contact(enum.Enum):
    """Connection state of a worker.

    Attributes:
        JOINING: It has not answered this leader yet.
        ANSWERING: It answered the latest lease renewal.
        SILENT: The latest renewal failed; its runs may still be active.
        GONE: Its process has ended or its lease has expired.
    """

    JOINING = "joining"
    ANSWERING = "answering"
    SILENT = "silent"
    GONE = "gone"


class Worker:
    """One worker that may hold runs.

    Args:
        registration: Registration of the worker.
        now: Current monotonic time in seconds.
        inherited_lease_s: Longest remaining time, in seconds, of a lease that
            an earlier leader may have granted.
    """

    def __init__(
        self,
        registration: model.Registration,
        now: float,
        inherited_lease_s: float = 0.0,
    ) -> None:
        self.registration = registration
        # Largest amount of each resource that it has had: what was started
        # before its capacity shrank may still run. The stored roster has it.
        self.largest_capacity = registration.capacity
        self.contact = Contact.JOINING
        # Whether a write of the worker to the stored roster was scheduled, and
        # whether the roster has it. Only then may runs start on it, so that
        # the next leader knows every worker that may have runs.
        self.has_roster_row = False
        self.is_rostered = False
        self.is_registered = True
        # Whether its registration was removed, or was missing when all were
        # read. Of an inherited worker, neither may be known yet.
        self.has_vanished = False
        # Whether the current incarnation drains, so that its process may end.
        self.is_leaving = registration.is_draining
        self.runs: dict[model.RunName, runs.Run] = {}
        # Allocated millicores, MiB of memory and accelerators.
        self.used = [0, 0, 0]
        self.born_ms = 0
        # Highest number up to which all ended runs were handled, numbers of
        # further ones, and the highest number whose effects are stored.
        self.handled_number = 0
        self._handled_beyond: set[int] = set()
        self.stored_number = 0
        # Jobs of handled ends whose effects may not be stored yet.
        self.unstored_jobs: set[str] = set()
        # Runs that have ended, or may have, and whose job may be stored but is
        # not known here yet, with the monotonic times, in seconds, of their
        # first listings.
        self.pending_ends: dict[model.RunName, float] = {}
        self._clock_ms = 0
        self._clock_read_s = now
        # Latest lease end that the worker may have received, on its clock.
        self.lease_until_ms = 0
        self._inherited_until_s = now + inherited_lease_s
        # Monotonic time, in seconds, before which no run is started on it.
        self.avoid_until_s = 0.0
        # Runs that the worker lists but whose job is not known here yet, with
        # the time of their first listing. The resources that they use are not
        # known either.
        self.unknown_runs: dict[model.RunName, float] = {}
        self._failed_jobs: list[str] = []
        self._quarantine_s = _QUARANTINE_S
        self._quarantined_until_s = 0.0
        self.is_quarantined = False
        # Monotonic time of the latest failed run, in seconds.
        self.last_failure_s = 0.0

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.registration.worker_id

    @property
    def process(self) -> worker_process.WorkerProcess:
        """The process that has answered latest."""
        return worker_process.WorkerProcess(self.worker_id, self.born_ms)

    @property
    def is_over_capacity(self) -> bool:
        """Whether its runs exceed its capacity, which has shrunk."""
        return min(self.free()) < 0

    def is_cold(self, now: float) -> bool:
        """Returns whether runs that start now are slow for a while."""
        return now < self.registration.cold_until_s

    def accepts(self, now: float) -> bool:
        """Returns whether new runs may be started on this worker."""
        return self.is_available(now) and not self.is_withheld(now)

    def is_available(self, now: float) -> bool:
        """Returns whether a worker may be used, apart from a quarantine."""
        return (
            self.contact is Contact.ANSWERING
            and self._is_described
            and self.is_rostered
            and self.is_registered
            and not self.registration.is_draining
            and not self.unknown_runs
            and now >= self.avoid_until_s
        )

    @property
    def _is_described(self) -> bool:
        """Whether its registration is that of the process that answers.

        The next process may have other labels, capacity or service under the
        same id.
        """
        return not self.process.is_other(
            worker_process.of_registration(self.registration)
        )

    def is_withheld(self, now: float) -> bool:
        """Returns whether the quarantine of a worker keeps new runs from it.

        After a pause it gets one run at a time, as a probe. Long-running
        tasks are not counted: they would keep others from it for good.
        """
        return self.is_quarantined and (
            now < self._quarantined_until_s or self._is_probed
        )

    def may_be_released(self, now: float) -> bool:
        """Returns whether a withheld worker may be used if others lack."""
        return now >= self.last_failure_s + _QUARANTINE_S

    @property
    def _is_probed(self) -> bool:
        return any(
            not run.step.spec.is_long_running for run in self.runs.values()
        )

    def free(self) -> list[int]:
        """Returns the free amount of each resource."""
        capacity = self.registration.capacity
        return [
            capacity.millicores - self.used[0],
            capacity.memory_mib - self.used[1],
            capacity.accelerators - self.used[2],
        ]

    def add(self, run: runs.Run) -> None:
        """Allocates the resources of a run on this worker."""
        self.runs[run.name] = run
        self._allocate(run.step.spec, 1)

    def remove(self, run: runs.Run) -> None:
        """Frees the resources of a run that has ended."""
        if self.runs.pop(run.name, None) is not None:
            self._allocate(run.step.spec, -1)

    def _allocate(self, spec: model.StepSpec, sign: int) -> None:
        for index, amount in enumerate(spec.taken):
            self.used[index] += sign * amount

    def is_end_handled(self, number: int) -> bool:
        """Returns whether the ended run with a number was handled."""
        return number <= self.handled_number or number in self._handled_beyond

    def record_handled_end(self, number: int, may_acknowledge: bool) -> None:
        """Records that the ended run with a number was handled.

        Args:
            number: Number of the end.
            may_acknowledge: Whether all ends before it were handled as well.
        """
        if not may_acknowledge:
            self._handled_beyond.add(number)
            return
        self.handled_number = max(self.handled_number, number)
        self._handled_beyond.discard(number)

    def observe_clock(self, clock_ms: int, now: float) -> None:
        """Records the worker's clock as read in an answer."""
        self._clock_ms = clock_ms
        self._clock_read_s = now

    def clock_ms(self, now: float) -> int:
        """Returns a lower bound of the worker's clock, in milliseconds."""
        elapsed = (now - self._clock_read_s) * (1 - CLOCK_DRIFT)
        return self._clock_ms + int(elapsed * 1000)

    def grant_lease(self, now: float, lease_s: float) -> int:
        """Records a lease that is granted now.

        Returns:
            The end of the lease on the worker's clock, in milliseconds.
        """
        until = self.clock_ms(now) + int(lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until)
        return until

    def is_lease_expired(self, now: float) -> bool:
        """Returns whether the lease has expired on the worker's own clock."""
        if now <= self._inherited_until_s:
            return False
        return self.clock_ms(now) > self.lease_until_ms

    def update_registration(self, registration: model.Registration) -> None:
        """Replaces the registration.

        The registration of the next incarnation may arrive before the end of
        the current one is known.
        """
        is_same = registration.born_ms == self.registration.born_ms
        if registration.is_draining or is_same:
            self.is_leaving = registration.is_draining
        self.registration = registration
        self.largest_capacity = model.Demand(
            *map(max, self.largest_capacity, registration.capacity)
        )

    def reset_incarnation(
        self, born_ms: int, now: float, max_lease_s: float
    ) -> None:
        """Resets the state kept for an earlier incarnation with the same id.

        Args:
            born_ms: Wall time at which the new incarnation started.
            now: Current monotonic time in seconds.
            max_lease_s: Longest time, in seconds, of a lease that a command
                for the earlier incarnation may have granted to the new one.
        """
        if self.born_ms:
            # The clock of the new incarnation starts anew.
            self.lease_until_ms = 0
            self._inherited_until_s = max(
                self._inherited_until_s, now + max_lease_s
            )
        self.born_ms = born_ms
        self.is_leaving = self.registration.is_draining
        self.handled_number = 0
        self._handled_beyond.clear()
        self.pending_ends.clear()
        self.unstored_jobs.clear()
        self.stored_number = 0

    def record_done(self) -> None:
        """Records a run that completed; ends a quarantine."""
        self._failed_jobs.clear()
        self.is_quarantined = False
        self._quarantine_s = _QUARANTINE_S

    def record_progress(self, run: runs.Run, now: float) -> None:
        """Records that a run is at work.

        A long-running task may never complete, so it ends a quarantine once it has
        been at work for a while.
        """
        if self.is_probe(run) and now - run.confirmed_s >= _PROOF_S:
            self.record_done()

    def is_probe(self, run: runs.Run) -> bool:
        """Returns whether a long-running task may prove the worker sound."""
        return (
            self.is_quarantined
            and run.step.spec.is_long_running
            and run.started_s > self.last_failure_s
        )

    def record_failure(self, job_id: str, now: float) -> bool:
        """Records a failed run; returns whether the worker is quarantined."""
        self._failed_jobs.append(job_id)
        self.last_failure_s = now
        enough = (
            len(self._failed_jobs) >= _QUARANTINE_FAILURES
            and len(set(self._failed_jobs)) >= _QUARANTINE_JOBS
        )
        if not enough and not self.is_quarantined:
            return False
        # Runs that were started before the pause, or by the same plan as a failed
        # probe, prolong the pause but do not double it.
        if self.is_quarantined and now >= self._quarantined_until_s:
            self._quarantine_s = min(2 * self._quarantine_s, _MAX_QUARANTINE_S)
        self.is_quarantined = True
        self._quarantined_until_s = now + self._quarantine_s
        return True


class Fleet:
    """All workers that may have runs."""

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}

    def __len__(self) -> int:
        return len(self._workers)

    def get(self, worker_id: str) -> Worker | None:
        """Returns the worker with the given id."""
        return self._workers.get(worker_id)

    def may_accept(self, worker_id: str) -> bool:
        """Returns whether a worker accepts commands, or has not answered yet."""
        worker = self.get(worker_id)
        return worker is not None and worker.contact in (
            Contact.JOINING,
            Contact.ANSWERING,
        )

    def add(self, worker: Worker) -> None:
        """Adds a worker."""
        self._workers[worker.worker_id] = worker

    def remove(self, worker: Worker) -> None:
        """Removes a worker that is known to be gone."""
        self._workers.pop(worker.worker_id, None)

    def values(self) -> list[Worker]:
        """Returns all workers."""
        return list(self._workers.values())
