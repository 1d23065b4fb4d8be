"""What plans need to know of all workers, from one scan of the fleet.

Designed for thousands of workers, of which a plan uses some hundred: the others
are not examined in each plan. In a large fleet several plans use one scan, which
may be out of date; a plan checks each worker that it uses.
"""

from __future__ import annotations

from marigoldgap.cell import fleet
from marigoldgap.cell import isolation
from marigoldgap.cell import model
from marigoldgap.cell import run_times

# A fleet of up to this many workers is scanned for each plan.
_SMALL_FLEET = 600
# Time for which the scan of a larger fleet is used.
_MAX_AGE_S = 0.25


class FleetSummary:
    """The workers that accept tasks, as of one moment.

    Args:
        workers: All workers of the cell.
        times: Learned run times and speeds.
        evacuated: Names of the evacuated zones, whose workers are left out.
        now: Current monotonic time in seconds.
    """

    def __init__(
        self,
        workers: fleet.Fleet,
        times: run_times.RunTimes,
        evacuated: frozenset[str],
        now: float,
    ) -> None:
        every = workers.values()
        self._taken_s = now
        self._evacuated = evacuated
        self._max_age_s = 0.0 if len(every) <= _SMALL_FLEET else _MAX_AGE_S
        # Resources of all workers.
        self.capacity = [
            sum(amounts)
            for amounts in zip(
                *(each.registration.capacity for each in every), strict=True
            )
        ] or [0, 0, 0]
        # Factors on run times by worker, of those that deviate from the others.
        self.slow_downs = {
            worker_id: factor
            for (worker_id, born_ms), factor in times.speeds.deviating(
                now
            ).items()
            if (worker := workers.get(worker_id)) is not None
            and worker.born_ms == born_ms
        }
        self._usable = [
            (worker, worker.free())
            for worker in every
            if worker.registration.zone not in evacuated
            and is_usable(worker, now)
        ]
        self._by_free_cores: dict[tuple[str, str], list[str]] = {}
        self._largest_free: dict[tuple[str, str], list[int]] = {}
        self._is_idle: dict[str, bool] = {}

    def is_current(self, evacuated: frozenset[str], now: float) -> bool:
        """Returns whether a plan may use this scan."""
        return (
            evacuated == self._evacuated
            and 0.0 <= now - self._taken_s < self._max_age_s
        )

    def names(self, service: str, label: str) -> list[str]:
        """Returns the workers of a service, in the order of the fleet.

        Args:
            service: Service of the workers.
            label: Label that they have; empty for any.
        """
        return [
            worker.worker_id for worker, _ in self._suitable(service, label)
        ]

    def by_free_cores(self, service: str, label: str) -> list[str]:
        """Returns the workers of a service, most free cores first.

        Args:
            service: Service of the workers.
            label: Label that they have; empty for any.
        """
        key = service, label
        found = self._by_free_cores.get(key)
        if found is None:
            suitable = self._suitable(service, label)
            suitable.sort(key=lambda each: -each[1][0])
            found = [worker.worker_id for worker, _ in suitable]
            self._by_free_cores[key] = found
        return found

    def largest_free(self, service: str, label: str) -> list[int]:
        """Returns the largest free amount of each resource on such a worker."""
        key = service, label
        largest = self._largest_free.get(key)
        if largest is None:
            largest = [0, 0, 0]
            for _, free in self._suitable(service, label):
                largest[:] = map(max, largest, free)
            self._largest_free[key] = largest
        return largest

    def is_idle(self, service: str) -> bool:
        """Returns whether less than half of the service's cores are in use."""
        is_idle = self._is_idle.get(service)
        if is_idle is None:
            total = unused = 0
            for worker, free in self._suitable(service, ""):
                total += worker.registration.capacity.millicores
                unused += free[0]
            is_idle = self._is_idle[service] = 2 * unused > total
        return is_idle

    def _suitable(
        self, service: str, label: str
    ) -> list[tuple[fleet.Worker, list[int]]]:
        return [
            (worker, free)
            for worker, free in self._usable
            if has_requirement(worker.registration, service, label)
        ]


def is_usable(worker: fleet.Worker, now: float) -> bool:
    """Returns whether tasks that share workers may be placed on a worker."""
    return worker.is_available(now) and not isolation.has_isolated_run(
        worker, now
    )


def has_requirement(
    registration: model.Registration, service: str, label: str
) -> bool:
    """Returns whether a worker has a service, and a label unless it is empty."""
    return registration.service == service and (
        not label or label in registration.labels
    )
