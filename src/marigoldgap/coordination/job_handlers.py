"""Message handlers for jobs of this zone and, by forwarding, of other zones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
from typing import Any

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap.coordination import coordinator as coordinator_module
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_rows
from marigoldgap.coordination import jobs_gateway
from marigoldgap.coordination import zone_digests
from marigoldgap.entries import job_messages
from marigoldgap.entries import registry
from marigoldgap.settings import model as settings_model

_FORWARD_TIMEOUT_MS = 8_000


class JobHandlers:
    """Handles job messages on the coordinator.

    Messages about jobs of another zone are forwarded to the coordinator of
    that zone, since only coordinators have links to other zones.

    Args:
        settings: Settings of this instance.
        peers: Links to the other coordinators.
        digests: Provides the coordinators of the other zones.
        active: Returns the coordinator role or raises StaleTermError.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.Peers,
        digests: zone_digests.ZoneDigests,
        active: Callable[[], coordinator_module.Coordinator],
    ) -> None:
        self._zone = settings.zone
        self._peers = peers
        self._digests = digests
        self._active = active
        peers.register(self)

    @registry.handles(job_messages.JobAccepted)
    def on_accepted(
        self, sender: str, message: job_messages.JobAccepted
    ) -> None:
        """Reads the rows of new jobs."""
        del sender
        role = self._active()
        if role.barrier_passed:
            role.jobs.read_accepted(message.job_ids)

    @registry.handles(job_messages.JobCheck)
    def on_check(self, sender: str, message: job_messages.JobCheck) -> None:
        """Rejects a job that the zone can never run."""
        del sender
        spec = job_rows.parse_spec(json.loads(message.spec))
        self._active().jobs.check_possible(spec)

    @registry.handles(job_messages.JobQuery)
    async def on_query(
        self, sender: str, message: job_messages.JobQuery
    ) -> Any:
        """Returns the status of an open job."""
        role = self._active()
        zone = identifiers.zone_of_job(message.job_id)
        if zone != self._zone and self._is_in_zone(sender):
            return await self._forward(zone, message)
        status = role.jobs.status(message.job_id)
        if status is None:
            raise errors.NotFoundError(f"job {message.job_id} is not open")
        return job_messages.JobReply(json.dumps(status._asdict()))

    @registry.handles(job_messages.JobsCancelled)
    async def on_cancelled(
        self, sender: str, message: job_messages.JobsCancelled
    ) -> job_messages.CancelResult:
        """Cancels jobs of this zone and, by forwarding, of other zones."""
        role = self._active()
        zones = jobs_gateway.by_zone(message.job_ids)
        own = message._replace(job_ids=tuple(zones.pop(self._zone, ())))
        work: list[Coroutine[Any, Any, Any]] = [self._cancel_here(role, own)]
        if self._is_in_zone(sender):
            if message.group:
                for zone in self._digests.coordinators:
                    zones.setdefault(zone, [])
            for zone, job_ids in zones.items():
                part = message._replace(job_ids=tuple(job_ids))
                work.append(self._forward(zone, part))
        results = await asyncio.gather(*work, return_exceptions=True)
        cancelled: list[str] = []
        for result in results:
            if isinstance(result, BaseException):
                raise result
            cancelled.extend(result.job_ids)
        return job_messages.CancelResult(tuple(cancelled))

    async def _cancel_here(
        self,
        role: coordinator_module.Coordinator,
        message: job_messages.JobsCancelled,
    ) -> job_messages.CancelResult:
        """Cancels jobs of this zone."""
        return job_messages.CancelResult(await role.jobs.cancel(message))

    def _is_in_zone(self, sender: str) -> bool:
        """Whether a message comes from this zone and may be forwarded."""
        return sender in self._peers.membership.members

    async def _forward(self, zone: str, message: Any) -> Any:
        """Forwards a message to the coordinator of another zone."""
        coordinator = self._digests.coordinators.get(zone)
        if coordinator is None:
            raise errors.PeerNotLinkedError(f"zone {zone} cannot be reached")
        return await self._peers.call(coordinator, message, _FORWARD_TIMEOUT_MS)
