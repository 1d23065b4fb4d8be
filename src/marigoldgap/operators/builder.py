"""Builds the routes of the operators API."""

from __future__ import annotations

from starlette import routing

from marigoldgap.operators import keys_routes
from marigoldgap.operators import observe_routes
from marigoldgap.operators import registry
from marigoldgap.operators import rules_routes
from marigoldgap.operators import services

# Importing these modules registers their handlers.
_HANDLER_MODULES = (keys_routes, observe_routes, rules_routes)


def create_routes(
    operator_services: services.OperatorServices,
) -> list[routing.Route]:
    """Returns the routes; the HTTP server also serves those of callers.

    Args:
        operator_services: Components that the handlers use.
    """
    return registry.routes(operator_services)
