"""Cost of each role at the size to design for (section 1.6)."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from bench.capacity import fitting
from bench.capacity import projection
from bench.capacity import role_lines
from bench.capacity import zone_lines

_MOST_ENTRIES = 200
# A core that serves requests keeps a quarter in reserve for bursts.
_CORE_LIMIT = projection.Limit(750, "ms/s")


class Line(NamedTuple):
    """One cost of a role; no limit if the requirement sets none."""

    role: str
    name: str
    mechanism: str
    cost: projection.Sum
    limit: projection.Limit | None

    @property
    def verdict(self) -> str:
        """Whether the cost meets its limit."""
        if self.limit is None:
            return ""
        return "yes" if projection.meets(self.cost, self.limit) else "NO"


class Roles:
    """Fits by sweep, measure and role, and what follows from them.

    Args:
        fits: The fits of one run.
    """

    def __init__(self, fits: Iterable[fitting.Fit]) -> None:
        self._fits = {
            (fit.series.sweep, fit.series.measure, fit.series.role): fit
            for fit in fits
        }

    @property
    def fits(self) -> tuple[fitting.Fit, ...]:
        """All fits."""
        return tuple(self._fits.values())

    def control(self, entries: int, role: str) -> projection.Sum:
        """Returns the processor time for control of one entry instance.

        Base, peers, workers and rule changes; the sweeps of entry instances
        and workers are of idle zones.
        """
        return self._idle("processor", entries, role)

    def fewest_entries(self, role: str = "coordinator") -> tuple[int, float]:
        """Returns the number with the least control, and the control."""
        best = min(
            range(1, _MOST_ENTRIES),
            key=lambda entries: self.control(entries, role).value,
        )
        return best, self.control(best, role).value

    def entries_needed(self) -> int:
        """Returns how many carry the peak of the zone on a core each.

        Each pays for its control as a coordinator and for its part of the
        starts, all of them quick requests.
        """
        fit = self._fits["quick requests", "processor", "entry"]
        per_s = role_lines.STARTS_PER_S / role_lines.ZONES
        for entries in range(1, _MOST_ENTRIES):
            part = projection.Number(per_s / entries, fit.series.x_unit)
            cost = projection.add(
                (
                    self.control(entries, "coordinator"),
                    projection.product(fit, part),
                )
            )
            if projection.meets(cost, _CORE_LIMIT):
                return entries
        return _MOST_ENTRIES

    def lines(self, entries: int) -> Iterator[Line]:
        """Yields the costs with this number of entry instances in a zone."""
        for role, measure, mechanism, limit in role_lines.IDLE:
            yield Line(
                role,
                f"{measure}, control",
                mechanism,
                self._idle(measure, entries, role),
                limit,
            )
        yield self._coordinator_sum(entries)
        for single in role_lines.per_entry(entries):
            yield self._one(single)
        for single in zone_lines.SINGLE:
            yield self._one(single)

    def _coordinator_sum(self, entries: int) -> Line:
        """Returns control plus teams plus jobs."""
        parts = [self.control(entries, "coordinator")]
        for single in zone_lines.COORDINATOR_PROCESSOR:
            parts.append(self._one(single).cost)
        return Line(
            "coordinator",
            "processor, control, teams and jobs",
            "all of the above for a coordinator",
            projection.add(tuple(parts)),
            role_lines.CPU_LIMIT,
        )

    def _idle(self, measure: str, entries: int, role: str) -> projection.Sum:
        """Returns base plus peers plus workers plus rule changes."""
        peers = self._fits["entries in a zone", measure, role]
        workers = self._fits["workers of an entry", measure, "entry"]
        changes = self._fits["rule changes", measure, role]
        numbers = (
            (peers, entries - 1),
            (workers, role_lines.WORKERS / role_lines.ZONES / entries),
            (changes, role_lines.CHANGES_PER_S),
        )
        products = tuple(
            projection.product(fit, projection.Number(value, fit.series.x_unit))
            for fit, value in numbers
        )
        return projection.add((projection.base(workers), *products))

    def _one(self, single: role_lines.Single) -> Line:
        """Returns the line of a single slope without its base."""
        fit = self._fits[single.sweep, single.measure, single.measured_role]
        cost = projection.product(
            fit, projection.Number(single.number, single.unit)
        )
        return Line(
            single.role, single.name, single.mechanism, cost, single.limit
        )
