"""Entry instance's account of its units of one team's limit."""

from __future__ import annotations

from marigoldgap import errors
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


class HoldingAccount:
    """Entry instance's side of the escrow of a team's limit.

    Only the coordinator adds units and only the instance gives them back, both
    as running totals. The coordinator's view of the holding is therefore never
    below the actual holding, even if messages are lost, repeated or reordered.

    Args:
        holder: Name of this process; a restarted process with the same
            instance id has a different name.
        term: The term that the instance follows.
    """

    def __init__(self, holder: str, term: model.Term = model.NO_TERM) -> None:
        self._holder = holder
        self._term = term
        self._granted = 0
        self._returned = 0
        self._running = 0
        self._orphaned = 0
        self._ceiling: int | None = None
        self._sequence = 0

    @property
    def holding(self) -> int:
        """Units held; a task may start only while fewer tasks run."""
        return self._granted - self._returned

    @property
    def running(self) -> int:
        """Tasks counted against the holding, including orphaned ones."""
        return self._running

    @property
    def may_start(self) -> bool:
        """Whether one more task may start."""
        return self._running < self.holding

    def start(self) -> None:
        """Counts a task that is about to start.

        Raises:
            LimitReachedError: If no unit is left; the task is not counted.
        """
        if not self.may_start:
            raise errors.LimitReachedError(f"{self.holding} units are in use")
        self._running += 1

    def finish(self) -> None:
        """Counts the end of a task and gives back units above the ceiling."""
        self._running -= 1
        if self._ceiling is not None:
            self.apply_ceiling(self._ceiling)

    def adopt(self, tasks: int) -> None:
        """Counts tasks found on a worker that was taken over."""
        self._running += tasks

    def mark_orphaned(self, tasks: int) -> None:
        """Marks tasks on a worker whose lease was lost as orphaned.

        They stay counted, because they may still run and the next owner of the
        worker may not have reported them yet.
        """
        self._orphaned += tasks

    def reclaim(self, lost: int, found: int) -> None:
        """Counts the tasks of a reacquired worker instead of its orphaned ones.

        Args:
            lost: Tasks marked as orphaned when the lease was lost.
            found: Tasks that the worker still runs.
        """
        settled = min(lost, self._orphaned)
        self._orphaned -= settled
        self._running += found - settled

    def drop_orphaned(self, tasks: int) -> None:
        """Drops orphaned tasks and gives back their units.

        Call when the coordinator has confirmed that their worker was taken over
        and reported, or has lapsed.
        """
        settled = min(tasks, self._orphaned)
        self._orphaned -= settled
        self._running -= settled
        self._returned += min(settled, self.holding)

    def drop_units(self) -> None:
        """Gives back all units.

        Call when the instance no longer holds a lease and before it requests
        one: once all its workers were taken over, the coordinator removes the
        instance and its units, and the instance may not know of it.
        """
        self._returned = self._granted
        self._ceiling = None

    def accept_grant(self, grant: allowance_model.HoldingGrant) -> bool:
        """Adds granted units.

        Returns:
            Whether the grant is of the current term and for this process; any
            other grant is ignored.
        """
        if grant.term != self._term or grant.holder != self._holder:
            return False
        if grant.granted_total > self._granted:
            self._granted = grant.granted_total
            self._ceiling = None
        return True

    def give_back(self, units: int) -> int:
        """Gives up to `units` unused units back to the zone.

        Returns:
            The number of units that were given back.
        """
        returned = max(0, min(units, self.holding - self._running))
        self._returned += returned
        return returned

    def apply_ceiling(self, ceiling: int) -> None:
        """Gives back units above the ceiling, now and when tasks end."""
        self._ceiling = ceiling
        self.give_back(self.holding - ceiling)

    def accept_notice(self, notice: allowance_model.AllowanceNotice) -> bool:
        """Applies a notice; returns False if it is of another term."""
        if notice.term != self._term:
            return False
        self.apply_ceiling(notice.ceilings.get(self._holder, 0))
        return True

    def begin_term(self, term: model.Term) -> bool:
        """Starts to follow a term; returns False if a higher term is known.

        A new term drops orphaned tasks with their units, because its barrier
        completes only after their worker was reported by its owner or lapsed.
        """
        if term <= self._term:
            return term == self._term
        self.drop_orphaned(self._orphaned)
        self._term = term
        self._granted = self.holding
        self._returned = 0
        return True

    def report(self) -> allowance_model.HoldingReport:
        """Returns a report of the current state for the coordinator."""
        self._sequence += 1
        return allowance_model.HoldingReport(
            self._term,
            self._sequence,
            self._granted,
            self._returned,
            self._running,
            self._orphaned,
        )
