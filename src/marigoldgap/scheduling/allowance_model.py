"""Types of the escrow that enforces team limits across zones."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.scheduling import model


class AllowanceRow(NamedTuple):
    """Content of the table row `allowance/<team>`.

    One unit of an allowance permits one running task.

    Attributes:
        limit: Limit of the team over all zones, in tasks.
        zones: Allowance of each zone; the sum never exceeds `limit`.
        configured: Limit in the newest configuration known to a writer. It is
            below `limit` while zones reduce their allowances after the
            configured limit was lowered.
        limit_version: Configuration version of `configured`. A zone with an
            older configuration must not write its own limit.
        terms: Term of the coordinator that last wrote each zone's allowance.
            A coordinator with a lower term must stop writing.
    """

    limit: int
    zones: Mapping[str, int]
    configured: int = 0
    limit_version: int = 0
    terms: Mapping[str, model.Term] = {}

    @property
    def total(self) -> int:
        """Sum of the allowances of all zones."""
        return sum(self.zones.values())


class TeamLimit(NamedTuple):
    """Limit of a team in the configuration that this zone applies.

    Attributes:
        limit: Limit over all zones, in tasks.
        version: Version of the configuration.
    """

    limit: int
    version: int = 0


class AllowanceWrite(NamedTuple):
    """A compare-and-set of an allowance row.

    Attributes:
        expected_version: Version of the row that was read; 0 if the row does
            not exist.
    """

    team: str
    row: AllowanceRow
    expected_version: int


class HoldingGrant(NamedTuple):
    """Units granted to an entry instance.

    Attributes:
        holder: The process that receives the grant.
        granted_total: Total of all units granted to the instance in this term.
            A running total tolerates lost, repeated and reordered messages.
        units: Units added by this grant.
    """

    term: model.Term
    team: str
    holder: str
    granted_total: int
    units: int


class HoldingReport(NamedTuple):
    """State of one team at an entry instance.

    Attributes:
        sequence: Increases with each report of the instance about the team.
        granted_total: Units received in this term, including those held when
            the term began.
        returned_total: Units returned in this term.
        running: Tasks of the team on the instance's workers, including
            orphaned tasks.
        orphaned: Tasks on workers whose lease the instance has lost.
    """

    term: model.Term
    sequence: int
    granted_total: int
    returned_total: int
    running: int
    orphaned: int = 0


class AllowanceNotice(NamedTuple):
    """Notifies the entry instances that their zone reduces its allowance.

    Attributes:
        allowance: The reduced allowance in units.
        sequence: Number of the notice; the acknowledgement repeats it.
        ceilings: Units that each holder may keep.
    """

    term: model.Term
    team: str
    allowance: int
    sequence: int
    ceilings: Mapping[str, int]
