"""The coordinator role of one term."""

from __future__ import annotations

from collections.abc import Callable

from marigoldgap import logs
from marigoldgap.coordination import allowance_keeper
from marigoldgap.coordination import barrier as barrier_module
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_role
from marigoldgap.coordination import zone_view
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.scheduling import allowance_ledger
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("coordination")

# A member that has not reported gets the announcement again.
_ANNOUNCE_EVERY_MS = 1_000
_PERMILLE = 1_000


class Coordinator:
    """Learns the zone's state behind the barrier, then grants and places.

    Args:
        settings: Settings of this instance.
        term: The term; the role ends when a higher one is seen.
        peers: Links to the instances of the zone.
        instances: The platform's list.
        ledger: Accounts of the zone in this term.
        keeper: Grants holdings from the ledger.
        jobs: The zone's jobs.
        zone: Workers of the zone.
        config: Names of the teams.
        in_force: Lowest configuration version of the zone.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        term: model.Term,
        peers: interfaces.Peers,
        instances: interfaces.InstanceList,
        ledger: allowance_ledger.AllowanceLedger,
        keeper: allowance_keeper.AllowanceKeeper,
        jobs: job_role.JobRole,
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
            term, settings.lease.certain_lapse_ms, now_ms()
        )
        self._announced_ms: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}
        # Dead processes whose holdings and tasks stay counted.
        self._unretired: set[str] = set()
        self.keeper = keeper
        self.jobs = jobs

    @property
    def term(self) -> model.Term:
        """The term of this role."""
        return self._term

    @property
    def barrier_passed(self) -> bool:
        """Whether grants and starts are allowed."""
        return self._ledger.complete

    @property
    def zone(self) -> zone_view.ZoneView:
        """Workers of the zone."""
        return self._zone

    def knows(self, instance_id: str, incarnation: str) -> bool:
        """Whether this process reported in this term and was not lost."""
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
        """Call it several times a second."""
        self._announce()
        self._read_list()
        self._settle()
        if self.barrier_passed:
            self.keeper.tick()
            self.jobs.tick(self._zone.knows(self._listed()))

    def stop(self) -> None:
        """Ends the role."""
        self.keeper.stop()
        self.jobs.stop()

    def linked(self, instance_id: str) -> None:
        """Announces the term on a new link; earlier messages may be lost."""
        self._announced_ms.pop(instance_id, None)

    def member_lost(self, instance_id: str) -> None:
        """Keeps counting what a dead instance held until it is settled."""
        self._barrier.member_lost(instance_id, self._now_ms())
        for worker_id in self._zone.workers_of(instance_id):
            self._zone.lost(instance_id, worker_id)
        self._zone.forget_instance(instance_id)
        self._announced_ms.pop(instance_id, None)
        holder = self.keeper.dismiss(instance_id)
        if holder is not None:
            self._unretired.add(holder)
        self.jobs.instance_lost(instance_id)

    def report(self, sender: str, report: messages.TermReport) -> None:
        """Takes over a full report."""
        if not report.accepted or report.term != self._term:
            return
        for worker_id in self._lost_since(sender, report):
            self._lost(sender, worker_id)
        owned = [worker.worker_id for worker in report.workers]
        self._barrier.acknowledge(sender, owned, self._now_ms())
        if self._incarnations.get(sender) == report.incarnation:
            self.jobs.instance_back(sender)
        self._incarnations[sender] = report.incarnation
        self._unretired.discard(report.incarnation)
        self.keeper.admit(sender, report.incarnation)
        self.keeper.record(report.term, report.incarnation, report.holdings)
        self.jobs.outcomes(report.outcomes)
        self.jobs.placing(sender, report.placing)
        for worker in report.workers:
            self._acquired(sender, worker)

    def changed(self, sender: str, changes: messages.WorkersChanged) -> None:
        """Takes over changes of an instance that has reported."""
        if changes.term != self._term:
            return
        if sender not in self._barrier.acknowledged:
            return
        self.jobs.outcomes(changes.outcomes)
        for worker_id in changes.restarted:
            self.jobs.worker_gone(worker_id)
        for worker_id in changes.lost:
            self._barrier.lost(sender, worker_id, self._now_ms())
            self._lost(sender, worker_id)
        for worker in changes.acquired:
            self._barrier.acquired(sender, worker.worker_id)
            self._acquired(sender, worker)
        self.keeper.record(changes.term, changes.incarnation, changes.holdings)

    def _demand(self, team: str) -> job_messages.TeamDemand:
        """Returns what the zone has, uses and needs of a team."""
        demand = self.keeper.demand(team)
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
            announced_ms = self._announced_ms.get(member)
            known = member in self._barrier.acknowledged
            if announced_ms is not None and (
                known or now_ms - announced_ms < _ANNOUNCE_EVERY_MS
            ):
                continue
            self._announced_ms[member] = now_ms
            self._peers.send(member, messages.TermAnnounce(self._term))

    def _read_list(self) -> None:
        """Takes over the platform's list of workers."""
        age_ms = self._instances.age_ms()
        if age_ms is None:
            return
        listed = [
            entry.instance_id
            for entry in self._instances.workers(self._settings.zone)
        ]
        self._barrier.list_read(listed, self._now_ms() - age_ms)

    def _settle(self) -> None:
        """Passes the barrier, and releases what dead instances held."""
        now_ms = self._now_ms()
        for worker in self._zone.workers:
            if not worker.owner and self._barrier.has_lapsed(
                worker.worker_id, now_ms
            ):
                self._worker_gone(worker.worker_id)
        members = self._peers.membership.members
        if not self._barrier.is_settled(members, now_ms):
            return
        self._retire()
        self.jobs.settled()
        if not self._ledger.complete and self._barrier.passed:
            _log.info("The barrier of term %d is passed.", self._term.counter)
            self._ledger.complete_barrier()
            self.jobs.begin()

    def _retire(self) -> None:
        """Releases what dead processes held; everything was reported."""
        for holder in self._unretired:
            self._ledger.remove_holder(holder)
        self._unretired.clear()

    def _lost_since(
        self, sender: str, report: messages.TermReport
    ) -> list[str]:
        """Returns workers that the sender does not own any more."""
        owned = {worker.worker_id for worker in report.workers}
        known = self._zone.workers_of(sender)
        return [worker_id for worker_id in known if worker_id not in owned]

    def _acquired(self, sender: str, worker: messages.OwnedReport) -> None:
        """Takes over a worker with its inventory."""
        self._zone.acquired(sender, worker)
        self.jobs.inventory(worker.worker_id, worker.tasks)
        self._tell_settled(worker.worker_id, except_id=sender)

    def _lost(self, sender: str, worker_id: str) -> None:
        """Records a loss; the worker's tasks may still run."""
        self._zone.lost(sender, worker_id)
        owner = self._zone.owner(worker_id)
        if owner is not None:
            # The new owner reported before the former one.
            self._tell_settled(worker_id, except_id=owner)

    def _worker_gone(self, worker_id: str) -> None:
        """Handles a worker that certainly runs no job task."""
        self.jobs.worker_gone(worker_id)
        self._tell_settled(worker_id, except_id="")
        if worker_id not in self._listed():
            self._zone.remove(worker_id)
            self._barrier.forget(worker_id)

    def _listed(self) -> frozenset[str]:
        """Returns the ids of the listed workers of the zone."""
        return frozenset(
            entry.instance_id
            for entry in self._instances.workers(self._settings.zone)
        )

    def _tell_settled(self, worker_id: str, except_id: str) -> None:
        """Lets former owners drop what they still count for a worker."""
        for instance_id in self._zone.take_former_owners(worker_id):
            if instance_id != except_id:
                message = messages.WorkersSettled(self._term, (worker_id,))
                self._peers.send(instance_id, message)
