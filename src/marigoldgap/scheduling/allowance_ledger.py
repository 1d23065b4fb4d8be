"""Coordinator's side of the escrow that enforces team limits across zones.

Invariant: the number of tasks of a team that run or may start, summed over all
zones, never exceeds the team's limit. Three rules maintain it:

1. A zone uses a higher allowance only after its own write of that allowance has
   succeeded. Reading the row is not enough, because a delayed write of a former
   coordinator may still lower the row; only a new write makes the delayed write
   fail. The write carries the term, so a former coordinator that reads the row
   afterwards stops as well.
2. A zone lowers its allowance in the row only after its instances can no longer
   use the units.
3. A grant counts from the moment it is decided, a return from the moment it is
   reported.
"""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.scheduling import team_allowance


class AllowanceLedger:
    """Allowances and holdings of one zone during one term.

    Each term starts with a new ledger. Holders are processes of entry
    instances. Two processes with the same instance id need different holder
    names, because a new process does not hold the units of the old one.

    Args:
        zone: Zone of the coordinator.
        term: Term of the coordinator.
    """

    def __init__(self, zone: str, term: model.Term) -> None:
        self._zone = zone
        self._term = term
        self._holders: set[str] = set()
        self._teams: dict[str, team_allowance.TeamAllowance] = {}
        self._barrier_complete = False
        self._superseded = False
        self._notice_count = 0

    @property
    def term(self) -> model.Term:
        """The coordinator's term to which the ledger applies."""
        return self._term

    @property
    def complete(self) -> bool:
        """Whether the ledger can grant units and reduce allowances.

        Requires that the term barrier is complete and that no row written by a
        higher term was read.
        """
        return self._barrier_complete and not self._superseded

    @property
    def superseded(self) -> bool:
        """Whether a row was read that a higher term of the zone wrote."""
        return self._superseded

    @property
    def holders(self) -> frozenset[str]:
        """Entry instances that have acknowledged the term."""
        return frozenset(self._holders)

    def record_term_report(
        self,
        holder: str,
        reports: Mapping[str, allowance_model.HoldingReport],
    ) -> None:
        """Records the reports that come with a term acknowledgement."""
        self._holders.add(holder)
        for team, report in reports.items():
            self.record_report(holder, team, report)

    def record_report(
        self,
        holder: str,
        team: str,
        report: allowance_model.HoldingReport,
    ) -> None:
        """Records a report.

        Ignores reports of another term, reports of holders that have not
        acknowledged the term, and reports that arrive out of order.
        """
        if report.term != self._term or holder not in self._holders:
            return
        self._team(team).holding(holder).record(report)

    def complete_barrier(self) -> None:
        """Allows grants; call when the term barrier is complete.

        That is when the coordinator knows every task that can run in the zone.
        The latest reports of two instances must not both claim a worker. Until
        this term has written the row, the zone may use as many units as its
        instances reported: the former coordinator counted at least these units,
        and a reduction that it may still write leaves them to the zone.
        """
        self._barrier_complete = True
        for state in self._teams.values():
            if state.allowance is None:
                state.allowance = state.inherited

    def remove_holder(self, holder: str) -> None:
        """Removes an entry instance and its units.

        Call only after each of its workers was taken over and reported by
        another instance or has lapsed, and after these reports were recorded.
        """
        self._holders.discard(holder)
        for state in self._teams.values():
            state.holdings.pop(holder, None)

    def grant(
        self, team: str, holder: str, wanted: int
    ) -> allowance_model.HoldingGrant | None:
        """Grants up to `wanted` units to an instance.

        Returns:
            The grant, or None if no unit is free, the ledger is not complete,
            or the holder has not acknowledged the term.
        """
        if not self.complete or holder not in self._holders:
            return None
        state = self._team(team)
        units = min(wanted, state.free)
        if units <= 0:
            return None
        holding = state.holding(holder)
        holding.granted += units
        return allowance_model.HoldingGrant(
            self._term,
            team,
            holder,
            holding.granted,
            units,
        )

    def allowance(self, team: str) -> int:
        """Returns the number of units that the zone may use."""
        return self._team(team).allowance or 0

    def free(self, team: str) -> int:
        """Returns the number of units that can be granted."""
        return self._team(team).free if self.complete else 0

    def in_use(self, team: str) -> int:
        """Returns the largest number of tasks that can run in the zone."""
        return self._team(team).in_use

    def record_row(
        self, team: str, row: allowance_model.AllowanceRow | None, version: int
    ) -> None:
        """Records a row read from the table.

        Ignored while a write is in flight. A row with a higher term for this
        zone marks the ledger as superseded.

        Args:
            team: The team of the row.
            row: The row, or None if the table has none.
            version: Version of the row, or 0 if the table has none.
        """
        state = self._team(team)
        if state.write is not None:
            return
        state.row = row or allowance_model.AllowanceRow(0, {})
        state.row_version = version
        writer = state.row.terms.get(self._zone, model.NO_TERM)
        if writer > self._term:
            self._superseded = True

    def reduction_target(
        self, team: str, limit: allowance_model.TeamLimit
    ) -> int | None:
        """Returns the allowance to reduce to after a limit was lowered.

        Each zone reduces its allowance in proportion. None if the row is
        unknown or no reduction is needed.
        """
        row = self._team(team).row
        if row is None:
            return None
        return team_allowance.reduction_target(row, self._zone, limit)

    def raise_write(
        self, team: str, wanted: int, limit: allowance_model.TeamLimit
    ) -> allowance_model.AllowanceWrite | None:
        """Returns a write that raises the allowance to up to `wanted` units.

        The write never lowers the allowance in the row. It is useful even if it
        changes nothing, because its success confirms the allowance. None if the
        row must be read first, if a write or a reduction is in progress, or if
        the ledger is superseded.
        """
        state = self._team(team)
        if state.row is None or state.write is not None or state.reduction:
            return None
        allowance = self._raised_allowance(state.row, wanted, limit)
        return self._begin_write(team, state, allowance, limit)

    def can_raise(
        self, team: str, wanted: int, limit: allowance_model.TeamLimit
    ) -> bool:
        """Returns whether `raise_write` would raise the row's allowance."""
        row = self._team(team).row
        if row is None:
            return False
        own = row.zones.get(self._zone, 0)
        return self._raised_allowance(row, wanted, limit) > own

    def begin_reduction(
        self, team: str, target: int
    ) -> allowance_model.AllowanceNotice | None:
        """Reduces the allowance locally and returns the notice to send.

        A repeated call with the same target returns a new notice, for example
        after the previous one was lost. None if the ledger is not complete,
        while a write is in flight, or if the allowance does not exceed the
        target.
        """
        state = self._team(team)
        if not self.complete or state.write is not None:
            return None
        repeated = (
            state.reduction is not None and target == state.reduction.target
        )
        if not repeated and target >= (state.allowance or 0):
            return None
        self._notice_count += 1
        state.allowance = target
        state.reduction = team_allowance.Reduction(target, self._notice_count)
        return allowance_model.AllowanceNotice(
            self._term, team, target, self._notice_count, state.ceilings(target)
        )

    def acknowledge(
        self,
        holder: str,
        team: str,
        sequence: int,
        report: allowance_model.HoldingReport,
    ) -> None:
        """Records that an instance applied a notice, with its new state."""
        self.record_report(holder, team, report)
        reduction = self._team(team).reduction
        if reduction is not None and reduction.sequence == sequence:
            reduction.acknowledged.add(holder)

    def reduction_write(
        self, team: str, limit: allowance_model.TeamLimit
    ) -> allowance_model.AllowanceWrite | None:
        """Returns the write that completes a reduction.

        None if there is no reduction, the row must be read first, a write is in
        flight, the ledger is superseded, or the instances have not yet
        acknowledged the notice and ended enough tasks.
        """
        state = self._team(team)
        if state.row is None or state.write is not None:
            return None
        reduction = state.reduction
        if reduction is None:
            return None
        if not reduction.complete(self._holders, state.in_use):
            return None
        return self._begin_write(team, state, reduction.target, limit)

    def write_succeeded(
        self, write: allowance_model.AllowanceWrite, version: int
    ) -> None:
        """Records a write that is known to have taken effect.

        Args:
            write: The write; ignored unless it is the one in flight.
            version: Version of the row after the write.
        """
        state = self._team(write.team)
        if state.write != write:
            return
        state.write = None
        state.row = write.row
        state.row_version = version
        state.allowance = write.row.zones[self._zone]
        state.reduction = None

    def write_failed(self, write: allowance_model.AllowanceWrite) -> None:
        """Records a write that conflicted or whose outcome is unknown.

        The row must be read again. A reduction stays in force and is written
        again later; the allowance is not raised.
        """
        state = self._team(write.team)
        if state.write != write:
            return
        state.write = None
        state.row = None

    def _team(self, team: str) -> team_allowance.TeamAllowance:
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = team_allowance.TeamAllowance()
        return state

    def _raised_allowance(
        self,
        row: allowance_model.AllowanceRow,
        wanted: int,
        limit: allowance_model.TeamLimit,
    ) -> int:
        """Returns the zone's allowance after a raise; never a lower one."""
        own = row.zones.get(self._zone, 0)
        largest = team_allowance.largest_allowance(row, self._zone, limit)
        return max(own, min(wanted, largest))

    def _begin_write(
        self,
        team: str,
        state: team_allowance.TeamAllowance,
        allowance: int,
        limit: allowance_model.TeamLimit,
    ) -> allowance_model.AllowanceWrite | None:
        row = state.row
        if row is None or self._superseded:
            return None
        after = team_allowance.updated_row(
            row, self._zone, allowance, limit, self._term
        )
        state.write = allowance_model.AllowanceWrite(
            team, after, state.row_version
        )
        return state.write
