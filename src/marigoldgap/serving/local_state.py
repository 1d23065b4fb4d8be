"""State of this instance that its heartbeats report."""

from __future__ import annotations

from marigoldgap.config_store import state as config_state
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.workers import fleet as workers_fleet


class InstanceState:
    """Provides the heartbeat fields; an `entries.interfaces.LocalState`.

    Args:
        dispatcher: Source of the load and of the draining state.
        fleet: The workers that this instance owns.
        config: The configuration in force at this instance.
    """

    def __init__(
        self,
        dispatcher: dispatch_dispatcher.Dispatcher,
        fleet: workers_fleet.WorkerFleet,
        config: config_state.ConfigState,
    ) -> None:
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._config = config

    @property
    def draining(self) -> bool:
        """Whether this instance is draining before it stops."""
        return self._dispatcher.draining

    @property
    def config_version(self) -> int:
        """The configuration version in force at this instance."""
        return self._config.version

    @property
    def generation(self) -> int:
        """How many times the set of owned workers has changed."""
        return self._fleet.generation

    def load(self) -> dispatch_model.EntryLoad:
        """Returns the current load of this instance."""
        return self._dispatcher.load()
