"""One team's allowance in one zone, as its coordinator accounts for it."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


class Holding:
    """Upper bound of what one entry instance can have running.

    The bound never falls below the instance's own figures, since grants are
    counted when they are sent and returns when they are reported.
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
        """Units that the instance may hold."""
        return self.granted - self.returned

    @property
    def bound(self) -> int:
        """Largest number of tasks that may run at the instance."""
        return max(self.units, self.running)

    def record(self, report: allowance_model.HoldingReport) -> None:
        """Takes a report over unless a later one was seen."""
        if report.sequence <= self.sequence:
            return
        self.sequence = report.sequence
        self.granted = max(self.granted, report.granted_total)
        self.returned = min(report.returned_total, self.granted)
        self.running = report.running
        self.orphaned = report.orphaned


class TeamAllowance:
    """Numbers of one team.

    Attributes:
        allowance: Units that this zone may hand out; None until it was
            confirmed by a write or inherited at the barrier.
        row: The row as last read or written, or None if it must be read.
        row_version: Version of `row`; 0 if there is no row in the table.
    """

    def __init__(self) -> None:
        self.allowance: int | None = None
        self.row: allowance_model.AllowanceRow | None = None
        self.row_version = 0
        self.holdings: dict[str, Holding] = {}
        self.give_up: GiveUp | None = None
        self.write: allowance_model.AllowanceWrite | None = None

    @property
    def in_use(self) -> int:
        """Sum of the bounds of all entry instances."""
        return sum(holding.bound for holding in self.holdings.values())

    @property
    def inherited(self) -> int:
        """Units in use, with orphaned tasks counted at their new owner only."""
        return sum(
            max(0, holding.bound - holding.orphaned)
            for holding in self.holdings.values()
        )

    @property
    def free(self) -> int:
        """Units that can be granted now."""
        return max(0, (self.allowance or 0) - self.in_use)

    def holding(self, holder: str) -> Holding:
        """Returns the account of an entry instance."""
        return self.holdings.setdefault(holder, Holding())

    def ceilings(self, allowance: int) -> dict[str, int]:
        """Splits an allowance in proportion to what the instances hold."""
        units = {name: held.units for name, held in self.holdings.items()}
        total = sum(units.values())
        if total <= allowance:
            return units
        return {name: held * allowance // total for name, held in units.items()}


class GiveUp:
    """Progress of lowering the allowance.

    Args:
        target: The lowered number.
        sequence: Number of the last notice.
    """

    def __init__(self, target: int, sequence: int) -> None:
        self.target = target
        self.sequence = sequence
        self.acknowledged: set[str] = set()

    def complete(self, holders: Collection[str], in_use: int) -> bool:
        """Whether all instances have acknowledged and use few enough units."""
        return self.acknowledged.issuperset(holders) and in_use <= self.target


def row_after(
    row: allowance_model.AllowanceRow,
    zone: str,
    number: int,
    limit: allowance_model.TeamLimit,
    term: model.Term,
) -> allowance_model.AllowanceRow:
    """Returns the row with the zone's number and term replaced.

    The limit follows the configuration, but never falls below the sum of the
    zones: a lowered limit takes full effect when the last zone has given up
    its part. Until then the row has no room, so no zone can raise its number.
    """
    zones: Mapping[str, int] = {**row.zones, zone: number}
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
    """Returns the limit of the newer configuration of the two."""
    if limit.version >= row.limit_version:
        return limit
    return allowance_model.TeamLimit(row.configured, row.limit_version)


def room_for(
    row: allowance_model.AllowanceRow,
    zone: str,
    limit: allowance_model.TeamLimit,
) -> int:
    """Returns the largest number that the zone may write."""
    own = row.zones.get(zone, 0)
    return max(own, newer_limit(row, limit).limit - (row.total - own))


def excess_target(
    row: allowance_model.AllowanceRow,
    zone: str,
    limit: allowance_model.TeamLimit,
) -> int | None:
    """Returns the zone's part of a limit that the zones exceed, or None."""
    known = newer_limit(row, limit).limit
    own = row.zones.get(zone, 0)
    if own == 0 or row.total <= known:
        return None
    return own * known // row.total
