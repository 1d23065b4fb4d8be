"""The entry instance: runs its components and stops them gracefully."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from marigoldgap import clock
from marigoldgap import logs
from marigoldgap.config_store import builder as config_builder
from marigoldgap.events import builder as events_builder
from marigoldgap.events import types
from marigoldgap.metrics import builder as metrics_builder
from marigoldgap.serving import components as components_module
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import builder as table_service_builder
from marigoldgap.table_service import observer as table_service_observer

_log = logs.PartLogger("serving")

# Time that load balancers and peers need to detect that the instance is
# draining; new requests still arrive and are served until then.
_DRAIN_DETECTION_S = 2.0


class EntryInstance:
    """Runs all components of one entry instance.

    Args:
        settings: Settings of this instance.
    """

    def __init__(self, settings: settings_model.Settings) -> None:
        self._settings = settings
        self._events = events_builder.build(settings)
        self._metrics = metrics_builder.build(settings)
        self._platform = table_service_builder.build(settings)
        self._config = config_builder.build(
            settings,
            self._platform.table,
            self._platform.committer,
            self._platform.instances,
        )
        self._components = components_module.build(
            settings, self._platform, self._config, self._events, self._metrics
        )
        table_service_observer.PlatformObserver(
            self._platform, self._events.ring, self._metrics
        )
        self._drain_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def begin_drain(self) -> None:
        """Requests a graceful stop; `run` returns once it is complete."""
        self._drain_requested.set()

    async def run(self) -> None:
        """Serves until `begin_drain`, then stops gracefully.

        Raises:
            BaseExceptionGroup: A component failed that must never end.
        """
        components = self._components
        await self._platform.instances.refresh()
        self._start_task("hub", components.hub.run())
        self._start_task("instances", self._platform.instances.run())
        self._start_task("dispatcher", components.data.dispatcher.run())
        self._start_task("fleet", components.data.fleet.run())
        self._start_task("ownership", components.ownership.run())
        self._start_task("usage", components.usage.run())
        self._start_task("coordination", components.coordination.run())
        self._start_task("config", self._poll_config())
        self._start_task("metrics", self._metrics.run())
        server = asyncio.create_task(components.server.run())
        _log.info("serving HTTP on %s", self._settings.address)
        await self._wait_for_drain(server)
        await self._drain(server)

    async def _poll_config(self) -> None:
        """Loads the configuration, then polls for its changes."""
        await self._config.poller.load(self._components.coordination.relay)
        await self._config.poller.run(
            lambda: self._components.hub.is_coordinator
        )

    async def _wait_for_drain(self, server: asyncio.Task[None]) -> None:
        """Returns when a stop is requested or a component has ended."""
        requested = asyncio.create_task(self._drain_requested.wait())
        await asyncio.wait(
            [requested, server, *self._tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        requested.cancel()
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                _log.error("component %s failed; stopping", task.get_name())

    async def _drain(self, server: asyncio.Task[None]) -> None:
        """Stops all components; in-flight requests are completed first."""
        components = self._components
        instance_id = self._settings.instance_id
        self._events.ring.record(types.DrainStarted(instance_id))
        components.data.dispatcher.begin_drain()
        await asyncio.sleep(_DRAIN_DETECTION_S)
        components.server.stop()
        drain_s = (
            self._settings.drain_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        await self._wait_at_most("requests", asyncio.wait([server]), drain_s)
        await self._wait_at_most(
            "dispatcher", components.data.dispatcher.drain(), drain_s
        )
        await self._wait_at_most(
            "leases", components.data.fleet.release(), drain_s
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, server, return_exceptions=True)
        await self._wait_at_most("platform", self._platform.close(), drain_s)
        self._metrics.close()
        _log.info("stopped")

    async def _wait_at_most(
        self, name: str, coroutine: Coroutine[Any, Any, Any], timeout_s: float
    ) -> None:
        """Waits for one step of the stop, for at most `timeout_s` seconds."""
        try:
            await asyncio.wait_for(coroutine, timeout_s)
        except TimeoutError:
            _log.warning(
                "stop: %s not done within %.0f s; continuing", name, timeout_s
            )

    def _start_task(
        self, name: str, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        """Runs a component as an asyncio task."""
        self._tasks.append(asyncio.create_task(coroutine, name=name))
