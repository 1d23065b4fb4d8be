"""Handlers for status, timeline and explanations."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from starlette import requests as starlette_requests

from marigoldgap import errors
from marigoldgap.events import model as events_model
from marigoldgap.operators import explanations
from marigoldgap.operators import messages
from marigoldgap.operators import registry
from marigoldgap.operators import requests
from marigoldgap.operators import services

# Limits the response to about 1 MB of JSON.
_MAX_EVENTS = 5_000
_MAX_CLOCK_TIME = 2**63


@registry.route("GET", "/status")
async def show_status(
    operator_services: services.OperatorServices, _: starlette_requests.Request
) -> Mapping[str, Any]:
    """Returns the state of this instance."""
    state = operator_services.config.state
    return {
        "instance_id": operator_services.settings.instance_id,
        "zone": operator_services.settings.zone,
        "region": operator_services.settings.region,
        "config_version": state.version,
        "config_confirmed_age_ms": state.confirmed_age_ms(),
        "withdrawals_not_stored": len(
            operator_services.config.withdrawals.unpublished
        ),
        "events_dropped": operator_services.events.dropped,
        **operator_services.status.status(),
    }


@registry.route("GET", "/timeline")
async def show_timeline(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.TimelineAnswer:
    """Returns events of this instance; only the latest if too many."""
    since = requests.number_parameter(request, "since", 0, _MAX_CLOCK_TIME)
    recorded = operator_services.events.events(
        request.query_params.get("id", ""), since
    )
    return {
        "instance_id": operator_services.settings.instance_id,
        "dropped": operator_services.events.dropped,
        "truncated": len(recorded) > _MAX_EVENTS,
        "events": [
            events_model.to_value(event) for event in recorded[-_MAX_EVENTS:]
        ],
    }


@registry.route("GET", "/explain/{kind}/{name:path}")
async def explain(
    operator_services: services.OperatorServices,
    request: starlette_requests.Request,
) -> messages.ExplainAnswer:
    """Explains a team, a queue or a job in plain sentences."""
    kind = request.path_params["kind"]
    explanation = explanations.registered().get(kind)
    if explanation is None:
        raise errors.NotFoundError(
            f"cannot explain '{kind}'; known: "
            f"{', '.join(sorted(explanations.registered()))}"
        )
    return {
        "sentences": await explanation(
            operator_services, request.path_params["name"]
        )
    }
