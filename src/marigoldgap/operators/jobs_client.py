"""Client of the callers' jobs API for the commands."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NotRequired
from typing import TypedDict

from marigoldgap import http_client
from marigoldgap.operators import api_client


class JobRequest(TypedDict):
    """Body of a job submission; times are in milliseconds."""

    queue: str
    tasks: int
    gang: bool
    resources: dict[str, int]
    urgent: bool
    idempotent: bool
    group: str
    payload: str
    expected_run_ms: NotRequired[int]
    deadline_ms: NotRequired[int]


class JobsClient:
    """Submits, shows and cancels jobs.

    Args:
        api: Sends the requests with the key of a team.
    """

    def __init__(self, api: api_client.ApiClient) -> None:
        self._api = api

    async def submit(self, job: JobRequest) -> dict[str, Any]:
        """Submits a job; the call is not retried after a lost response."""
        status: dict[str, Any] = await self._api.call(
            "POST", "/v1/jobs", job, repeatable=False
        )
        return status

    async def status(self, job_id: str) -> dict[str, Any]:
        """Returns the status of a job."""
        status: dict[str, Any] = await self._api.call(
            "GET", f"/v1/jobs/{http_client.quote(job_id)}"
        )
        return status

    async def cancel(self, job_ids: Sequence[str], group: str) -> list[str]:
        """Cancels jobs by group if given, else by ids.

        Returns:
            Ids of the cancelled jobs.
        """
        body = {"group": group} if group else {"ids": list(job_ids)}
        answer = await self._api.call("POST", "/v1/jobs/cancel", body)
        return [str(job_id) for job_id in answer["cancelled"]]

    async def close(self) -> None:
        """Closes all connections."""
        await self._api.close()
