"""Creates and connects the components of an entry instance."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import clock
from marigoldgap.callers import builder as callers_builder
from marigoldgap.config_store import builder as config_builder
from marigoldgap.config_store import observer as config_observer
from marigoldgap.coordination import builder as coordination_builder
from marigoldgap.coordination import coordination as coordination_module
from marigoldgap.dispatch import builder as dispatch_builder
from marigoldgap.dispatch import claims
from marigoldgap.dispatch import forwarding
from marigoldgap.entries import builder as entries_builder
from marigoldgap.entries import hub as entries_hub
from marigoldgap.events import builder as events_builder
from marigoldgap.metrics import client as metrics_client
from marigoldgap.operators import builder as operators_builder
from marigoldgap.operators import services as operators_services
from marigoldgap.rules import model as rules_model
from marigoldgap.scheduling import retry_budget
from marigoldgap.scheduling import shares
from marigoldgap.serving import fleet_observer
from marigoldgap.serving import http_server
from marigoldgap.serving import job_explainer
from marigoldgap.serving import local_state
from marigoldgap.serving import membership_observer
from marigoldgap.serving import observed_dispatcher
from marigoldgap.serving import ownership
from marigoldgap.serving import peer_directory
from marigoldgap.serving import readiness as readiness_module
from marigoldgap.serving import rules_applier
from marigoldgap.serving import status
from marigoldgap.serving import usage_reporter
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import builder as table_service_builder


class Components(NamedTuple):
    """The components that the instance runs."""

    hub: entries_hub.PeerHub
    data: dispatch_builder.DataPlane
    coordination: coordination_module.Coordination
    ownership: ownership.OwnershipTask
    server: http_server.HttpServer
    usage: usage_reporter.UsageReporter


def build(
    settings: settings_model.Settings,
    platform: table_service_builder.Platform,
    config: config_builder.ConfigStore,
    events: events_builder.Events,
    metrics: metrics_client.MetricsClient,
) -> Components:
    """Returns the connected components; none of them runs yet."""
    hub = entries_builder.create_hub(settings, platform.instances, events.clock)
    budget = retry_budget.RetryBudget(rules_model.RetryRule())
    # The data plane and the coordination refer to each other; the
    # coordination is added to this list below, before anything runs.
    created_coordination: list[coordination_module.Coordination] = []

    def ask_holding(team: str, wanted: int) -> None:
        created_coordination[0].ask_holding(team, wanted)

    def holding_returned(team: str) -> None:
        created_coordination[0].agent.holding_returned(team)

    data = dispatch_builder.build_data_plane(
        settings,
        dispatch_builder.Connections(
            request_holding=ask_holding,
            holding_returned=holding_returned,
            claims=claims.TableClaimStore(platform.committer, platform.table),
            forwarder=forwarding.HttpForwarder(
                settings,
                peer_directory.PeerDirectory(
                    hub.membership, platform.instances
                ),
                clock.monotonic_ms,
            ),
            budget=budget,
        ),
    )
    coordination = coordination_builder.create_coordination(
        settings,
        coordination_builder.Dependencies(
            peers=hub,
            instances=platform.instances,
            table=platform.table,
            committer=platform.committer,
            objects=platform.objects,
            config=config.state,
            in_force=config.in_force,
            holdings=data.dispatcher.holdings,
            placer=data.dispatcher,
            stopper=data.dispatcher,
            fleet=data.fleet,
        ),
    )
    created_coordination.append(coordination)
    hub.set_local_state(
        local_state.InstanceState(data.dispatcher, data.fleet, config.state)
    )
    _observe(data, hub, coordination, config, events, metrics, budget)
    readiness = readiness_module.Readiness(
        config.state, platform.instances, data.dispatcher
    )
    routes = [
        *callers_builder.create_routes(
            settings,
            config.verifier,
            config.state,
            observed_dispatcher.ObservedDispatcher(
                data.dispatcher, events.ring, metrics
            ),
            coordination.gateway,
            readiness,
        ),
        *operators_builder.create_routes(
            operators_services.OperatorServices(
                settings,
                config,
                events.ring,
                status.InstanceStatus(readiness, data, hub, coordination),
                job_explainer.JobExplainer(coordination.gateway),
                shares.max_min_targets,
            )
        ),
    ]
    server = http_server.HttpServer(
        settings, routes, lambda: data.dispatcher.draining
    )
    ownership_task = ownership.OwnershipTask(
        settings, hub.membership, platform.instances, data.fleet
    )
    usage = usage_reporter.UsageReporter(data.dispatcher, hub.membership)
    return Components(hub, data, coordination, ownership_task, server, usage)


def _observe(
    data: dispatch_builder.DataPlane,
    hub: entries_hub.PeerHub,
    coordination: coordination_module.Coordination,
    config: config_builder.ConfigStore,
    events: events_builder.Events,
    metrics: metrics_client.MetricsClient,
    budget: retry_budget.RetryBudget,
) -> None:
    """Registers the observers; the coordination gets fleet events first."""
    data.dispatcher.events.add_observer(coordination.agent)
    data.dispatcher.events.add_observer(
        fleet_observer.FleetObserver(data.fleet, events.ring, metrics)
    )
    hub.membership.subscribe(
        membership_observer.MembershipObserver(events.ring)
    )
    config_observer.ConfigObserver(config.state, events.ring, metrics)
    config.state.subscribe(
        rules_applier.RulesApplier(config.state, data.dispatcher, budget)
    )
