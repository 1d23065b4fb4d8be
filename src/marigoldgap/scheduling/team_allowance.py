"""Coordinator's account of one team's allowance in one zone."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


class Holding:
    """Upper bound of the tasks that one entry instance can run.

    The bound is never below the instance's own figures, because a grant counts
    when it is sent and a return when it is reported.
    """

    __slots__ = ("granted", "orphaned", "returned", "running", "sequence")

    def __init__(self) -> None:
        self.granted = 0
        self.returned = 0
        self.running = 0
        self.orphaned = 0
        self.sequence = 0

    @property
    def units(self) -> int:
        """Largest number of units that the instance can hold."""
        return self.granted - self.returned

    @property
    def bound(self) -> int:
        """Largest number of tasks that can run on the instance's workers."""
        return max(self.units, self.running)

    def record(self, report: allowance_model.HoldingReport) -> None:
        """Records a report; ignores it if a later one was recorded."""
        if report.sequence <= self.sequence:
            return
        self.sequence = report.sequence
        self.granted = max(self.granted, report.granted_total)
        self.returned = min(report.returned_total, self.granted)
        self.running = report.running
        self.orphaned = report.orphaned


class TeamAllowance:
    """Allowance, row and holdings of one team.

    Attributes:
        allowance: Units that this zone may grant; None until a write confirmed
            the allowance or the barrier set it to the inherited units.
        row: The row as last read or written, or None if it must be read.
        row_version: Version of `row`; 0 if the table has no row.
        holdings: Holding of each entry instance.
        reduction: The reduction in progress, or None.
        write: The write in flight, or None.
    """

    def __init__(self) -> None:
        self.allowance: int | None = None
        self.row: allowance_model.AllowanceRow | None = None
        self.row_version = 0
        self.holdings: dict[str, Holding] = {}
        self.reduction: Reduction | None = None
        self.write: allowance_model.AllowanceWrite | None = None

    @property
    def in_use(self) -> int:
        """Sum of the task bounds of all entry instances."""
        return sum(holding.bound for holding in self.holdings.values())

    @property
    def inherited(self) -> int:
        """Units in use, counting an orphaned task only at its new owner."""
        return sum(
            max(0, holding.bound - holding.orphaned)
            for holding in self.holdings.values()
        )

    @property
    def free(self) -> int:
        """Units that can be granted now."""
        return max(0, (self.allowance or 0) - self.in_use)

    def holding(self, holder: str) -> Holding:
        """Returns the holding of an entry instance; creates it if needed."""
        return self.holdings.setdefault(holder, Holding())

    def ceilings(self, allowance: int) -> dict[str, int]:
        """Splits an allowance in proportion to the units of the instances."""
        units = {name: held.units for name, held in self.holdings.items()}
        total = sum(units.values())
        if total <= allowance:
            return units
        return {name: held * allowance // total for name, held in units.items()}


class Reduction:
    """Progress of a reduction of the allowance.

    Args:
        target: The reduced allowance in units.
        sequence: Number of the last notice.
    """

    def __init__(self, target: int, sequence: int) -> None:
        self.target = target
        self.sequence = sequence
        self.acknowledged: set[str] = set()

    def complete(self, holders: Collection[str], in_use: int) -> bool:
        """Returns whether all holders acknowledged and use is within target."""
        return self.acknowledged.issuperset(holders) and in_use <= self.target


def updated_row(
    row: allowance_model.AllowanceRow,
    zone: str,
    allowance: int,
    limit: allowance_model.TeamLimit,
    term: model.Term,
) -> allowance_model.AllowanceRow:
    """Returns the row with the zone's allowance and term replaced.

    The limit follows the configuration but never falls below the sum of the
    allowances: a lowered limit takes full effect when the last zone has reduced
    its allowance. Until then the sum leaves nothing below the limit, so no zone
    can raise its allowance.
    """
    zones: Mapping[str, int] = {**row.zones, zone: allowance}
    known = newer_limit(row, limit)
    return allowance_model.AllowanceRow(
        max(known.limit, sum(zones.values())),
        zones,
        known.limit,
        known.version,
        {**row.terms, zone: term},
    )


def newer_limit(
    row: allowance_model.AllowanceRow, limit: allowance_model.TeamLimit
) -> allowance_model.TeamLimit:
    """Returns the limit of the row or `limit`, whichever is newer."""
    if limit.version >= row.limit_version:
        return limit
    return allowance_model.TeamLimit(row.configured, row.limit_version)


def largest_allowance(
    row: allowance_model.AllowanceRow,
    zone: str,
    limit: allowance_model.TeamLimit,
) -> int:
    """Returns the largest allowance that the zone may write."""
    own = row.zones.get(zone, 0)
    return max(own, newer_limit(row, limit).limit - (row.total - own))


def reduction_target(
    row: allowance_model.AllowanceRow,
    zone: str,
    limit: allowance_model.TeamLimit,
) -> int | None:
    """Returns the zone's proportional part of an exceeded limit.

    None if the allowances do not exceed the limit or the zone has none.
    """
    known = newer_limit(row, limit).limit
    own = row.zones.get(zone, 0)
    if own == 0 or row.total <= known:
        return None
    return own * known // row.total
