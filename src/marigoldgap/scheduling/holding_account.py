"""Units of one team's limit that one entry instance holds."""

from __future__ import annotations

from marigoldgap import errors
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model


class HoldingAccount:
    """Side of the entry instance in the escrow of a team's limit.

    Only the coordinator adds units and only the instance gives them back, both
    as running totals. The coordinator's view of the holding is therefore never
    lower than the holding, whatever happens to messages.

    Args:
        holder: Name of this process; a process that was restarted under the
            same instance id has another one.
        term: The term that the instance obeys.
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
        """Units held; a task starts only while fewer tasks run."""
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
            LimitReachedError: If no unit is left; nothing is counted.
        """
        if not self.may_start:
            raise errors.LimitReachedError(f"{self.holding} units are in use")
        self._running += 1

    def finish(self) -> None:
        """Counts the end of a task; units above the ceiling are returned."""
        self._running -= 1
        if self._ceiling is not None:
            self.lower_to(self._ceiling)

    def adopt(self, tasks: int) -> None:
        """Counts tasks found on a worker that was taken over."""
        self._running += tasks

    def lose(self, tasks: int) -> None:
        """Marks tasks on a worker whose lease was lost as orphaned.

        They stay counted: they may still run, and their next owner may not
        have reported them yet.
        """
        self._orphaned += tasks

    def reclaim(self, lost: int, found: int) -> None:
        """Replaces orphaned tasks by what a worker taken back still runs."""
        settled = min(lost, self._orphaned)
        self._orphaned -= settled
        self._running += found - settled

    def settle(self, tasks: int) -> None:
        """Drops orphaned tasks together with their units.

        To be called when the coordinator has confirmed that their worker was
        taken over and reported, or has lapsed.
        """
        settled = min(tasks, self._orphaned)
        self._orphaned -= settled
        self._running -= settled
        self._returned += min(settled, self.holding)

    def drop_units(self) -> None:
        """Gives all units up.

        To be called when the instance holds no lease any more, before it asks
        for one: the coordinator drops an instance, with its units, once all
        its workers were taken over, and the instance may not have noticed.
        """
        self._returned = self._granted
        self._ceiling = None

    def accept_grant(self, grant: allowance_model.HoldingGrant) -> bool:
        """Adds granted units.

        Returns:
            False for a grant of another term or for another process.
        """
        if grant.term != self._term or grant.holder != self._holder:
            return False
        if grant.granted_total > self._granted:
            self._granted = grant.granted_total
            self._ceiling = None
        return True

    def give_back(self, units: int) -> int:
        """Returns up to `units` unused units; returns how many."""
        returned = max(0, min(units, self.holding - self._running))
        self._returned += returned
        return returned

    def lower_to(self, ceiling: int) -> None:
        """Gives back units above the ceiling, now and as tasks end."""
        self._ceiling = ceiling
        self.give_back(self.holding - ceiling)

    def accept_notice(self, notice: allowance_model.AllowanceNotice) -> bool:
        """Obeys a notice; returns False for a notice of another term."""
        if notice.term != self._term:
            return False
        self.lower_to(notice.ceilings.get(self._holder, 0))
        return True

    def begin_term(self, term: model.Term) -> bool:
        """Obeys a new term; returns False if a higher term is known.

        Orphaned tasks are dropped with their units: the barrier of the new term
        completes only when their worker was reported by its owner or lapsed.
        """
        if term <= self._term:
            return term == self._term
        self.settle(self._orphaned)
        self._term = term
        self._granted = self.holding
        self._returned = 0
        return True

    def report(self) -> allowance_model.HoldingReport:
        """Returns the state for the coordinator."""
        self._sequence += 1
        return allowance_model.HoldingReport(
            self._term,
            self._sequence,
            self._granted,
            self._returned,
            self._running,
            self._orphaned,
        )
