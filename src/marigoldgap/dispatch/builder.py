"""Builds the dispatcher and its fleet for an entry instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap.dispatch import acceptance_gate
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.dispatch import fleet_events
from marigoldgap.dispatch import forwarding
from marigoldgap.dispatch import holdings as dispatch_holdings
from marigoldgap.dispatch import interfaces
from marigoldgap.dispatch import job_tasks
from marigoldgap.dispatch import placement as dispatch_placement
from marigoldgap.dispatch import preemption
from marigoldgap.dispatch import quarantine as dispatch_quarantine
from marigoldgap.dispatch import request_queue
from marigoldgap.dispatch import request_run
from marigoldgap.dispatch import usage as dispatch_usage
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import fair_queue
from marigoldgap.scheduling import free_index
from marigoldgap.scheduling import retry_budget
from marigoldgap.settings import model as settings_model
from marigoldgap.workers import builder as workers_builder
from marigoldgap.workers import fleet as workers_fleet


class DataPlane(NamedTuple):
    """The dispatcher and the fleet; the caller starts the `run` of both."""

    dispatcher: dispatch_dispatcher.Dispatcher
    fleet: workers_fleet.WorkerFleet


class Connections(NamedTuple):
    """Implementations that the data plane gets from other packages.

    Attributes:
        request_holding: Requests additional units from the coordinator.
        claims: Stores the claims of idempotency keys.
        holding_returned: Called with a team whose units were returned.
        forwarder: Sends requests to peers.
        budget: Bounds retries; None for a budget with the default rule.
        choose_victim: Chooses the task to checkpoint for urgent work.
    """

    request_holding: interfaces.RequestHolding
    claims: interfaces.ClaimStore
    holding_returned: interfaces.HoldingReturned = lambda _: None
    forwarder: interfaces.Forwarder = forwarding.NoForwarder()
    budget: interfaces.RetryBudget | None = None
    choose_victim: interfaces.ChooseVictim = preemption.choose_largest_job_task


def build_data_plane(
    settings: settings_model.Settings,
    connections: Connections,
    now_ms: Callable[[], int] = clock.monotonic_ms,
) -> DataPlane:
    """Returns a data plane without workers and without units.

    Args:
        settings: The settings.
        connections: Implementations from other packages.
        now_ms: Monotonic clock in milliseconds, also used for the deadlines
            of tasks.
    """
    index = free_index.FreeIndex()
    queue = fair_queue.FairQueue(settings.queue.capacity)
    holdings = dispatch_holdings.HoldingsTable(
        connections.request_holding, now_ms
    )
    placement = dispatch_placement.Placement(index, holdings)
    usage = dispatch_usage.TeamUsage(queue, holdings.running)
    requests = request_queue.RequestQueue(
        queue, placement, usage.usage_of, now_ms
    )
    placement.on_freed(requests.capacity_freed)
    holdings.on_granted(requests.place_waiting)
    holdings.set_waiting_counter(requests.waiting_of)
    gate = acceptance_gate.AcceptanceGate(index)
    quarantine = dispatch_quarantine.WorkerQuarantine(gate, now_ms)
    placement.on_tasks(quarantine.task_placed, quarantine.task_released)
    events = fleet_events.FleetEvents(
        settings, holdings, placement, requests, gate, quarantine
    )
    fleet = workers_builder.build_fleet(settings, events)
    events.set_fleet(fleet)
    parts = request_run.RunnerParts(
        fleet,
        placement,
        requests,
        gate,
        connections.forwarder,
        connections.budget or retry_budget.RetryBudget(rules_model.RetryRule()),
        quarantine,
        events.settle,
        now_ms,
    )
    starter = job_tasks.JobTaskStarter(
        fleet,
        placement,
        holdings,
        gate,
        events.settle,
        connections.choose_victim,
    )
    dispatcher = dispatch_dispatcher.Dispatcher(
        parts,
        events,
        holdings,
        usage,
        starter,
        connections.claims,
        connections.holding_returned,
    )
    return DataPlane(dispatcher, fleet)
