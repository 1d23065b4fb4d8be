"""HTTP endpoints for durable jobs: `/v1/jobs`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from starlette import requests
from starlette import responses

from marigoldgap import errors
from marigoldgap.callers import bodies
from marigoldgap.callers import interfaces
from marigoldgap.callers import job_body
from marigoldgap.coordination import model as coordination_model
from marigoldgap.settings import model as settings_model

_CREATED = 201


class JobApi:
    """Submits, shows and cancels jobs.

    Args:
        settings: Settings of this instance.
        verifier: Checks the keys of callers.
        rules: The rules in force.
        jobs: Stores and runs jobs.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        verifier: interfaces.KeyVerifier,
        rules: interfaces.RulesSource,
        jobs: interfaces.JobsGateway,
    ) -> None:
        self._settings = settings
        self._verifier = verifier
        self._rules = rules
        self._jobs = jobs

    async def submit(self, request: requests.Request) -> responses.Response:
        """Submits a job; responds once the job is stored durably."""
        body = job_body.parse_job(await self._read(request))
        queue = self._rules.rules.queues.get(body.queue)
        if queue is None:
            raise errors.NotFoundError(f"there is no queue {body.queue}")
        team = self._verifier.verify(_authorization(request), queue.name)
        status = await self._jobs.submit(body.to_job_spec(queue, team))
        location = {"Location": f"/v1/jobs/{status.job_id}"}
        return responses.JSONResponse(_to_json(status), _CREATED, location)

    async def show(self, request: requests.Request) -> responses.Response:
        """Returns the status of a job to its own team."""
        status = await self._accessible_job(request)
        return responses.JSONResponse(_to_json(status))

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancels one job that the caller may access."""
        status = await self._accessible_job(request)
        cancelled = await self._jobs.cancel(status.team, (status.job_id,))
        return responses.JSONResponse({"cancelled": list(cancelled)})

    async def cancel_many(
        self, request: requests.Request
    ) -> responses.Response:
        """Cancels jobs by their ids or by their group, in one call."""
        team = self._verifier.identify(_authorization(request))
        body = job_body.parse_cancel(await self._read(request))
        cancelled = await self._jobs.cancel(team, tuple(body.ids), body.group)
        return responses.JSONResponse({"cancelled": list(cancelled)})

    async def _accessible_job(
        self, request: requests.Request
    ) -> coordination_model.JobStatus:
        """Returns the status of a job that the caller may access.

        Jobs of open queues need no key; their random id serves as secret.

        Raises:
            AuthenticationError: The key is missing, unknown or withdrawn.
            NotFoundError: The job does not exist or is another team's.
        """
        job_id = request.path_params["job_id"]
        authorization = _authorization(request)
        teams = self._teams_of_open_queues()
        if authorization is not None or not teams:
            teams = frozenset({self._verifier.identify(authorization)})
        status = await self._jobs.status(job_id)
        if status.team not in teams:
            raise errors.NotFoundError(f"there is no job {job_id}")
        return status

    def _teams_of_open_queues(self) -> frozenset[str]:
        """Returns the teams that own an open queue."""
        queues = self._rules.rules.queues.values()
        return frozenset(queue.team for queue in queues if not queue.keyed)

    async def _read(self, request: requests.Request) -> bytes:
        return await bodies.read(
            request, self._settings.queue.largest_body_bytes
        )


def _authorization(request: requests.Request) -> str | None:
    return request.headers.get("authorization")


def _to_json(status: coordination_model.JobStatus) -> Mapping[str, Any]:
    return status._asdict()
