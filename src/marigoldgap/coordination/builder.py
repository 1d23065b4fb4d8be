"""Creates the coordination of an instance and connects its parts."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap.coordination import allowance_manager
from marigoldgap.coordination import config_relay
from marigoldgap.coordination import coordination as coordination_module
from marigoldgap.coordination import coordinator
from marigoldgap.coordination import entry_agent
from marigoldgap.coordination import free_capacity
from marigoldgap.coordination import holding_requests
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_handlers
from marigoldgap.coordination import job_manager
from marigoldgap.coordination import jobs_gateway
from marigoldgap.coordination import task_runner
from marigoldgap.coordination import team_usage
from marigoldgap.coordination import zone_digests
from marigoldgap.coordination import zone_view
from marigoldgap.scheduling import allowance_ledger
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model


class Dependencies(NamedTuple):
    """Objects of other packages that the coordination depends on.

    Attributes:
        peers: The peer hub.
        instances: List of instances that the platform publishes.
        table: Reads rows.
        committer: Writes rows.
        objects: Stores large payloads.
        config: Configuration of this instance.
        in_force: Tracks the versions that others have in force.
        holdings: Holding accounts of this instance, from dispatch.
        placer: Starts job tasks, from dispatch.
        stopper: Stops tasks, from dispatch.
        fleet: Provides the workers with valid leases.
    """

    peers: interfaces.Peers
    instances: interfaces.InstanceList
    table: interfaces.TableClient
    committer: interfaces.GroupCommitter
    objects: interfaces.ObjectClient
    config: interfaces.ConfigState
    in_force: interfaces.InForce
    holdings: interfaces.Holdings
    placer: interfaces.Placer
    stopper: interfaces.TaskStopper
    fleet: interfaces.OwnedFleet


def create_coordination(
    settings: settings_model.Settings,
    dependencies: Dependencies,
    now_ms: Callable[[], int] = clock.monotonic_ms,
    source: random.Random | None = None,
) -> coordination_module.Coordination:
    """Returns the coordination; the caller must run it.

    Its `agent` is a FleetListener. The caller must pass it every event of the
    fleet, after the dispatcher has received it.

    Args:
        settings: Settings of this instance.
        dependencies: Objects of other packages.
        now_ms: Monotonic clock.
        source: Random numbers for jitter; tests pass a fixed seed.
    """
    source = source or random.Random()
    runner = task_runner.TaskRunner(
        dependencies.placer, dependencies.stopper, dependencies.objects
    )
    agent = entry_agent.EntryAgent(
        settings,
        dependencies.peers,
        dependencies.holdings,
        runner,
        dependencies.fleet,
        now_ms,
    )
    digests = zone_digests.ZoneDigests(settings, dependencies.peers, now_ms)

    def create_role(term: model.Term) -> coordinator.Coordinator:
        return _create_role(
            settings, dependencies, digests, term, now_ms, source
        )

    created = coordination_module.Coordination(
        peers=dependencies.peers,
        agent=agent,
        holdings=dependencies.holdings,
        digests=digests,
        relay=config_relay.ConfigRelay(
            settings,
            dependencies.peers,
            dependencies.config,
            dependencies.in_force,
            digests,
            now_ms,
        ),
        gateway=jobs_gateway.JobsGateway(
            settings,
            dependencies.peers,
            dependencies.table,
            dependencies.committer,
            dependencies.objects,
        ),
        requests=holding_requests.HoldingRequests(
            dependencies.peers, dependencies.holdings, agent, now_ms
        ),
        create_role=create_role,
        now_ms=now_ms,
    )
    job_handlers.JobHandlers(
        settings, dependencies.peers, digests, created.active
    )
    return created


def _create_role(
    settings: settings_model.Settings,
    dependencies: Dependencies,
    digests: zone_digests.ZoneDigests,
    term: model.Term,
    now_ms: Callable[[], int],
    source: random.Random,
) -> coordinator.Coordinator:
    """Creates the coordinator role for a new term."""
    ledger = allowance_ledger.AllowanceLedger(settings.zone, term)
    zone = zone_view.ZoneView()

    def zones() -> list[str]:
        return sorted(
            {entry.zone for entry in dependencies.instances.entries()}
        )

    allowances = allowance_manager.AllowanceManager(
        settings,
        ledger,
        dependencies.peers,
        dependencies.table,
        dependencies.committer,
        dependencies.config,
        zones,
        digests.demands,
        now_ms,
    )
    usage = team_usage.TeamUsage(digests.usage)
    free = free_capacity.FreeCapacity(
        dependencies.peers, settings.instance_id, dependencies.placer, now_ms
    )
    jobs = job_manager.JobManager(
        settings,
        term,
        dependencies.peers,
        dependencies.table,
        dependencies.committer,
        dependencies.config,
        allowances,
        zone,
        free,
        usage,
        now_ms,
        source,
    )
    return coordinator.Coordinator(
        settings,
        term,
        dependencies.peers,
        dependencies.instances,
        ledger,
        allowances,
        jobs,
        zone,
        dependencies.config,
        dependencies.in_force,
        now_ms,
    )
