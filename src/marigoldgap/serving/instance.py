"""The entry instance: all parts, connected, run and stopped gracefully."""

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
from marigoldgap.serving import parts as parts_module
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import builder as table_service_builder
from marigoldgap.table_service import observer as table_service_observer

_log = logs.PartLogger("serving")

# Load balancers and peers need this time to notice that the instance is
# stopping; until then new requests still arrive and are served.
_NOTICE_S = 2.0


class EntryInstance:
    """Runs all parts of one entry instance.

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
        self._parts = parts_module.build(
            settings, self._platform, self._config, self._events, self._metrics
        )
        table_service_observer.PlatformObserver(
            self._platform, self._events.ring, self._metrics
        )
        self._drain_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def begin_drain(self) -> None:
        """Starts a graceful stop; `run` returns when it is done."""
        self._drain_requested.set()

    async def run(self) -> None:
        """Serves until `begin_drain`, then stops gracefully.

        Raises:
            BaseExceptionGroup: A part failed that must never end.
        """
        parts = self._parts
        await self._platform.instances.refresh()
        self._start("hub", parts.hub.run())
        self._start("instances", self._platform.instances.run())
        self._start("dispatcher", parts.data.dispatcher.run())
        self._start("fleet", parts.data.fleet.run())
        self._start("ownership", parts.ownership.run())
        self._start("usage", parts.usage.run())
        self._start("coordination", parts.coordination.run())
        self._start("config", self._follow_config())
        self._start("metrics", self._metrics.run())
        server = asyncio.create_task(parts.server.run())
        _log.info("serving at %s", self._settings.address)
        await self._wait_for_drain(server)
        await self._drain(server)

    async def _follow_config(self) -> None:
        """Reads the first configuration, then follows it."""
        await self._config.poller.load(self._parts.coordination.relay)
        await self._config.poller.run(lambda: self._parts.hub.is_coordinator)

    async def _wait_for_drain(self, server: asyncio.Task[None]) -> None:
        """Returns when a stop is requested or a part has ended."""
        requested = asyncio.create_task(self._drain_requested.wait())
        await asyncio.wait(
            [requested, server, *self._tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        requested.cancel()
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                _log.error("part %s failed; stopping", task.get_name())

    async def _drain(self, server: asyncio.Task[None]) -> None:
        """Stops without cutting a request short."""
        parts = self._parts
        instance_id = self._settings.instance_id
        self._events.ring.record(types.DrainStarted(instance_id))
        parts.data.dispatcher.begin_drain()
        await asyncio.sleep(_NOTICE_S)
        parts.server.stop()
        drain_s = (
            self._settings.drain_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        await self._bounded("requests", asyncio.wait([server]), drain_s)
        await self._bounded(
            "dispatcher", parts.data.dispatcher.drain(), drain_s
        )
        await self._bounded("leases", parts.data.fleet.release(), drain_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, server, return_exceptions=True)
        await self._bounded("platform", self._platform.close(), drain_s)
        self._metrics.close()
        _log.info("stopped")

    async def _bounded(
        self, name: str, work: Coroutine[Any, Any, Any], timeout_s: float
    ) -> None:
        """Waits for a step of the stop, but not for ever."""
        try:
            await asyncio.wait_for(work, timeout_s)
        except TimeoutError:
            _log.warning("%s did not end within %.0f s", name, timeout_s)

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Runs a part as a task."""
        self._tasks.append(asyncio.create_task(work, name=name))
