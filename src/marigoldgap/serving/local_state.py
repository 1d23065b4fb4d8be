"""What heartbeats say about this instance."""

from __future__ import annotations

from marigoldgap.config_store import state as config_state
from marigoldgap.dispatch import dispatcher as dispatch_dispatcher
from marigoldgap.dispatch import model as dispatch_model
from marigoldgap.workers import fleet as workers_fleet


class InstanceState:
    """Implements `entries.interfaces.LocalState`.

    Args:
        dispatcher: Knows the load and whether the instance is stopping.
        fleet: Knows the owned workers.
        config: The configuration in force here.
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
        """Whether this instance is stopping."""
        return self._dispatcher.draining

    @property
    def config_version(self) -> int:
        """The configuration version in force here."""
        return self._config.version

    @property
    def generation(self) -> int:
        """Number of changes to the set of owned workers."""
        return self._fleet.generation

    def load(self) -> dispatch_model.EntryLoad:
        """Returns the current load."""
        return self._dispatcher.load()
