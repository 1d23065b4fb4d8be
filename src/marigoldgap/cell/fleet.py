"""Workers of a cell: what they have, what they run, what they can be given."""

from __future__ import annotations

import enum

from marigoldgap.cell import model
from marigoldgap.cell import runs

# A worker's steady clock may run this much slower than ours.
CLOCK_DRIFT = 0.02
# Failed runs in a row, of at least two jobs, after which a worker is set aside.
_QUARANTINE_FAILURES = 3
_QUARANTINE_JOBS = 2
# Time in quarantine; doubles with each failed probe up to the maximum.
_QUARANTINE_S = 2.0
_MAX_QUARANTINE_S = 16.0


class Contact(enum.Enum):
    """Whether a worker answers."""

    JOINING = "joining"
    ANSWERING = "answering"
    SILENT = "silent"
    GONE = "gone"


class Worker:
    """One worker that may hold runs.

    Args:
        registration: What it says of itself.
        now: Current time.
        inherited_lease_s: How long a lease of an earlier elected instance may
            last from now on.
    """

    def __init__(
        self,
        registration: model.Registration,
        now: float,
        inherited_lease_s: float = 0.0,
    ) -> None:
        self.registration = registration
        self.contact = Contact.JOINING
        self.is_rostered = False
        self.is_listed = True
        self.runs: dict[model.RunName, runs.Run] = {}
        self.used = [0, 0, 0]
        self.born_ms = 0
        # Highest end that was handled and the highest that is stored.
        self.handled_number = 0
        self.stored_number = 0
        self._clock_ms = 0
        self._clock_read_s = now
        # Latest end of lease that the worker may have received.
        self.lease_until_ms = 0
        self._inherited_until_s = now + inherited_lease_s
        self.avoid_until_s = 0.0
        # Runs that the worker lists and whose job is not known here yet; what
        # they use is not known either. The time is that of the first listing.
        self.unaccounted: dict[model.RunName, float] = {}
        self._failed_jobs: list[str] = []
        self._quarantine_s = _QUARANTINE_S
        self.is_quarantined = False

    @property
    def worker_id(self) -> str:
        """Identifier of the worker."""
        return self.registration.worker_id

    def accepts(self, now: float) -> bool:
        """Whether new runs may be started here."""
        return (
            self.contact is Contact.ANSWERING
            and self.is_rostered
            and self.is_listed
            and not self.registration.is_draining
            and not self.unaccounted
            and now >= self.avoid_until_s
            and not (self.is_quarantined and self.runs)
        )

    def free(self) -> list[int]:
        """Returns what is free of each resource."""
        capacity = self.registration.capacity
        return [
            capacity.millicores - self.used[0],
            capacity.memory_mib - self.used[1],
            capacity.accelerators - self.used[2],
        ]

    def add(self, run: runs.Run) -> None:
        """Charges a run to this worker."""
        self.runs[run.name] = run
        self._charge(run.step.spec, 1)

    def remove(self, run: runs.Run) -> None:
        """Frees the resources of a run that has certainly ended."""
        if self.runs.pop(run.name, None) is not None:
            self._charge(run.step.spec, -1)

    def _charge(self, spec: model.StepSpec, sign: int) -> None:
        if spec.uses_idle_only:
            self.used[1] += sign * spec.demand.memory_mib
            return
        for part, amount in enumerate(spec.demand):
            self.used[part] += sign * amount

    def observe_clock(self, clock_ms: int, now: float) -> None:
        """Records the worker's clock as read in an answer."""
        self._clock_ms = clock_ms
        self._clock_read_s = now

    def clock_ms(self, now: float) -> int:
        """Returns a time that the worker's clock has reached."""
        elapsed = (now - self._clock_read_s) * (1 - CLOCK_DRIFT)
        return self._clock_ms + int(elapsed * 1000)

    def lease_end_ms(self, now: float, lease_s: float) -> int:
        """Returns the end of a lease granted now, and records it."""
        until = self.clock_ms(now) + int(lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until)
        return until

    def has_lapsed(self, now: float) -> bool:
        """Whether the worker's lease has ended on its own clock."""
        if now <= self._inherited_until_s:
            return False
        return self.clock_ms(now) > self.lease_until_ms

    def begin_life(self, born_ms: int) -> None:
        """Forgets what was known of an earlier life with the same id."""
        self.born_ms = born_ms
        self.handled_number = 0
        self.stored_number = 0

    def record_done(self) -> None:
        """Records a run that ended well."""
        self._failed_jobs.clear()
        self.is_quarantined = False
        self._quarantine_s = _QUARANTINE_S

    def record_failure(self, job_id: str, now: float) -> bool:
        """Records a failed run; returns whether the worker is set aside."""
        self._failed_jobs.append(job_id)
        enough = (
            len(self._failed_jobs) >= _QUARANTINE_FAILURES
            and len(set(self._failed_jobs)) >= _QUARANTINE_JOBS
        )
        if not enough and not self.is_quarantined:
            return False
        self.is_quarantined = True
        self.avoid_until_s = now + self._quarantine_s
        self._quarantine_s = min(2 * self._quarantine_s, _MAX_QUARANTINE_S)
        return True


class Fleet:
    """All workers that may hold runs."""

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}

    def __len__(self) -> int:
        return len(self._workers)

    def get(self, worker_id: str) -> Worker | None:
        """Returns the worker with the id."""
        return self._workers.get(worker_id)

    def add(self, worker: Worker) -> None:
        """Adds a worker."""
        self._workers[worker.worker_id] = worker

    def remove(self, worker: Worker) -> None:
        """Removes a worker that is certainly gone."""
        self._workers.pop(worker.worker_id, None)

    def values(self) -> list[Worker]:
        """Returns all workers."""
        return list(self._workers.values())
