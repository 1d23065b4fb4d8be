"""Capacity of workers during a planning pass, and where gangs fit."""

from __future__ import annotations

from marigoldgap.cell import fleet
from marigoldgap.cell import model
from marigoldgap.cell import run_times
from marigoldgap.cell import runs
from marigoldgap.cell import step_progress


class WorkerCapacity:
    """Free and reserved capacity of a worker during a planning pass."""

    __slots__ = (
        "_expected_ends",
        "free",
        "reserved_from_s",
        "unreserved",
        "worker",
    )

    def __init__(self, worker: fleet.Worker) -> None:
        self.worker = worker
        self.free = worker.free()
        # Earliest start of the reservations of gangs on this worker, and the
        # capacity that is then free beside them; None without a reservation.
        self.reserved_from_s = float("inf")
        self.unreserved: list[int] | None = None
        self._expected_ends: list[tuple[float, runs.Run]] | None = None

    def copies(self, spec: model.StepSpec, bound: int) -> int:
        """Returns how many tasks fit now, ignoring reservations."""
        return copies_in(self.free, spec, bound)

    def fits(self, spec: model.StepSpec, ends_s: float) -> bool:
        """Returns whether a task fits without delaying reservations.

        Args:
            spec: Step of the task.
            ends_s: Time at which the task is expected to end.
        """
        if _is_exceeded(self.free) or not fits_in(self.free, spec):
            return False
        if self.unreserved is None or ends_s <= self.reserved_from_s:
            return True
        return fits_in(self.unreserved, spec)

    def fits_alone(self, spec: model.StepSpec) -> bool:
        """Returns whether a task fits on the worker without other runs."""
        return fits_in(list(self.worker.registration.capacity), spec)

    def take(self, spec: model.StepSpec, ends_s: float) -> None:
        """Allocates capacity to a task that is expected to end at `ends_s`."""
        _allocate(self.free, spec)
        if self.unreserved is not None and ends_s > self.reserved_from_s:
            _allocate(self.unreserved, spec)

    def reserve(
        self, spec: model.StepSpec, count: int, at: float, free: list[int]
    ) -> None:
        """Reserves capacity for members of a gang.

        Args:
            spec: Step of the gang.
            count: Number of members.
            at: Monotonic time from which the reservation holds.
            free: Capacity that is expected to be free at that time.
        """
        unreserved = free if self.unreserved is None else self.unreserved
        self.unreserved = [
            amount - count * need
            for amount, need in zip(unreserved, spec.taken, strict=True)
        ]
        self.reserved_from_s = min(self.reserved_from_s, at)

    def free_at(
        self, at: float, now: float, times: run_times.RunTimes
    ) -> list[int]:
        """Returns the capacity that is expected to be free at a time."""
        free = list(self.free)
        for ends_s, run in self.expected_ends(now, times):
            if ends_s <= at:
                _allocate(free, run.step.spec, -1)
        return free

    def expected_ends(
        self, now: float, times: run_times.RunTimes
    ) -> list[tuple[float, runs.Run]]:
        """Returns the runs of the worker with their expected end times."""
        if self._expected_ends is None:
            self._expected_ends = [
                (
                    now + run.remaining_s(now, times.expected_on_s(run, now)),
                    run,
                )
                for run in self.worker.runs.values()
                if not run.step.spec.is_long_running
            ]
        return self._expected_ends


def _is_exceeded(free: list[int]) -> bool:
    """Returns whether runs use more than a capacity, which has shrunk.

    Nothing starts then, not even a task that needs none of that resource.
    """
    return min(free) < 0


def fits_in(free: list[int], spec: model.StepSpec) -> bool:
    """Returns whether a task fits into free capacity."""
    return all(
        need <= amount
        for amount, need in zip(free, spec.taken, strict=True)
        if need > 0
    )


def _allocate(free: list[int], spec: model.StepSpec, sign: int = 1) -> None:
    for index, amount in enumerate(spec.taken):
        free[index] -= sign * amount


def copies_in(free: list[int], spec: model.StepSpec, bound: int) -> int:
    """Returns how many tasks fit into free capacity, at most `bound`."""
    if _is_exceeded(free):
        return 0
    count = bound
    for amount, need in zip(free, spec.taken, strict=True):
        if need > 0:
            count = min(count, amount // need)
    return count


def choose_workers(
    step: step_progress.StepProgress,
    found: list[tuple[WorkerCapacity, int]],
    at: float,
) -> list[tuple[WorkerCapacity, int]] | None:
    """Chooses as few workers as possible for all members of a gang.

    A gang that is slow on several racks gets one rack, if it fits on one. Of
    workers that hold equally many members, cold ones come last.

    Args:
        step: The step of the gang.
        found: Workers with the number of members that fit on each.
        at: Monotonic time of the start, in seconds.

    Returns:
        Workers with the number of members to place on each, or None if the
        gang does not fit.
    """
    spec = step.spec
    if spec.same_rack:
        by_rack: dict[str, list[tuple[WorkerCapacity, int]]] = {}
        for each in found:
            by_rack.setdefault(each[0].worker.registration.rack, []).append(
                each
            )
        groups = [
            group
            for group in by_rack.values()
            if sum(count for _, count in group) >= spec.task_count
        ]
        found = max(
            groups, key=lambda group: sum(n for _, n in group), default=found
        )
    needed = spec.task_count
    chosen = []
    found = sorted(
        found, key=lambda each: (-each[1], each[0].worker.is_cold(at))
    )
    for capacity, count in found:
        taken = min(count, needed)
        chosen.append((capacity, taken))
        needed -= taken
        if needed == 0:
            return chosen
    return None


def earliest_fit(
    step: step_progress.StepProgress,
    capacities: list[WorkerCapacity],
    now: float,
    times: run_times.RunTimes,
) -> tuple[float, list[tuple[WorkerCapacity, int]]] | None:
    """Returns the first time at which a gang fits, and on which workers.

    Args:
        step: The step of the gang.
        capacities: Workers that the gang may use.
        now: Current monotonic time in seconds.
        times: Learned run times.

    Returns:
        The time, and workers with the number of members on each; None if the
        gang does not fit even when all current runs have ended.
    """
    spec = step.spec
    bound = spec.max_per_worker or spec.task_count
    # Workers on which another gang has a reservation are not used.
    usable = [
        capacity for capacity in capacities if capacity.unreserved is None
    ]
    ends = sorted(
        {
            at
            for capacity in usable
            for at, _ in capacity.expected_ends(now, times)
        }
    )

    def fit_at(at: float) -> list[tuple[WorkerCapacity, int]] | None:
        found = [
            (
                capacity,
                copies_in(capacity.free_at(at, now, times), spec, bound),
            )
            for capacity in usable
        ]
        return choose_workers(step, [each for each in found if each[1]], at)

    # A gang that fits nowhere is found out at once.
    latest = fit_at(ends[-1]) if ends else None
    if latest is None:
        return None
    best = ends[-1], latest
    low, high = 0, len(ends) - 2
    while low <= high:
        middle = (low + high) // 2
        chosen = fit_at(ends[middle])
        if chosen is None:
            low = middle + 1
        else:
            best = ends[middle], chosen
            high = middle - 1
    return best
