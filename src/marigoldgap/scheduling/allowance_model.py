"""Types of the escrow of team upper limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from marigoldgap.scheduling import model


class AllowanceRow(NamedTuple):
    """Content of the table row `allowance/<team>`.

    Attributes:
        limit: Upper limit of the team over all zones, in tasks.
        zones: Allowance of each zone; the sum never exceeds `limit`.
        configured: Limit in the newest configuration that a writer knew. It is
            below `limit` while zones give up units after it was lowered.
        limit_version: Configuration version of `configured`. A zone whose
            configuration is older must not write its own limit.
        terms: Term of the coordinator that last wrote each zone's number. A
            coordinator with a lower term must not write any more.
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
    """Upper limit of a team in the configuration that is in force here."""

    limit: int
    version: int = 0


class AllowanceWrite(NamedTuple):
    """A compare-and-set of a row.

    Attributes:
        expected_version: Version of the row that was read; 0 for no row.
    """

    team: str
    row: AllowanceRow
    expected_version: int


class HoldingGrant(NamedTuple):
    """Units that an entry instance may use.

    Attributes:
        granted_total: All units granted to the instance in this term, so that
            lost, repeated and reordered messages do no harm.
        holder: The process that the grant is for.
        units: Units that were added by this grant.
    """

    term: model.Term
    team: str
    holder: str
    granted_total: int
    units: int


class HoldingReport(NamedTuple):
    """State of one team at an entry instance.

    Attributes:
        sequence: Increases with every report of the instance for the team.
        granted_total: Units received in this term, including those held when
            the term began.
        returned_total: Units given back in this term.
        running: Tasks of the team on the instance's workers, with orphaned ones.
        orphaned: Tasks on workers whose lease the instance has lost.
    """

    term: model.Term
    sequence: int
    granted_total: int
    returned_total: int
    running: int
    orphaned: int = 0


class AllowanceNotice(NamedTuple):
    """Announces that a zone lowers its allowance.

    Attributes:
        allowance: The lowered number.
        sequence: Number of the notice; repeated in the acknowledgement.
        ceilings: Units that each holder may keep.
    """

    term: model.Term
    team: str
    allowance: int
    sequence: int
    ceilings: Mapping[str, int]
