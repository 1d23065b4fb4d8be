"""Reports the availability of the platform as metrics and events."""

from __future__ import annotations

from marigoldgap.events import ring
from marigoldgap.events import types
from marigoldgap.metrics import client
from marigoldgap.metrics import names
from marigoldgap.table_service import builder


class PlatformObserver:
    """Sets gauges and records events when a service goes down or recovers.

    Args:
        platform: The clients to observe.
        events: Receives the events.
        metrics: Receives the gauges; calls `sample` before each flush.
    """

    def __init__(
        self,
        platform: builder.Platform,
        events: ring.EventRing,
        metrics: client.MetricsClient,
    ) -> None:
        self._platform = platform
        self._events = events
        self._metrics = metrics
        self._down: set[str] = set()
        self._reported_writes = 0
        metrics.add_sampler(self.sample)

    def sample(self) -> None:
        """Samples the clients; sets the gauges and records events."""
        for service in self._platform.services:
            self._record_transition(service.name, service.is_down)
        table_up = 0 if self._platform.table.is_down else 1
        self._metrics.gauge(names.STORE_UP, table_up)
        self._metrics.gauge(
            names.INSTANCE_LIST_AGE, self._platform.instances.age_ms()
        )
        writes = self._platform.committer.write_count
        self._metrics.count(names.STORE_WRITES, writes - self._reported_writes)
        self._reported_writes = writes

    def _record_transition(self, name: str, is_down: bool) -> None:
        """Records an event if the state of a service changed."""
        if is_down and name not in self._down:
            self._down.add(name)
            self._events.record(types.ServiceDown(name))
        elif not is_down and name in self._down:
            self._down.discard(name)
            self._events.record(types.ServiceUp(name))
