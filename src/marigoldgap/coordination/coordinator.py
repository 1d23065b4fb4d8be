"""Coordinator role of an instance during one term."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap import logs
from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import barrier as barrier_module
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_manager
from marigoldgap.coordination import zone_view
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import allowance_ledger
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("coordination")

# Interval at which the term is announced again to a member without a report.
_ANNOUNCE_INTERVAL_MS = 1_000
_PERMILLE = 1_000


class Coordinator:
    """Collects the zone's state until the term barrier is passed.

    Only then does it grant units and start jobs.

    Args:
        settings: Settings of this instance.
        term: The term; the role ends when a higher one is seen.
        peers: Links to the instances of the zone.
        instances: List of instances that the platform publishes.
        ledger: Ledger of the zone's allowances in this term.
        allowances: Grants units from the ledger.
        jobs: Jobs of the zone.
        zone: Workers of the zone.
        config: Provides the names of the teams.
        in_force: Provides the lowest configuration version of the zone.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        term: model.Term,
        peers: interfaces.Peers,
        instances: interfaces.InstanceList,
        ledger: allowance_ledger.AllowanceLedger,
        allowances: allowance_manager.AllowanceManager,
        jobs: job_manager.JobManager,
        zone: zone_view.ZoneView,
        config: interfaces.ConfigState,
        in_force: interfaces.InForce,
        now_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._term = term
        self._peers = peers
        self._instances = instances
        self._ledger = ledger
        self._now_ms = now_ms
        self._zone = zone
        self._config = config
        self._in_force = in_force
        self._barrier = barrier_module.TermBarrier(
            term, settings.lease.max_orphaned_run_ms, now_ms()
        )
        self._announced_at_ms: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}
        # Dead processes whose holdings and tasks still count.
        self._dead_holders: set[str] = set()
        self.allowances = allowances
        self.jobs = jobs

    @property
    def term(self) -> model.Term:
        """The term of this role."""
        return self._term

    @property
    def barrier_passed(self) -> bool:
        """Whether units may be granted and tasks started."""
        return self._ledger.complete

    @property
    def zone(self) -> zone_view.ZoneView:
        """Workers of the zone."""
        return self._zone

    def has_reported(self, instance_id: str, incarnation: str) -> bool:
        """Whether a process has reported in this term and was not lost."""
        if instance_id not in self._barrier.acknowledged:
            return False
        return self._incarnations.get(instance_id) == incarnation

    def digest(self) -> job_messages.ZoneDigest:
        """Returns the full digest of the zone."""
        demands = [
            self._demand(team) for team in sorted(self._config.rules.teams)
        ]
        return job_messages.ZoneDigest(
            term=self._term,
            zone=self._settings.zone,
            full=True,
            config_version=self._in_force.zone_version(),
            capacity=self._zone.capacity(),
            free=self.jobs.free_total(),
            teams=tuple(demands),
        )

    def tick(self) -> None:
        """Runs periodic work; call it several times a second."""
        self._announce()
        self._update_list()
        self._check_barrier()
        if self.barrier_passed:
            self.allowances.tick()
            self.jobs.tick(self._zone.has_capacity_of(self._listed()))

    def stop(self) -> None:
        """Stops all work of the role."""
        self.allowances.stop()
        self.jobs.stop()

    def linked(self, instance_id: str) -> None:
        """Makes the next tick announce the term, as messages may be lost."""
        self._announced_at_ms.pop(instance_id, None)

    def member_lost(self, instance_id: str) -> None:
        """Handles a dead instance.

        Its holdings count until the barrier is settled again.
        """
        self._barrier.member_lost(instance_id, self._now_ms())
        for worker_id in self._zone.workers_of(instance_id):
            self._zone.lost(instance_id, worker_id)
        self._zone.forget_instance(instance_id)
        self._announced_at_ms.pop(instance_id, None)
        holder = self.allowances.remove_holder(instance_id)
        if holder is not None:
            self._dead_holders.add(holder)
        self.jobs.instance_lost(instance_id)

    def apply_report(self, sender: str, report: messages.TermReport) -> None:
        """Applies a full report of an instance."""
        if not report.accepted or report.term != self._term:
            return
        for worker_id in self._lost_since(sender, report):
            self._lost(sender, worker_id)
        owned = [worker.worker_id for worker in report.workers]
        self._barrier.acknowledge(sender, owned, self._now_ms())
        if self._incarnations.get(sender) == report.incarnation:
            self.jobs.instance_resumed(sender)
        self._incarnations[sender] = report.incarnation
        self._dead_holders.discard(report.incarnation)
        self.allowances.add_holder(sender, report.incarnation)
        self.allowances.record_accounts(
            report.term, report.incarnation, report.holdings
        )
        self.jobs.record_outcomes(report.outcomes)
        self.jobs.record_placing(sender, report.placing)
        for worker in report.workers:
            self._acquired(sender, worker)

    def apply_changes(
        self, sender: str, changes: messages.WorkersChanged
    ) -> None:
        """Applies changes of an instance that has sent a full report."""
        if changes.term != self._term:
            return
        if sender not in self._barrier.acknowledged:
            return
        self.jobs.record_outcomes(changes.outcomes)
        for worker_id in changes.restarted:
            self.jobs.clear_worker(worker_id)
        for worker_id in changes.lost:
            self._barrier.lost(sender, worker_id, self._now_ms())
            self._lost(sender, worker_id)
        for worker in changes.acquired:
            self._barrier.acquired(sender, worker.worker_id)
            self._acquired(sender, worker)
        self.allowances.record_accounts(
            changes.term, changes.incarnation, changes.holdings
        )

    def _demand(self, team: str) -> job_messages.TeamDemand:
        """Returns the allowance, usage and demand of a team."""
        demand = self.allowances.demand(team)
        usage = self.jobs.usage_fraction(team)
        return job_messages.TeamDemand(
            team=team,
            allowance=demand.allowance,
            running=demand.in_use,
            waiting=demand.waiting,
            usage_permille=int(usage * _PERMILLE),
        )

    def _announce(self) -> None:
        """Announces the term to members that have not reported."""
        now_ms = self._now_ms()
        for member in self._peers.membership.members:
            announced_at_ms = self._announced_at_ms.get(member)
            known = member in self._barrier.acknowledged
            if announced_at_ms is not None and (
                known or now_ms - announced_at_ms < _ANNOUNCE_INTERVAL_MS
            ):
                continue
            self._announced_at_ms[member] = now_ms
            self._peers.send(member, messages.TermAnnounce(self._term))

    def _update_list(self) -> None:
        """Passes the platform's list of workers to the barrier."""
        age_ms = self._instances.age_ms()
        if age_ms is None:
            return
        listed = [
            entry.instance_id
            for entry in self._instances.workers(self._settings.zone)
        ]
        self._barrier.record_list(listed, self._now_ms() - age_ms)

    def _check_barrier(self) -> None:
        """Passes the barrier if it is settled and retires dead processes."""
        now_ms = self._now_ms()
        for worker in self._zone.workers:
            if not worker.owner and self._barrier.is_certainly_idle(
                worker.worker_id, now_ms
            ):
                self._clear_worker(worker.worker_id)
        members = self._peers.membership.members
        if not self._barrier.is_settled(members, now_ms):
            return
        self._retire_dead_holders()
        self.jobs.resolve_unknown()
        if not self._ledger.complete and self._barrier.passed:
            _log.info(
                "Term %d: the term barrier is passed.", self._term.counter
            )
            self._ledger.complete_barrier()
            self.jobs.start_loading()

    def _retire_dead_holders(self) -> None:
        """Releases the holdings of dead processes after the barrier settled."""
        for holder in self._dead_holders:
            self._ledger.remove_holder(holder)
        self._dead_holders.clear()

    def _lost_since(
        self, sender: str, report: messages.TermReport
    ) -> list[str]:
        """Returns workers that the sender no longer owns."""
        owned = {worker.worker_id for worker in report.workers}
        known = self._zone.workers_of(sender)
        return [worker_id for worker_id in known if worker_id not in owned]

    def _acquired(self, sender: str, worker: messages.OwnedReport) -> None:
        """Records the new owner of a worker and its running tasks."""
        self._zone.acquired(sender, worker)
        self.jobs.reconcile_worker(worker.worker_id, worker.tasks)
        self._notify_settled(worker.worker_id, except_id=sender)

    def _lost(self, sender: str, worker_id: str) -> None:
        """Records that a lease was lost; the worker's tasks may still run."""
        self._zone.lost(sender, worker_id)
        owner = self._zone.owner(worker_id)
        if owner is not None:
            # The new owner reported before the former one.
            self._notify_settled(worker_id, except_id=owner)

    def _clear_worker(self, worker_id: str) -> None:
        """Handles a worker that is certain to run no job task."""
        self.jobs.clear_worker(worker_id)
        self._notify_settled(worker_id, except_id="")
        if worker_id not in self._listed():
            self._zone.remove(worker_id)
            self._barrier.forget(worker_id)

    def _listed(self) -> frozenset[str]:
        """Returns the ids of the zone's workers in the platform's list."""
        return frozenset(
            entry.instance_id
            for entry in self._instances.workers(self._settings.zone)
        )

    def _notify_settled(self, worker_id: str, except_id: str) -> None:
        """Tells former owners to stop counting the tasks of a worker."""
        for instance_id in self._zone.take_former_owners(worker_id):
            if instance_id != except_id:
                message = messages.WorkersSettled(self._term, (worker_id,))
                self._peers.send(instance_id, message)
