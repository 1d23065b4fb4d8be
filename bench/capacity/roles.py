"""Projected costs of each role at the target size (section 1.6)."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from bench.capacity import fitting
from bench.capacity import projection
from bench.capacity import role_costs
from bench.capacity import zone_costs

_MAX_ENTRIES = 200
# A core that serves requests keeps a quarter of its time free for bursts.
_CORE_LIMIT = projection.Limit(750, "ms/s")


class Line(NamedTuple):
    """A projected cost of a role; the limit is None without a requirement."""

    role: str
    name: str
    mechanism: str
    cost: projection.Sum
    limit: projection.Limit | None

    @property
    def verdict(self) -> str:
        """Whether the cost meets its limit, as text; empty without a limit."""
        if self.limit is None:
            return ""
        return "yes" if projection.meets(self.cost, self.limit) else "NO"


class Roles:
    """Projections from the fits of one run.

    Args:
        fits: The fits, one for each sweep, measure and role.
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

    def control_processor(self, entries: int, role: str) -> projection.Sum:
        """Returns the processor time for control of one entry instance.

        It consists of the base, peers, workers and rule changes. The sweeps of
        entry instances and workers measure idle zones.

        Args:
            entries: Number of entry instances in the zone.
            role: Role of the entry instance.
        """
        return self._control_cost("processor", entries, role)

    def least_control(self, role: str = "coordinator") -> tuple[int, float]:
        """Returns the number of entry instances with the least control cost.

        Returns:
            The number and its control cost for one instance, in ms/s.
        """
        best = min(
            range(1, _MAX_ENTRIES),
            key=lambda entries: self.control_processor(entries, role).value,
        )
        return best, self.control_processor(best, role).value

    def entries_needed(self) -> int:
        """Returns how many entry instances handle the peak load of a zone.

        Each instance has one core, which carries the control of a coordinator
        and an equal part of the starts; all starts are quick requests.
        """
        fit = self._fits["quick requests", "processor", "entry"]
        per_s = role_costs.STARTS_PER_S / role_costs.ZONES
        for entries in range(1, _MAX_ENTRIES):
            part = projection.Number(per_s / entries, fit.series.x_unit)
            cost = projection.add(
                (
                    self.control_processor(entries, "coordinator"),
                    projection.product(fit, part),
                )
            )
            if projection.meets(cost, _CORE_LIMIT):
                return entries
        return _MAX_ENTRIES

    def lines(self, entries: int) -> Iterator[Line]:
        """Yields the costs for a number of entry instances in a zone."""
        for role, measure, mechanism, limit in role_costs.CONTROL_COSTS:
            yield Line(
                role,
                f"{measure}, control",
                mechanism,
                self._control_cost(measure, entries, role),
                limit,
            )
        yield self._coordinator_total(entries)
        for single in role_costs.entry_costs(entries):
            yield self._project(single)
        for single in zone_costs.ZONE_COSTS:
            yield self._project(single)

    def _coordinator_total(self, entries: int) -> Line:
        """Returns the processor cost of control, teams and jobs together."""
        parts = [self.control_processor(entries, "coordinator")]
        for single in zone_costs.COORDINATOR_PROCESSOR_COSTS:
            parts.append(self._project(single).cost)
        return Line(
            "coordinator",
            "processor, control, teams and jobs",
            "all of the above for a coordinator",
            projection.add(tuple(parts)),
            role_costs.CPU_LIMIT,
        )

    def _control_cost(
        self, measure: str, entries: int, role: str
    ) -> projection.Sum:
        """Returns the cost of base, peers, workers and rule changes."""
        peers = self._fits["entries in a zone", measure, role]
        workers = self._fits["workers of an entry", measure, "entry"]
        changes = self._fits["rule changes", measure, role]
        numbers = (
            (peers, entries - 1),
            (workers, role_costs.WORKERS / role_costs.ZONES / entries),
            (changes, role_costs.CHANGES_PER_S),
        )
        products = tuple(
            projection.product(fit, projection.Number(value, fit.series.x_unit))
            for fit, value in numbers
        )
        return projection.add((projection.base(workers), *products))

    def _project(self, single: role_costs.SlopeCost) -> Line:
        """Returns the projected cost of one slope, without the intercept."""
        fit = self._fits[single.sweep, single.measure, single.measured_role]
        cost = projection.product(
            fit, projection.Number(single.number, single.unit)
        )
        return Line(
            single.role, single.name, single.mechanism, cost, single.limit
        )
