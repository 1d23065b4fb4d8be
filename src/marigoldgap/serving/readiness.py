"""Readiness of this instance to accept work."""

from __future__ import annotations

from marigoldgap.config_store import state as config_state
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.table_service import instances as table_service_instances


class Readiness:
    """Checks readiness; implements `callers.interfaces.Readiness`.

    Args:
        config: Must be loaded before keys can be checked.
        instances: Must be loaded before workers can be found.
        dispatcher: Tells whether the instance is draining.
    """

    def __init__(
        self,
        config: config_state.ConfigState,
        instances: table_service_instances.InstanceList,
        dispatcher: dispatch_dispatcher.Dispatcher,
    ) -> None:
        self._config = config
        self._instances = instances
        self._dispatcher = dispatcher

    def not_ready_reason(self) -> str:
        """Returns why the instance accepts no work; empty if it is ready."""
        if self._dispatcher.draining:
            return "this instance is stopping"
        if not self._config.is_known:
            return "the configuration has not been read yet"
        if not self._instances.is_known:
            return "the instance list has not been read yet"
        return ""
