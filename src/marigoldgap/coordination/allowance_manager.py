"""Manages the zone's allowances: table rows, and holdings of its instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import random
from typing import Any

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import allowance_policy
from marigoldgap.coordination import allowance_rows
from marigoldgap.coordination import holding_messages
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import unmet_demand
from marigoldgap.entries import messages
from marigoldgap.scheduling import allowance_ledger
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("coordination")

# Interval between reviews of a team whose row may need a change. Rows are read
# only for teams with unmet demand or a pending change.
_REVIEW_INTERVAL_MS = 1_000
_RECALL_INTERVAL_MS = 200
_CONFLICT_ATTEMPTS = 6
# About the duration of a read and a write over the link between regions.
_CONFLICT_BACKOFF_MS = 50

ZoneDemands = Callable[[str], Mapping[str, allowance_policy.ZoneDemand]]


class AllowanceManager:
    """Grants units to instances and moves units between zones in one term.

    Args:
        settings: Settings of this instance.
        ledger: Ledger of the zone's allowances and holdings.
        peers: Links to the instances of the zone.
        table: Reads rows.
        committer: Writes rows.
        config: Provides the limits of the teams.
        zones: Returns the names of all zones.
        other_demands: Returns the demand of a team in the other zones.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        ledger: allowance_ledger.AllowanceLedger,
        peers: interfaces.Peers,
        table: interfaces.TableClient,
        committer: interfaces.GroupCommitter,
        config: interfaces.ConfigState,
        zones: Callable[[], list[str]],
        other_demands: ZoneDemands,
        now_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._peers = peers
        self._table = table
        self._committer = committer
        self._config = config
        self._zones = zones
        self._other_demands = other_demands
        self._now_ms = now_ms
        self._holders: dict[str, str] = {}
        self._unmet = unmet_demand.UnmetDemand()
        self._last_grants: dict[tuple[str, str], messages.HoldingGrant] = {}
        self._reviewed_at_ms: dict[str, int] = {}
        self._next_full_review_ms = 0
        self._recalled_at_ms: dict[str, int] = {}
        # Targets of the reductions in progress, by team.
        self._reductions: dict[str, int] = {}
        # Teams whose row was written in this term.
        self._confirmed: set[str] = set()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def handle_request(
        self, instance_id: str, request: messages.HoldingRequest
    ) -> messages.HoldingGrant:
        """Grants units to an instance now, or when some become free."""
        team = request.entry.team
        self.record_accounts(
            request.term, request.incarnation, (request.entry,)
        )
        granted = self.grant(team, instance_id, request.wanted)
        missing = request.wanted - (granted.units if granted else 0)
        if missing > 0:
            until_ms = self._now_ms() + _REVIEW_INTERVAL_MS * 2
            self._unmet.set_missing(team, instance_id, missing, until_ms)
            self._recall(team, instance_id)
        if granted is not None:
            return granted
        return self._last_or_empty_grant(instance_id, request)

    def grant(
        self, team: str, instance_id: str, units: int
    ) -> messages.HoldingGrant | None:
        """Grants up to `units` free units; returns None if there are none."""
        holder = self._holders.get(instance_id)
        if holder is None:
            return None
        grant = self._ledger.grant(team, holder, units)
        if grant is None:
            return None
        message = holding_messages.to_grant_message(grant)
        self._last_grants[(instance_id, team)] = message
        return message

    def free_units(self, team: str) -> int:
        """Returns the number of units of a team that can be granted now."""
        return self._ledger.free(team)

    def add_holder(self, instance_id: str, holder: str) -> None:
        """Allows grants to an instance, which runs as the process `holder`."""
        self._holders[instance_id] = holder
        self._ledger.record_term_report(holder, {})

    def remove_holder(self, instance_id: str) -> str | None:
        """Stops grants to a dead instance and returns its former process."""
        return self._holders.pop(instance_id, None)

    def record_accounts(
        self,
        term: model.Term,
        holder: str,
        entries: tuple[messages.HoldingEntry, ...],
    ) -> None:
        """Records the holding accounts that a process reported."""
        reports = holding_messages.to_reports(term, entries)
        for team, report in reports.items():
            self._ledger.record_report(holder, team, report)
            if self._unmet.missing_units(team):
                self._grant_unmet(team)

    def demand(self, team: str) -> allowance_policy.ZoneDemand:
        """Returns the allowance and demand of a team in this zone."""
        return allowance_policy.ZoneDemand(
            allowance=self._ledger.allowance(team),
            in_use=self._ledger.in_use(team),
            waiting=self._unmet.missing_units(team),
        )

    def record_job_demand(self, team: str, units: int) -> None:
        """Records that waiting jobs of the zone need more units."""
        own_id = ""
        until_ms = self._now_ms() + _REVIEW_INTERVAL_MS * 2
        self._unmet.set_missing(team, own_id, units, until_ms)
        self._recall(team, own_id)

    def tick(self) -> None:
        """Starts due reviews; call it several times a second."""
        now_ms = self._now_ms()
        self._unmet.expire(now_ms)
        for team in self._teams_to_review(now_ms):
            if team in self._tasks or not self._is_due(team, now_ms):
                continue
            self._reviewed_at_ms[team] = now_ms
            self._spawn(team, self._review(team))

    def stop(self) -> None:
        """Cancels all work at the end of the term."""
        for task in self._tasks.values():
            task.cancel()

    def _teams_to_review(self, now_ms: int) -> tuple[str, ...]:
        """Returns all teams once a second, else those with unmet demand.

        Digests bring the demands of other zones only once a second, so a
        check of hundreds of teams in each tick would be wasted work.
        """
        teams = self._config.rules.teams
        if now_ms >= self._next_full_review_ms:
            self._next_full_review_ms = now_ms + _REVIEW_INTERVAL_MS
            return tuple(teams)
        return tuple(team for team in self._unmet.teams if team in teams)

    def _is_due(self, team: str, now_ms: int) -> bool:
        """Whether the row of a team may need a change."""
        reviewed_at_ms = self._reviewed_at_ms.get(team)
        if (
            reviewed_at_ms is not None
            and now_ms - reviewed_at_ms < _REVIEW_INTERVAL_MS
        ):
            return False
        if team not in self._confirmed or team in self._reductions:
            return True
        limit = self._config.rules.teams[team].limit
        if self._ledger.allowance(team) > limit or self._unmet.missing_units(
            team
        ):
            return True
        return self._rebalancing_target(team) is not None

    def _spawn(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Runs a named task; a team's name means work on its row."""
        task = asyncio.create_task(work)
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    async def _review(self, team: str) -> None:
        """Reads the row of a team and changes it if needed.

        Conflicts are retried at once, with a short random backoff, and not at
        the next review. Otherwise a zone far from the table service would
        keep losing to nearer zones.
        """
        try:
            for attempt in range(1, _CONFLICT_ATTEMPTS + 1):
                try:
                    await self._read_and_adjust(team)
                    return
                except errors.ConflictError:
                    backoff_ms = random.uniform(
                        0, _CONFLICT_BACKOFF_MS * attempt
                    )
                    await asyncio.sleep(
                        backoff_ms / clock.MILLISECONDS_PER_SECOND
                    )
        except errors.MarigoldgapError as error:
            _log.debug(
                "Allowance of team %s was not changed: %s", team, error.detail
            )
        except Exception:
            _log.exception("Allowance review of team %s failed.", team)

    async def _read_and_adjust(self, team: str) -> None:
        """Reads the row of a team and writes it at most once."""
        row = await self._table.get(allowance_rows.key_of(team))
        content = allowance_rows.parse(row.value) if row else None
        version = row.version if row else 0
        self._ledger.record_row(team, content, version)
        if self._ledger.superseded and content is not None:
            self._report_higher_term(content)
            return
        await self._adjust(team)

    def _report_higher_term(self, row: allowance_model.AllowanceRow) -> None:
        """Observes the zone's higher term in a row; this ends the term."""
        term = row.terms.get(self._settings.zone, model.NO_TERM)
        self._peers.membership.observe_term(term)

    async def _adjust(self, team: str) -> None:
        """Lowers or raises the allowance if needed."""
        limit = self._limit(team)
        target = self._reductions.get(team)
        excess = self._ledger.reduction_target(team, limit)
        if excess is not None and team in self._confirmed:
            target = excess if target is None else min(target, excess)
        if target is None and team in self._confirmed:
            target = self._rebalancing_target(team)
        if target is not None:
            await self._reduce(team, target, limit)
            return
        even = allowance_policy.even_part(
            limit.limit, self._settings.zone, self._zones()
        )
        own = self.demand(team)
        wanted = allowance_policy.wanted_allowance(limit.limit, even, own)
        is_needed = team not in self._confirmed or self._ledger.can_raise(
            team, wanted, limit
        )
        if not is_needed:
            return
        await self._write(self._ledger.raise_write(team, wanted, limit))

    async def _reduce(
        self, team: str, target: int, limit: allowance_model.TeamLimit
    ) -> None:
        """Announces a lower allowance, then writes it once acknowledged."""
        notice = self._ledger.begin_reduction(team, target)
        if notice is None:
            self._reductions.pop(team, None)
            return
        self._reductions[team] = target
        announced = [
            self._announce(instance_id, holder, notice)
            for instance_id, holder in self._holders.items()
        ]
        await asyncio.gather(*announced)
        write = self._ledger.reduction_write(team, limit)
        if write is not None and await self._write(write):
            self._reductions.pop(team, None)

    async def _announce(
        self,
        instance_id: str,
        holder: str,
        notice: allowance_model.AllowanceNotice,
    ) -> None:
        """Announces a lowered allowance to one instance."""
        message = messages.AllowanceNotice(
            term=notice.term,
            team=notice.team,
            allowance=notice.allowance,
            sequence=notice.sequence,
            ceiling=notice.ceilings.get(holder, 0),
        )
        try:
            answer = await self._peers.call(instance_id, message)
        except errors.MarigoldgapError:
            # The next review announces it again.
            return
        reports = holding_messages.to_reports(answer.term, answer.holdings)
        if notice.team in reports:
            self._ledger.acknowledge(
                answer.incarnation,
                notice.team,
                notice.sequence,
                reports[notice.team],
            )

    async def _write(
        self, write: allowance_model.AllowanceWrite | None
    ) -> bool:
        """Commits a row; returns whether the write took effect for certain."""
        if write is None:
            return False
        try:
            version = await self._committer.commit(
                allowance_rows.transaction_of(write)
            )
        except BaseException:
            # Includes cancellation: the content of the row is unknown then too.
            self._ledger.write_failed(write)
            raise
        self._ledger.write_succeeded(write, version)
        self._confirmed.add(write.team)
        self._grant_unmet(write.team)
        return True

    def _rebalancing_target(self, team: str) -> int | None:
        """Returns the lower allowance that frees units for other zones."""
        return allowance_policy.rebalancing_target(
            self._limit(team).limit,
            self._settings.zone,
            self.demand(team),
            self._other_demands(team),
        )

    def _limit(self, team: str) -> allowance_model.TeamLimit:
        """Returns the limit of a team; 0 for a removed team."""
        rule = self._config.rules.teams.get(team)
        limit = rule.limit if rule else 0
        return allowance_model.TeamLimit(limit, self._config.version)

    def _last_or_empty_grant(
        self, instance_id: str, request: messages.HoldingRequest
    ) -> messages.HoldingGrant:
        """Returns the last grant, in case it was lost, or an empty one."""
        entry = request.entry
        last = self._last_grants.get((instance_id, entry.team))
        if last is not None and last.incarnation == request.incarnation:
            return last
        return messages.HoldingGrant(
            term=request.term,
            incarnation=request.incarnation,
            team=entry.team,
            granted_total=entry.granted_total,
            units=0,
        )

    def _grant_unmet(self, team: str) -> None:
        """Grants free units to the instances with unmet requests."""
        for instance_id, units in self._unmet.requests_of(team):
            if not instance_id:
                continue
            grant = self.grant(team, instance_id, units)
            if grant is None:
                return
            self._unmet.subtract_granted(team, instance_id, grant.units)
            self._peers.send(instance_id, grant)

    def _recall(self, team: str, except_id: str) -> None:
        """Recalls unused units of a team from the other instances."""
        now_ms = self._now_ms()
        recalled_at_ms = self._recalled_at_ms.get(team)
        if (
            recalled_at_ms is not None
            and now_ms - recalled_at_ms < _RECALL_INTERVAL_MS
        ):
            return
        self._recalled_at_ms[team] = now_ms
        for instance_id in self._holders:
            if instance_id != except_id:
                work = self._recall_from(team, instance_id)
                self._spawn(f"{team} {instance_id}", work)

    async def _recall_from(self, team: str, instance_id: str) -> None:
        """Recalls unused units of a team from one instance."""
        recall = messages.HoldingRecall(self._ledger.term, team, keep=0)
        try:
            answer = await self._peers.call(instance_id, recall)
        except errors.MarigoldgapError:
            return
        self.record_accounts(answer.term, answer.incarnation, answer.holdings)
