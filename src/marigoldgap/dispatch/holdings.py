"""Units of the teams' limits that this instance holds and uses.

A unit permits one running task of a team. The coordinator grants units to the
entry instances; the units that an instance has are its holding.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from marigoldgap import identifiers
from marigoldgap.dispatch import interfaces
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import holding_account
from marigoldgap.scheduling import model

# The answer to a request for units may be lost, so it is repeated after this
# time.
REQUEST_RETRY_MS = 250
# More units are requested once less than 1/4 of the holding is unused, so that
# requests seldom wait for a grant.
_HEADROOM_DIVISOR = 4


class HoldingsTable:
    """Accounts of all teams; a task starts only if its team has a unit.

    Args:
        request_holding: Requests additional units of a team.
        now_ms: Monotonic clock in milliseconds.
        incarnation: Identifies this process to the coordinator; if empty, a
            new one is generated.
    """

    def __init__(
        self,
        request_holding: interfaces.RequestHolding,
        now_ms: Callable[[], int],
        incarnation: str = "",
    ) -> None:
        self._request_holding = request_holding
        self._now_ms = now_ms
        self._incarnation = incarnation or identifiers.new_token()
        self._term = model.NO_TERM
        self._accounts: dict[str, holding_account.HoldingAccount] = {}
        self._requested_at_ms: dict[str, int] = {}
        self._peaks: Counter[str] = Counter()
        self._orphaned: dict[str, Counter[str]] = {}
        self._granted_callback: Callable[[], None] = lambda: None
        self._count_waiting: Callable[[str], int] = lambda _: 0

    @property
    def incarnation(self) -> str:
        """Identifies this process among all processes with its instance id."""
        return self._incarnation

    def on_granted(self, callback: Callable[[], None]) -> None:
        """Sets the callback that runs after units were added."""
        self._granted_callback = callback

    def set_waiting_counter(self, waiting: Callable[[str], int]) -> None:
        """Sets the function that counts the waiting requests of a team."""
        self._count_waiting = waiting

    def holding(self, team: str) -> int:
        """Returns the units held for a team."""
        return self._account(team).holding

    def running(self, team: str) -> int:
        """Returns the running tasks of a team, including orphaned ones."""
        return self._account(team).running

    def running_by_team(self) -> Mapping[str, int]:
        """Returns the number of running tasks of each team that has any."""
        return {
            team: account.running
            for team, account in self._accounts.items()
            if account.running
        }

    def may_start(self, team: str) -> bool:
        """Returns whether a task may start; requests units if it may not."""
        account = self._account(team)
        if account.may_start:
            return True
        self._request_more(team, account)
        return False

    def request_units(self, team: str, units: int) -> None:
        """Requests a given number of additional units."""
        self._requested_at_ms[team] = self._now_ms()
        self._request_holding(team, units)

    def start(self, team: str) -> None:
        """Counts a task that is about to start.

        Raises:
            LimitReachedError: No unit is unused; nothing is counted.
        """
        account = self._account(team)
        account.start()
        self._peaks[team] = max(self._peaks[team], account.running)
        unused = account.holding - account.running
        if unused * _HEADROOM_DIVISOR < account.holding:
            self._request_more(team, account)

    def finish(self, team: str) -> None:
        """Counts the end of a task."""
        self._account(team).finish()

    def adopt(self, team: str) -> None:
        """Counts a task from the inventory of a worker."""
        self._account(team).adopt(1)

    def mark_orphaned(self, worker_id: str, teams: Counter[str]) -> None:
        """Marks the tasks on a worker whose lease was lost as orphaned."""
        self._orphaned.setdefault(worker_id, Counter()).update(teams)
        for team, tasks in teams.items():
            self._account(team).mark_orphaned(tasks)

    def reclaim(self, worker_id: str, teams: Counter[str]) -> None:
        """Replaces the orphaned tasks of a reacquired worker.

        Args:
            worker_id: The worker.
            teams: Number of tasks by team in its inventory.
        """
        lost = self._orphaned.pop(worker_id, Counter())
        for team in lost.keys() | teams.keys():
            self._account(team).reclaim(lost[team], teams[team])

    def drop_orphaned(self, worker_ids: Sequence[str]) -> None:
        """Drops orphaned tasks with their units.

        Call this once the coordinator knows that another owner counts the
        tasks on these workers, or that the tasks have certainly ended.
        """
        for worker_id in worker_ids:
            for team, tasks in self._orphaned.pop(worker_id, Counter()).items():
                self._account(team).drop_orphaned(tasks)

    def accept_grant(self, grant: allowance_model.HoldingGrant) -> bool:
        """Adds granted units; returns False for a grant of another term."""
        self._requested_at_ms.pop(grant.team, None)
        accepted = self._account(grant.team).accept_grant(grant)
        if accepted:
            self._granted_callback()
        return accepted

    def accept_notice(self, notice: allowance_model.AllowanceNotice) -> bool:
        """Applies a new allowance; returns False for one of another term."""
        return self._account(notice.team).accept_notice(notice)

    def give_back(self, team: str, units: int) -> int:
        """Gives up to `units` unused units back and returns their number."""
        return self._account(team).give_back(units)

    def unused(self, team: str) -> int:
        """Returns the number of units without a running task."""
        account = self._account(team)
        return max(0, account.holding - account.running)

    def begin_term(self, term: model.Term) -> bool:
        """Adopts a new term; returns False if a higher term is known."""
        if term < self._term:
            return False
        if term > self._term:
            self._term = term
            self._orphaned.clear()
            self._requested_at_ms.clear()
        return all(
            account.begin_term(term) for account in self._accounts.values()
        )

    def drop_units(self) -> None:
        """Drops all units; see `HoldingAccount.drop_units`."""
        for account in self._accounts.values():
            account.drop_units()

    def reports(self) -> dict[str, allowance_model.HoldingReport]:
        """Returns the state of every team for the coordinator."""
        return {team: self.report(team) for team in self._accounts}

    def report(self, team: str) -> allowance_model.HoldingReport:
        """Returns the state of one team for the coordinator."""
        return self._account(team).report()

    def return_unused(self) -> list[str]:
        """Gives back the units that were not used since the last call.

        Keeps the peak use since the last call and a quarter of it as reserve.

        Returns:
            The teams whose units were given back.
        """
        returned = []
        for team, account in self._accounts.items():
            peak = max(self._peaks.pop(team, 0), account.running)
            kept = peak + -(-peak // _HEADROOM_DIVISOR)
            if account.give_back(account.holding - kept) > 0:
                returned.append(team)
        return returned

    def _account(self, team: str) -> holding_account.HoldingAccount:
        account = self._accounts.get(team)
        if account is None:
            account = holding_account.HoldingAccount(
                self._incarnation, self._term
            )
            self._accounts[team] = account
        return account

    def _request_more(
        self, team: str, account: holding_account.HoldingAccount
    ) -> None:
        now_ms = self._now_ms()
        requested_at_ms = self._requested_at_ms.get(team)
        if (
            requested_at_ms is not None
            and now_ms - requested_at_ms < REQUEST_RETRY_MS
        ):
            return
        headroom = max(1, account.running // _HEADROOM_DIVISOR)
        self.request_units(team, headroom + self._count_waiting(team))
