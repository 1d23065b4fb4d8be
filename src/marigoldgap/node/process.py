"""A serving process: creates, starts and stops all its components."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import advice_dispatcher
from marigoldgap.cell import candidacy
from marigoldgap.cell import configuration_follower
from marigoldgap.cell import election as elections
from marigoldgap.cell import feeds
from marigoldgap.cell import job_service
from marigoldgap.cell import job_view
from marigoldgap.cell import leadership_transfer
from marigoldgap.cell import model
from marigoldgap.cell import peers
from marigoldgap.cell import ports
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.cell import table_reader
from marigoldgap.cell import vouching
from marigoldgap.cell import watcher
from marigoldgap.cell import zone_reader
from marigoldgap.node import instance_registry
from marigoldgap.node import loop_monitor
from marigoldgap.node import settings as node_settings
from marigoldgap.node import shutdown
from marigoldgap.node import takeover_offers
from marigoldgap.platform import advice_client
from marigoldgap.platform import documents
from marigoldgap.platform import job_api
from marigoldgap.platform import settings_file
from marigoldgap.platform import store_client
from marigoldgap.platform import worker_client
from marigoldgap.web import client
from marigoldgap.web import connection_registry
from marigoldgap.web import limits as web_limits
from marigoldgap.web import messages
from marigoldgap.web import server

_log = decision_log.DecisionLogger("process")

_DRAIN_POLL_S = 0.05
# Longest time of each step of a hand-over that waits for others.
_HAND_OVER_STEP_S = 1.0


class Process:
    """All components of a serving process.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self.settings = settings
        limits = web_limits.derive(settings.memory_mb, settings.max_fds)
        self._pool = client.HttpPool(limits.outgoing)
        self._rows = store_client.StoreClient(
            self._pool, settings.store_address
        )
        self._advice = (
            advice_client.AdviceClient(self._pool, settings.advice_address)
            if settings.advice_address
            else None
        )
        self._scheduler: schedulers.Scheduler | None = None
        self._election_win: elections.ElectionWin | None = None
        self._configuration = configuration_follower.ConfigurationFollower(
            self._rows,
            configuration_follower.OperatorRows(
                settings_file.CONFIGURATION_KEY,
                settings_file.EVACUATIONS_END,
                documents.decode_configuration,
                documents.decode_evacuation,
            ),
            self._adopt,
            zone_reader.ZoneReader(
                self._rows,
                self._pool,
                settings.zone,
                settings.name,
                settings.peers_address,
                settings.configuration_apply_s,
            )
            if settings.zone
            else None,
        )
        self._election = elections.Election(
            self._rows,
            settings.name,
            settings.peers_address,
            candidacy.Candidacy(settings.cores, settings.link_mbps),
            self._serve_cell,
        )
        self._instances = instance_registry.InstanceList(
            table_reader.TableReader(self._rows), self._pool, settings.name
        )
        self._offers = takeover_offers.TakeoverOffers(
            lambda: self._scheduler, self._instances
        )
        view = job_view.JobView(lambda: self._scheduler)
        self._job_service = job_service.JobService(
            self._rows,
            lambda: self._rows.unreachable_s,
            self._configuration,
            self._election,
            view,
            self._pool,
            settings.withdrawal_s,
            settings.configuration_apply_s,
        )
        api = job_api.JobApi(self._job_service, self._accepts_requests)
        # The times of the shutdown; None until it is requested.
        self._shutdown: shutdown.ShutdownSchedule | None = None
        self._api = api
        registry = connection_registry.ConnectionRegistry(limits)
        self._callers = server.HttpServer(
            api.handle, self._limits, registry, "callers", limits.callers
        )
        self._readiness = server.HttpServer(
            self._handle_readiness,
            server.HttpLimits,
            registry,
            "readiness",
            limits.readiness,
        )
        self._peers = server.HttpServer(
            peers.PeerServer(
                view, self._advice, self._election, self._configuration.relay
            ).handle,
            server.HttpLimits,
            registry,
            "peers",
            limits.peers,
            peers.is_watch,
        )
        self._metrics = server.HttpServer(
            _handle_metrics,
            server.HttpLimits,
            registry,
            "metrics",
            limits.metrics,
        )
        self._tasks: list[asyncio.Task[Any]] = []
        self._stop = asyncio.Event()
        self._loop_monitor = loop_monitor.LoopMonitor(clock.now_s())

    @property
    def scheduler(self) -> schedulers.Scheduler | None:
        """The scheduler; None unless this instance is the leader."""
        return self._scheduler

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the store last confirmed the configuration."""
        return self._configuration.age_s

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT; reloads the settings on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.serve()

    async def serve(self) -> None:
        """Serves until `request_stop` is called, then shuts down."""
        await self._callers.start(self.settings.callers_address)
        await self._readiness.start(self.settings.readiness_address)
        await self._peers.start(self.settings.peers_address)
        await self._serve_metrics()
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                self._loop_monitor.run(),
                self._configuration.run(),
                self._election.run(),
                watcher.Watcher(
                    self._election, self.settings.name, self._pool
                ).run(),
                instance_registry.register(
                    self._rows, self.settings.name, self.settings.peers_address
                ),
            )
        ]
        _log.info(
            "started",
            callers=self.settings.callers_address,
            store=self.settings.store_address,
            zone=self.settings.zone,
        )
        await self._stop.wait()
        assert self._shutdown is not None
        await self._shut_down(self._shutdown)
        self.abort()
        _log.info("stopped")

    async def _serve_metrics(self) -> None:
        try:
            await self._metrics.start(self.settings.metrics_address)
        except OSError as error:
            # The metrics endpoint is optional; callers are served without it.
            _log.error(
                "metrics_unavailable",
                address=self.settings.metrics_address,
                cause=str(error),
            )

    def request_stop(self) -> None:
        """Requests a graceful shutdown."""
        if self._shutdown is not None:
            return
        now = clock.now_s()
        self._shutdown = shutdown.ShutdownSchedule(
            now,
            self.settings.shutdown_s,
            self._loop_monitor.longest_wait_s(now),
        )
        self._stop.set()

    def abort(self) -> None:
        """Cancels all tasks and closes all servers without waiting."""
        for task in self._tasks:
            task.cancel()
        for http_server in (
            self._callers,
            self._readiness,
            self._peers,
            self._metrics,
        ):
            http_server.close()

    def _reload(self) -> None:
        """Validates the settings file again; changes need a restart."""
        try:
            settings_file.load(settings_file.path())
        except (OSError, errors.MarigoldgapError) as error:
            _log.error("settings_unusable", cause=str(error))
        else:
            _log.info("settings_reloaded")

    def _accepts_requests(self) -> bool:
        schedule = self._shutdown
        return schedule is None or schedule.accepts(clock.now_s())

    async def _shut_down(self, schedule: shutdown.ShutdownSchedule) -> None:
        """Hands leadership over, then answers the requests in progress."""
        _log.info(
            "stopping",
            is_elected=self._scheduler is not None,
            requests=self._callers.request_count,
            waited_s=round(schedule.waited_s, 3),
        )
        self._election.withdraw()
        self._callers.drain()
        # Concurrently: a late answer of the store must not delay callers.
        handing_over = asyncio.create_task(self._hand_over_leadership())
        self._tasks.append(handing_over)
        while not schedule.is_complete(
            clock.now_s(), handing_over.done() and self._callers.is_idle
        ):
            await asyncio.sleep(_DRAIN_POLL_S)
        interrupted = self._callers.answer_unfinished(self._api.interrupt)
        await self._callers.flush(schedule.flush_s)
        # Requests that arrived meanwhile.
        interrupted += self._callers.answer_unfinished(self._api.interrupt)
        _log.info(
            "drained",
            took_s=round(clock.now_s() - schedule.started_s, 3),
            is_handed_over=handing_over.done() and handing_over.result(),
            interrupted=interrupted,
        )

    async def _hand_over_leadership(self) -> bool | None:
        """Releases leadership and offers it to the other instances.

        Returns:
            Whether leadership was released; None if this instance was not the
            leader.
        """
        scheduler, won = self._scheduler, self._election_win
        if scheduler is None or won is None:
            return None
        scheduler.stop_planning()
        started_s = clock.now_s()
        try:
            async with asyncio.timeout(_HAND_OVER_STEP_S):
                await scheduler.flushed()
            await self._election.release(won, scheduler.is_obeyed)
            is_taken_over = await self._offer_released(won.epoch)
        except (TimeoutError, errors.MarigoldgapError) as error:
            _log.warning(
                "hand_over_failed",
                epoch=won.epoch,
                took_s=round(clock.now_s() - started_s, 3),
                cause=str(error) or "timeout",
            )
            return False
        except Exception:
            _log.exception("hand_over_failed", epoch=won.epoch)
            return False
        finally:
            scheduler.end_leadership()
        _log.info(
            "handed_over",
            epoch=won.epoch,
            is_taken_over=is_taken_over,
            took_s=round(clock.now_s() - started_s, 3),
        )
        return True

    async def _offer_released(self, epoch: int) -> bool:
        try:
            async with asyncio.timeout(_HAND_OVER_STEP_S):
                return await self._offers.offer(epoch)
        except TimeoutError:
            # Another instance claims leadership when it reads the release.
            return False

    async def _serve_cell(self, won: elections.ElectionWin) -> None:
        reader = table_reader.TableReader(self._rows)
        scheduler = schedulers.Scheduler(
            self._rows,
            won,
            worker_client.WorkerClient(self._pool),
            self._advice_proxies,
            lambda: self._configuration.current,
            lambda: self._configuration.is_outdated(self._rows.unreachable_s),
            self._configuration.evacuations,
            self._offers.offer,
            self.settings.job_retention_s,
            lambda: self._rows.refused_s,
            reader,
        )
        self._scheduler = scheduler
        self._election_win = won
        self._configuration.follows_closely = True
        leadership = scheduler.leadership
        leadership.spawn_essential(
            "jobs", feeds.follow_jobs(self._rows, reader, scheduler)
        )
        leadership.spawn_essential(
            "workers",
            feeds.follow_workers(
                self._rows,
                reader,
                scheduler,
                settings_file.WORKERS_TABLE,
                documents.decode_registration,
                documents.registration_signature,
            ),
        )
        leadership.spawn_contained("instances", "", self._instances.poll)
        leadership.spawn_contained(
            "transfer",
            "",
            lambda: leadership_transfer.run(
                self._election,
                scheduler,
                self._offers.offer_to_preferred,
                self.settings.link_mbps,
            ),
        )
        leadership.spawn_contained(
            "vouching", "", lambda: vouching.run(scheduler, self._instances)
        )
        try:
            await scheduler.run()
        finally:
            self._scheduler = None
            self._election_win = None
            self._configuration.follows_closely = False
            scheduler.close()

    def _advice_proxies(self) -> list[advice_dispatcher.AdviceProxy]:
        proxies: list[advice_dispatcher.AdviceProxy] = []
        if self._advice is not None:
            proxies.append(_LocalAdviceProxy(self.settings.name, self._advice))
        return [*proxies, *self._instances.peers]

    def _adopt(self, configuration: model.Configuration) -> None:
        if self._scheduler is not None:
            self._scheduler.adopt_configuration(configuration)

    def _limits(self) -> server.HttpLimits:
        defaults = server.HttpLimits()
        current = self._configuration.current
        if current is None:
            return defaults
        limits = current.limits
        return server.HttpLimits(
            limits.header_bytes or defaults.header_bytes,
            limits.body_bytes or defaults.body_bytes,
            limits.header_ms / 1000 or defaults.request_s,
            limits.idle_ms / 1000 or defaults.idle_s,
        )

    async def _handle_readiness(
        self, request: messages.Request
    ) -> messages.Response:
        if self._shutdown is not None:
            return messages.Response(503)
        return await self._api.ready(request)


async def _handle_metrics(request: messages.Request) -> messages.Response:
    del request
    return messages.Response(200, measures.text())


class _LocalAdviceProxy:
    """Calls the advice service from this instance itself."""

    def __init__(self, name: str, advice: advice_client.AdviceClient) -> None:
        self.name = name
        self._client = advice

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> ports.Tickets:
        """Asks the advice service which of the workers may run a step."""
        return await self._client.ask(step, workers, timeout_s)
