"""Coordination on each entry instance: executes commands and sends reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import holding_messages
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import owned_tasks
from marigoldgap.coordination import pause_fence
from marigoldgap.coordination import task_runner
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.scheduling import allowance_model
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import model as workers_model

_log = logs.PartLogger("coordination")


class EntryAgent:
    """Executes the coordinator's commands and reports to it.

    Implements FleetListener. Reports, results and changes are separate
    messages on one link, so the coordinator receives them in the order of the
    events. If a message is lost with its link, the coordinator announces its
    term on the next link and gets a full report.

    Args:
        settings: Settings of this instance.
        peers: Links to the other instances.
        holdings: Holding accounts of this instance.
        runner: Starts and stops tasks.
        fleet: Provides the workers with valid leases.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.Peers,
        holdings: interfaces.Holdings,
        runner: task_runner.TaskRunner,
        fleet: interfaces.OwnedFleet,
        now_ms: Callable[[], int] = clock.monotonic_ms,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._holdings = holdings
        self._runner = runner
        self._fleet = fleet
        self._now_ms = now_ms
        self._fence = pause_fence.PauseFence(settings, now_ms())
        self._reported_term = model.NO_TERM
        self._flush_scheduled = False
        self._freed_units: dict[str, int] = {}
        self.tasks = owned_tasks.OwnedTasks()
        runner.attach(self.tasks, self._send_results)
        peers.register(self)

    @property
    def may_act(self) -> bool:
        """Whether work may start: no pause since the term was confirmed."""
        return self._fence.is_open(self._now_ms())

    @property
    def reported_term(self) -> model.Term:
        """The term for which the last full report was sent."""
        return self._reported_term

    def confirm_term(self) -> None:
        """Allows work again after the coordinator confirmed the term."""
        self._fence.reopen()

    def detect_pause(self) -> bool:
        """Detects pauses of this process; call it several times a second.

        Returns:
            Whether a new pause was detected.
        """
        paused = self._fence.record_tick(self._now_ms())
        if paused:
            _log.warning(
                "This process was paused; no work starts until the coordinator"
                " confirms the term."
            )
        return paused

    def worker_acquired(
        self, worker: model.WorkerInfo, running: Sequence[model.RunningTask]
    ) -> None:
        """See FleetListener."""
        self.tasks.acquired(worker, running)
        self._schedule_flush()

    def worker_lost(self, worker_id: str) -> None:
        """See FleetListener."""
        self.tasks.lost(worker_id)
        self._schedule_flush()

    def worker_leaving(self, worker_id: str) -> None:
        """See FleetListener; the dispatcher acts on it."""

    def worker_restarted(self, worker_id: str) -> None:
        """See FleetListener."""
        self.tasks.restarted(worker_id)
        self._schedule_flush()

    def task_changed(self, change: workers_model.TaskChange) -> None:
        """See FleetListener."""
        team = self.tasks.team_of(change.worker_id, change.task_id)
        if not self.tasks.changed(change):
            return
        if team is not None:
            self._freed_units[team] = self._freed_units.get(team, 0) + 1
        self._schedule_flush()

    def usage_reported(self, usage: workers_model.TaskUsage) -> None:
        """See FleetListener; the dispatcher acts on it."""

    @registry.handles(messages.TermAnnounce)
    def on_term_announce(
        self, sender: str, message: messages.TermAnnounce
    ) -> None:
        """Accepts the term unless a higher one was seen, and sends a report.

        After a pause no report is sent until the fleet has noticed the
        expired leases: other instances own these workers, and the tasks on
        them must not be counted twice. The coordinator repeats the
        announcement.
        """
        valid = {owned.worker.worker_id for owned in self._fleet.owned()}
        if not self.tasks.is_current(valid):
            return
        membership = self._peers.membership
        accepted = membership.observe_term(message.term)
        if accepted:
            self._holdings.begin_term(message.term)
            self._reported_term = message.term
            self._fence.record_tick(self._now_ms())
            self._fence.reopen()
        self._peers.send(sender, self._full_report(accepted))

    @registry.handles(messages.HoldingGrant)
    def on_grant(self, sender: str, message: messages.HoldingGrant) -> None:
        """Adds units that the coordinator granted."""
        del sender
        self.accept_grant(message)

    @registry.handles(messages.AllowanceNotice)
    def on_notice(
        self, sender: str, message: messages.AllowanceNotice
    ) -> messages.HoldingReturn:
        """Returns units above the new ceiling."""
        del sender
        self._check_term(message.term)
        notice = allowance_model.AllowanceNotice(
            term=message.term,
            team=message.team,
            allowance=message.allowance,
            sequence=message.sequence,
            ceilings={self._holdings.incarnation: message.ceiling},
        )
        self._holdings.accept_notice(notice)
        return self._account_of(message.team)

    @registry.handles(messages.HoldingRecall)
    def on_recall(
        self, sender: str, message: messages.HoldingRecall
    ) -> messages.HoldingReturn:
        """Returns unused units except those of tasks that are starting."""
        del sender
        self._check_term(message.term)
        kept = max(message.keep, self._runner.placing_of(message.team))
        surplus = self._holdings.unused(message.team) - kept
        if surplus > 0:
            self._holdings.give_back(message.team, surplus)
        return self._account_of(message.team)

    @registry.handles(messages.WorkersSettled)
    def on_settled(self, sender: str, message: messages.WorkersSettled) -> None:
        """Stops counting tasks on workers that were lost earlier."""
        del sender
        if message.term == self._reported_term:
            self._holdings.drop_orphaned(message.worker_ids)

    @registry.handles(job_messages.PlaceTasks)
    def on_place(self, sender: str, message: job_messages.PlaceTasks) -> None:
        """Starts tasks; the results are sent as PlaceResult."""
        del sender
        if not self._accepts_commands_of(message.term):
            return
        self._runner.place(message.tasks, message.payloads)

    @registry.handles(job_messages.StopTasks)
    async def on_stop(
        self, sender: str, message: job_messages.StopTasks
    ) -> job_messages.StopResult:
        """Stops tasks and returns their states."""
        del sender
        self._check_term(message.term)
        return await self._runner.stop(message.tasks, message.action)

    @registry.handles(job_messages.ReserveGang)
    def on_reserve(
        self, sender: str, message: job_messages.ReserveGang
    ) -> job_messages.ReserveResult:
        """Reserves capacity for tasks of a gang."""
        del sender
        self._check_term(message.term)
        return self._runner.reserve(message)

    @registry.handles(job_messages.CommitGang)
    def on_commit(self, sender: str, message: job_messages.CommitGang) -> None:
        """Starts the tasks of a reservation."""
        del sender
        if self._accepts_commands_of(message.term):
            self._runner.commit(message)

    @registry.handles(job_messages.ReleaseGang)
    def on_release(
        self, sender: str, message: job_messages.ReleaseGang
    ) -> None:
        """Releases a reservation."""
        del sender
        self._runner.release(message.reservation_id)

    @registry.handles(job_messages.JobsForgotten)
    def on_forgotten(
        self, sender: str, message: job_messages.JobsForgotten
    ) -> None:
        """Drops the outcomes of closed jobs."""
        del sender
        self.tasks.forget_jobs(message.job_ids)
        self._runner.forget_jobs(message.job_ids)

    def accept_grant(self, message: messages.HoldingGrant) -> bool:
        """Adds granted units; returns whether they are for this process."""
        return self._holdings.accept_grant(holding_messages.to_grant(message))

    def holding_returned(self, team: str) -> None:
        """Reports to the coordinator that unused units were returned."""
        self._peers.send(
            self._reported_term.instance_id, self._account_of(team)
        )

    def _accepts_commands_of(self, term: model.Term) -> bool:
        """Whether commands of a term may be executed."""
        if term != self._reported_term or term != self._peers.membership.term:
            return False
        return self.may_act

    def _check_term(self, term: model.Term) -> None:
        """Rejects commands of another term, and all commands after a pause.

        Raises:
            errors.StaleTermError: The command must not be executed.
        """
        if not self._accepts_commands_of(term):
            raise errors.StaleTermError("another term is in force here")

    def _full_report(self, accepted: bool) -> messages.TermReport:
        """Returns the complete state of this instance for the coordinator."""
        return messages.TermReport(
            term=self._peers.membership.term,
            accepted=accepted,
            incarnation=self._holdings.incarnation,
            workers=self.tasks.full_report() if accepted else (),
            placing=self._runner.placing() if accepted else (),
            holdings=holding_messages.to_entries(self._holdings.reports()),
            outcomes=self.tasks.all_outcomes() if accepted else (),
        )

    def _account_of(self, team: str) -> messages.HoldingReturn:
        """Returns a message with the account of one team."""
        entry = holding_messages.to_entry(team, self._holdings.report(team))
        return messages.HoldingReturn(
            term=self._reported_term,
            incarnation=self._holdings.incarnation,
            holdings=(entry,),
        )

    def _schedule_flush(self) -> None:
        """Schedules a report of the changes after the current callbacks.

        The tasks of an acquired worker and the outcomes that come with them
        are reported in one message, so ended tasks do not appear lost.
        """
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Sends the changes; after a lost link a full report replaces them."""
        self._flush_scheduled = False
        coordinator = self._reported_term.instance_id
        if not coordinator or not self.tasks.has_changes:
            return
        changes = self.tasks.take_changes(
            self._reported_term, self._holdings.incarnation
        )
        self._peers.send(coordinator, self._with_accounts(changes))

    def _with_accounts(
        self, changes: messages.WorkersChanged
    ) -> messages.WorkersChanged:
        """Returns the units of ended job tasks and adds the accounts."""
        freed, self._freed_units = self._freed_units, {}
        for team, units in freed.items():
            self._holdings.give_back(team, units)
        if changes.acquired or changes.lost or changes.restarted:
            reports = dict(self._holdings.reports())
        else:
            reports = {team: self._holdings.report(team) for team in freed}
        return changes._replace(holdings=holding_messages.to_entries(reports))

    def _send_results(
        self, outcomes: tuple[job_messages.Placed, ...], refused: dict[str, int]
    ) -> None:
        """Sends the results of task placements to the coordinator.

        Args:
            outcomes: The results.
            refused: Number of refused tasks by team; their units are returned.
        """
        for team, units in refused.items():
            self._holdings.give_back(team, units)
        reports = {team: self._holdings.report(team) for team in refused}
        self._peers.send(
            self._reported_term.instance_id,
            job_messages.PlaceResult(
                term=self._reported_term,
                incarnation=self._holdings.incarnation,
                outcomes=outcomes,
                holdings=holding_messages.to_entries(reports),
            ),
        )
