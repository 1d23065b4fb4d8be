"""Records events and metrics of the configuration."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.config_store import model
from marigoldgap.config_store import state as state_module
from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.metrics import client
from marigoldgap.metrics import names


class ConfigObserver:
    """Records adopted versions and withdrawn keys, and sets gauges.

    Args:
        state: The configuration in force.
        events: Receives the events.
        metrics: Receives the gauges; calls `sample` before each flush.
    """

    def __init__(
        self,
        state: state_module.ConfigState,
        events: ring.EventRing,
        metrics: client.MetricsClient,
    ) -> None:
        self._state = state
        self._events = events
        self._metrics = metrics
        state.subscribe(self)
        metrics.add_sampler(self.sample)

    def config_changed(self, versions: Sequence[model.ConfigVersion]) -> None:
        """Records adopted versions."""
        for change in versions:
            self._events.record(
                types.ConfigAdopted(change.version, change.author)
            )

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Records withdrawn keys."""
        for key_id in key_ids:
            self._events.record(types.KeyDenied(key_id))

    def sample(self) -> None:
        """Sets the gauges of the configuration and of dropped events."""
        self._metrics.gauge(names.CONFIG_VERSION, self._state.version)
        age_ms = self._state.confirmed_age_ms()
        if age_ms is not None:
            self._metrics.gauge(names.CONFIG_AGE, age_ms)
        self._metrics.gauge(names.EVENTS_DROPPED, self._events.dropped)
