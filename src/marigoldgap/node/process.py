"""A serving process on the platform."""

from __future__ import annotations

import asyncio
import signal

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.cell import advice_desk
from marigoldgap.cell import configuration_follower
from marigoldgap.cell import election as elections
from marigoldgap.cell import feeds
from marigoldgap.cell import job_desk
from marigoldgap.cell import model
from marigoldgap.cell import peers
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.cell import time_source
from marigoldgap.cell import watcher
from marigoldgap.node import instance_rows
from marigoldgap.node import settings as node_settings
from marigoldgap.platform import advice_client
from marigoldgap.platform import documents
from marigoldgap.platform import job_api
from marigoldgap.platform import node_settings as platform_settings
from marigoldgap.platform import store_client
from marigoldgap.platform import worker_client
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import server

_log = logs.PartLogger("process")

# After a request to stop, callers still come for two checks of readiness.
_LAME_DUCK_S = 2.5
# Kept of the shutdown time for the last writes.
_SHUTDOWN_MARGIN_S = 1.0
_POLL_S = 0.05


class Process:
    """All parts of a serving process.

    Args:
        settings: Where it listens and what it talks to.
    """

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._pool = client.HttpPool()
        self._rows = store_client.StoreClient(
            self._pool, settings.store_address
        )
        self._advice = (
            advice_client.AdviceClient(self._pool, settings.advice_address)
            if settings.advice_address
            else None
        )
        self._scheduler: schedulers.Scheduler | None = None
        self._won: elections.Won | None = None
        self._configuration = configuration_follower.ConfigurationFollower(
            self._rows,
            platform_settings.CONFIGURATION,
            documents.decode_configuration,
            self._adopt,
        )
        self._election = elections.Election(
            self._rows, settings.name, settings.peers_address, self._serve_cell
        )
        self._instances = instance_rows.InstanceList(
            self._rows, self._pool, settings.name
        )
        view = peers.JobView(lambda: self._scheduler)
        self._desk = job_desk.JobDesk(
            self._rows,
            lambda: self._rows.is_reachable,
            self._configuration,
            self._election,
            view,
            self._pool,
            settings.withdrawal_s,
        )
        api = job_api.JobApi(self._desk)
        self._is_stopping = False
        self._api = api
        self._callers = server.HttpServer(api.handle, self._limits)
        self._readiness = server.HttpServer(self._ready)
        self._peers = server.HttpServer(
            peers.PeerServer(view, self._advice, self._election).handle
        )
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serves until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._callers.start(self._settings.callers_address)
        await self._readiness.start(self._settings.readiness_address)
        await self._peers.start(self._settings.peers_address)
        tasks = [
            asyncio.create_task(self._configuration.run()),
            asyncio.create_task(self._election.run()),
            asyncio.create_task(
                watcher.Watcher(
                    self._election, self._settings.name, self._pool
                ).run()
            ),
            asyncio.create_task(
                instance_rows.announce(
                    self._rows,
                    self._settings.name,
                    self._settings.peers_address,
                )
            ),
        ]
        _log.info("Started %s", self._settings.name)
        await self._stop.wait()
        await self._shut_down()
        for task in tasks:
            task.cancel()
        _log.info("Stopped %s", self._settings.name)

    def _reload(self) -> None:
        """Reads the settings file again; addresses stay until a restart."""
        try:
            platform_settings.load(platform_settings.path())
        except (OSError, errors.MarigoldgapError) as error:
            _log.error("The changed settings are unusable: %s", error)
        else:
            _log.info("Reloaded the settings")

    async def _shut_down(self) -> None:
        """Hands over, finishes requests, then closes."""
        began_s = time_source.now_s()
        _log.info("Stopping %s", self._settings.name)
        self._is_stopping = True
        self._election.withdraw()
        self._callers.drain()
        await self._hand_over()
        latest_s = began_s + self._settings.shutdown_s - _SHUTDOWN_MARGIN_S
        while time_source.now_s() < latest_s:
            waited = time_source.now_s() - began_s
            if waited > _LAME_DUCK_S and self._callers.is_idle:
                break
            await asyncio.sleep(_POLL_S)
        for each in (self._callers, self._readiness, self._peers):
            each.close()

    async def _hand_over(self) -> None:
        scheduler, won = self._scheduler, self._won
        if scheduler is None or won is None:
            return
        scheduler.stop_planning()
        try:
            await asyncio.wait_for(scheduler.flushed(), 1.0)
            await self._election.release(won)
        except (TimeoutError, errors.MarigoldgapError) as error:
            _log.warning("Could not hand over: %s", error)
        scheduler.on_fenced()

    async def _serve_cell(self, won: elections.Won) -> None:
        scheduler = schedulers.Scheduler(
            self._rows,
            won.election,
            won.epoch,
            worker_client.WorkerClient(self._pool),
            self._lanes,
            lambda: self._configuration.current,
            self._offer_duty,
        )
        self._scheduler = scheduler
        self._won = won
        tasks: list[asyncio.Task[None]] = []
        try:
            roster = won.roster
            await scheduler.recover(
                None if roster is None else roster.value,
                0 if roster is None else roster.version,
            )
            tasks = [
                asyncio.create_task(feeds.follow_jobs(self._rows, scheduler)),
                asyncio.create_task(
                    feeds.follow_workers(
                        self._rows,
                        scheduler,
                        platform_settings.WORKERS_TABLE,
                        documents.decode_registration,
                    )
                ),
                asyncio.create_task(self._instances.follow()),
            ]
            await scheduler.run()
        finally:
            self._scheduler = None
            self._won = None
            for task in tasks:
                task.cancel()
            scheduler.close()

    async def _offer_duty(self, epoch: int) -> bool:
        """Asks the other instances to take over, those near the store first."""
        for near_only in (True, False):
            answers = await asyncio.gather(
                *(
                    peer.take_over(epoch, near_only)
                    for peer in self._instances.peers
                ),
                return_exceptions=True,
            )
            if any(answer is True for answer in answers):
                return True
        return False

    def _lanes(self) -> list[advice_desk.Lane]:
        lanes: list[advice_desk.Lane] = []
        if self._advice is not None:
            lanes.append(_OwnLane(self._settings.name, self._advice))
        return [*lanes, *self._instances.peers]

    def _adopt(self, configuration: model.Configuration) -> None:
        if self._scheduler is not None:
            self._scheduler.adopt_configuration(configuration)

    def _limits(self) -> server.HttpLimits:
        standard = server.HttpLimits()
        current = self._configuration.current
        if current is None:
            return standard
        limits = current.limits
        return server.HttpLimits(
            limits.header_bytes or standard.header_bytes,
            limits.body_bytes or standard.body_bytes,
            limits.header_ms / 1000 or standard.request_s,
            limits.idle_ms / 1000 or standard.idle_s,
        )

    async def _ready(self, request: messages.Request) -> messages.Response:
        if self._is_stopping:
            return messages.Response(503)
        return await self._api.ready(request)


class _OwnLane:
    """This instance as a lane for advice."""

    def __init__(self, name: str, port: advice_client.AdviceClient) -> None:
        self.name = name
        self._port = port

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> model.Tickets:
        """Asks the advice service from here."""
        return await self._port.ask(step, workers, timeout_s)
