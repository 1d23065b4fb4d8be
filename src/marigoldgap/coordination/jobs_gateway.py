"""Submits, queries and cancels jobs on behalf of callers."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import json

from marigoldgap import errors
from marigoldgap import identifiers
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_rows
from marigoldgap.coordination import model as jobs_model
from marigoldgap.coordination import payloads
from marigoldgap.entries import job_messages
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import model as table_service_model

# Errors after which the table service is read instead of the coordinator.
_COORDINATOR_UNAVAILABLE = (
    errors.PeerUnavailableError,
    errors.StaleTermError,
    errors.NotReadyError,
    errors.NotFoundError,
)
_CANCEL_TIMEOUT_MS = 10_000


class JobsGateway:
    """Job API of an instance; forwards requests to the zone's coordinator.

    Args:
        settings: Settings of this instance.
        peers: Links to other instances.
        table: Reads job rows.
        committer: Writes the row of a new job.
        objects: Stores large payloads.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.Peers,
        table: interfaces.TableClient,
        committer: interfaces.GroupCommitter,
        objects: interfaces.ObjectClient,
    ) -> None:
        self._zone = settings.zone
        self._peers = peers
        self._table = table
        self._committer = committer
        self._objects = objects

    async def submit(self, spec: jobs_model.JobSpec) -> jobs_model.JobStatus:
        """Accepts a job; it is durable when the call returns.

        Raises:
            errors.ImpossibleJobError: The zone can never run the job.
            errors.StoreUnavailableError: The job was not accepted.
            errors.StoreOutcomeUnknownError: The job may have been accepted.
        """
        await self._check(spec)
        job_id = identifiers.new_job_id(self._zone)
        reference = await self._put_payload(job_id, spec)
        key = job_rows.open_key(self._zone, job_id)
        value = job_rows.open_value(spec, reference)
        absent = table_service_model.Check(
            key, table_service_model.ABSENT_VERSION
        )
        await self._committer.commit(
            table_service_model.Transaction(
                checks=(absent,), puts=(table_service_model.Put(key, value),)
            )
        )
        self._peers.send(
            self._coordinator(), job_messages.JobAccepted((job_id,))
        )
        return _waiting_status(job_id, spec)

    async def status(self, job_id: str) -> jobs_model.JobStatus:
        """Returns the status of a job of any zone.

        Raises:
            errors.NotFoundError: The job does not exist.
            errors.StoreUnavailableError: Neither the coordinator nor the
                table service answered.
        """
        query = job_messages.JobQuery(job_id)
        try:
            reply = await self._peers.call(self._coordinator(), query)
        except _COORDINATOR_UNAVAILABLE:
            return await self._stored_status(job_id)
        return jobs_model.JobStatus(**json.loads(reply.status))

    async def cancel(
        self, team: str, job_ids: Sequence[str] = (), group: str = ""
    ) -> tuple[str, ...]:
        """Cancels jobs of a team; the cancellation is durable on return.

        Args:
            team: Owner of the jobs; jobs of other teams are ignored.
            job_ids: Ids of jobs in any zones.
            group: Also cancels all jobs of this group in all zones.

        Returns:
            Ids of the cancelled jobs. The others are unknown, belong to
            another team or have ended.

        Raises:
            errors.MarigoldgapError: Some jobs may not be cancelled; the call
                can be repeated.
        """
        message = job_messages.JobsCancelled(tuple(job_ids), group, team)
        result: job_messages.CancelResult = await self._peers.call(
            self._coordinator(), message, _CANCEL_TIMEOUT_MS
        )
        return result.job_ids

    def _coordinator(self) -> str:
        """Returns the id of this zone's coordinator."""
        return self._peers.membership.term.instance_id

    async def _check(self, spec: jobs_model.JobSpec) -> None:
        """Rejects an impossible job if the coordinator can be reached."""
        content = job_rows.open_value(spec._replace(payload=b""))["spec"]
        check = job_messages.JobCheck(json.dumps(content))
        try:
            await self._peers.call(self._coordinator(), check)
        except _COORDINATOR_UNAVAILABLE:
            return

    async def _put_payload(self, job_id: str, spec: jobs_model.JobSpec) -> str:
        """Stores a large payload; returns its key, or empty if it is inline."""
        if len(spec.payload) <= payloads.INLINE_LIMIT_BYTES:
            return ""
        key = f"payloads/{job_id}"
        await self._objects.put(key, spec.payload)
        return key

    async def _stored_status(self, job_id: str) -> jobs_model.JobStatus:
        """Returns the status of a job from its rows in the table service."""
        zone = identifiers.zone_of_job(job_id)
        done = await self._table.get(job_rows.done_key(zone, job_id))
        if done is not None:
            return job_rows.parse_status(done.value)
        row = await self._table.get(job_rows.open_key(zone, job_id))
        if row is None:
            raise errors.NotFoundError(f"there is no job {job_id}")
        return _waiting_status(job_id, job_rows.parse_job(row).spec)


def by_zone(job_ids: Iterable[str]) -> dict[str, list[str]]:
    """Groups job ids by their home zone."""
    zones: dict[str, list[str]] = {}
    for job_id in job_ids:
        zones.setdefault(identifiers.zone_of_job(job_id), []).append(job_id)
    return zones


def _waiting_status(
    job_id: str, spec: jobs_model.JobSpec
) -> jobs_model.JobStatus:
    """Returns the status of a job of which only the row was read."""
    return jobs_model.JobStatus(
        job_id=job_id,
        team=spec.team,
        state=jobs_model.WAITING,
        tasks=spec.tasks,
        waiting=spec.tasks,
    )
