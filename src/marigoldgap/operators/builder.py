"""Creates the routes of the operators API."""

from __future__ import annotations

from starlette import routing

from marigoldgap.operators import keys_routes
from marigoldgap.operators import observe_routes
from marigoldgap.operators import registry
from marigoldgap.operators import rules_routes
from marigoldgap.operators import services

# Importing these modules fills the registry.
_HANDLERS = (keys_routes, observe_routes, rules_routes)


def create_routes(parts: services.OperatorServices) -> list[routing.Route]:
    """Returns the routes; they are served with those for callers."""
    return registry.routes(parts)
