"""Escrow of team upper limits, as the coordinator of a zone accounts for it.

The invariant is that the possible starts of a team over all zones never exceed
its limit. It rests on three rules. A zone uses a higher number only after its
own write of that number has succeeded; reading a row is not enough, because a
delayed write of a former coordinator may still lower it, and only a write of
our own makes that one fail. The write carries the term, so that a former
coordinator that reads the row afterwards stops as well. A zone lowers the row only after its instances can
no longer use the units. Grants count from the moment they are decided, returns
from the moment they are reported.
"""

from __future__ import annotations

from collections.abc import Mapping

from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.scheduling import team_allowance


class AllowanceLedger:
    """Allowances and holdings of one zone during one term.

    A new term starts with a new ledger. Holders are entry instances; their
    names must differ between processes that were started with the same
    instance id, since a new process does not hold what the old one was granted.

    Args:
        zone: The zone of the coordinator.
        term: The coordinator's term.
    """

    def __init__(self, zone: str, term: model.Term) -> None:
        self._zone = zone
        self._term = term
        self._holders: set[str] = set()
        self._teams: dict[str, team_allowance.TeamAllowance] = {}
        self._complete = False
        self._superseded = False
        self._notices = 0

    @property
    def term(self) -> model.Term:
        """The term for which the ledger speaks."""
        return self._term

    @property
    def complete(self) -> bool:
        """Whether units can be granted and given up.

        The barrier must be complete and no higher term may have been seen.
        """
        return self._complete and not self._superseded

    @property
    def superseded(self) -> bool:
        """Whether a row was read that a higher term of the zone has written."""
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
        """Takes over what a holder has when it acknowledges the term."""
        self._holders.add(holder)
        for team, report in reports.items():
            self.record_report(holder, team, report)

    def record_report(
        self,
        holder: str,
        team: str,
        report: allowance_model.HoldingReport,
    ) -> None:
        """Takes over a report.

        Ignored are reports of another term, of holders that have not
        acknowledged the term, and those that arrive out of order.
        """
        if report.term != self._term or holder not in self._holders:
            return
        self._team(team).holding(holder).record(report)

    def complete_barrier(self) -> None:
        """Allows grants; to be called when the term barrier is complete.

        No worker may be claimed by the latest reports of two instances. Until
        the row was written in this term, the zone may use as many units as the
        instances reported: the former coordinator counted at least these, and
        a give-up that it may still write leaves them to the zone.
        """
        self._complete = True
        for state in self._teams.values():
            if state.allowance is None:
                state.allowance = state.inherited

    def retire(self, holder: str) -> None:
        """Drops an instance and the units it held.

        To be called only when each of its workers was taken over and reported
        or has lapsed, after the reports were recorded.
        """
        self._holders.discard(holder)
        for state in self._teams.values():
            state.holdings.pop(holder, None)

    def grant(
        self, team: str, holder: str, wanted: int
    ) -> allowance_model.HoldingGrant | None:
        """Adds up to `wanted` units to an instance; None if none is free."""
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
        """Returns the units that the zone may use."""
        return self._team(team).allowance or 0

    def free(self, team: str) -> int:
        """Returns the units that can be granted."""
        return self._team(team).free if self.complete else 0

    def in_use(self, team: str) -> int:
        """Returns the sum of the bounds of the instances."""
        return self._team(team).in_use

    def row_read(
        self, team: str, row: allowance_model.AllowanceRow | None, version: int
    ) -> None:
        """Takes over a row that was read; None and 0 if there is no row."""
        state = self._team(team)
        if state.write is not None:
            return
        state.row = row or allowance_model.AllowanceRow(0, {})
        state.row_version = version
        writer = state.row.terms.get(self._zone, model.NO_TERM)
        if writer > self._term:
            self._superseded = True

    def excess_target(
        self, team: str, limit: allowance_model.TeamLimit
    ) -> int | None:
        """Returns the number to give up to after a limit was lowered.

        Each zone lowers its number in proportion; None if nothing is to do.
        """
        row = self._team(team).row
        if row is None:
            return None
        return team_allowance.excess_target(row, self._zone, limit)

    def raise_write(
        self, team: str, wanted: int, limit: allowance_model.TeamLimit
    ) -> allowance_model.AllowanceWrite | None:
        """Returns the write that gives the zone up to `wanted` units.

        The number in the row is never lowered here. The write is useful even
        if it changes nothing, since its success confirms the row's number.
        None if the row must be read first or another write is under way.
        """
        state = self._team(team)
        if state.row is None or state.write is not None or state.give_up:
            return None
        number = self._raised_number(state.row, wanted, limit)
        return self._begin_write(team, state, number, limit)

    def has_room(
        self, team: str, wanted: int, limit: allowance_model.TeamLimit
    ) -> bool:
        """Whether `raise_write` would raise the number in the row."""
        row = self._team(team).row
        if row is None:
            return False
        own = row.zones.get(self._zone, 0)
        return self._raised_number(row, wanted, limit) > own

    def begin_give_up(
        self, team: str, target: int
    ) -> allowance_model.AllowanceNotice | None:
        """Lowers the allowance here and returns the notice to announce.

        A repeated call with the same target returns a new notice, for example
        after one was lost. None before the barrier is complete, while a write
        is under way, or if the allowance is not above the target.
        """
        state = self._team(team)
        if not self.complete or state.write is not None:
            return None
        repeated = state.give_up is not None and target == state.give_up.target
        if not repeated and target >= (state.allowance or 0):
            return None
        self._notices += 1
        state.allowance = target
        state.give_up = team_allowance.GiveUp(target, self._notices)
        return allowance_model.AllowanceNotice(
            self._term, team, target, self._notices, state.ceilings(target)
        )

    def acknowledge(
        self,
        holder: str,
        team: str,
        sequence: int,
        report: allowance_model.HoldingReport,
    ) -> None:
        """Records that an instance obeyed a notice, with its new state."""
        self.record_report(holder, team, report)
        give_up = self._team(team).give_up
        if give_up is not None and give_up.sequence == sequence:
            give_up.acknowledged.add(holder)

    def give_up_write(
        self, team: str, limit: allowance_model.TeamLimit
    ) -> allowance_model.AllowanceWrite | None:
        """Returns the write that completes a give-up, or None if too early."""
        state = self._team(team)
        if state.row is None or state.write is not None:
            return None
        give_up = state.give_up
        if give_up is None:
            return None
        if not give_up.complete(self._holders, state.in_use):
            return None
        return self._begin_write(team, state, give_up.target, limit)

    def write_succeeded(
        self, write: allowance_model.AllowanceWrite, version: int
    ) -> None:
        """Takes over a write that certainly took effect with this version."""
        state = self._team(write.team)
        if state.write != write:
            return
        state.write = None
        state.row = write.row
        state.row_version = version
        state.allowance = write.row.zones[self._zone]
        state.give_up = None

    def write_failed(self, write: allowance_model.AllowanceWrite) -> None:
        """Records a write that conflicted or whose outcome is unknown.

        The row must be read again. A give-up stays in force and is written
        again later; an allowance is not raised.
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

    def _raised_number(
        self,
        row: allowance_model.AllowanceRow,
        wanted: int,
        limit: allowance_model.TeamLimit,
    ) -> int:
        """Returns the zone's number after a raise; never a lower one."""
        own = row.zones.get(self._zone, 0)
        room = team_allowance.room_for(row, self._zone, limit)
        return max(own, min(wanted, room))

    def _begin_write(
        self,
        team: str,
        state: team_allowance.TeamAllowance,
        number: int,
        limit: allowance_model.TeamLimit,
    ) -> allowance_model.AllowanceWrite | None:
        row = state.row
        if row is None or self._superseded:
            return None
        after = team_allowance.row_after(
            row, self._zone, number, limit, self._term
        )
        state.write = allowance_model.AllowanceWrite(
            team, after, state.row_version
        )
        return state.write
