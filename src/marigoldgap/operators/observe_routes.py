"""Handlers that show what an instance knows and did."""

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

# About 1 MB of JSON.
_MOST_EVENTS = 5_000
_LAST_TIME = 2**63


@registry.route("GET", "/status")
async def show_status(
    parts: services.OperatorServices, _: starlette_requests.Request
) -> Mapping[str, Any]:
    """Returns the state of this instance."""
    state = parts.config.state
    return {
        "instance_id": parts.settings.instance_id,
        "zone": parts.settings.zone,
        "region": parts.settings.region,
        "config_version": state.version,
        "config_confirmed_age_ms": state.confirmed_age_ms(),
        "withdrawals_not_stored": len(parts.config.withdrawals.unpublished),
        "events_dropped": parts.events.dropped,
        **parts.status.status(),
    }


@registry.route("GET", "/timeline")
async def show_timeline(
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.TimelineAnswer:
    """Returns events of this instance, the latest if there are too many."""
    since = requests.number_parameter(request, "since", 0, _LAST_TIME)
    found = parts.events.events(request.query_params.get("id", ""), since)
    return {
        "instance_id": parts.settings.instance_id,
        "dropped": parts.events.dropped,
        "truncated": len(found) > _MOST_EVENTS,
        "events": [events_model.to_value(e) for e in found[-_MOST_EVENTS:]],
    }


@registry.route("GET", "/explain/{kind}/{name:path}")
async def explain(
    parts: services.OperatorServices, request: starlette_requests.Request
) -> messages.ExplainAnswer:
    """Explains a team, a queue or a job in plain sentences."""
    kind = request.path_params["kind"]
    make = explanations.known().get(kind)
    if make is None:
        raise errors.NotFoundError(
            f"cannot explain '{kind}'; known: "
            f"{', '.join(sorted(explanations.known()))}"
        )
    return {"sentences": await make(parts, request.path_params["name"])}
