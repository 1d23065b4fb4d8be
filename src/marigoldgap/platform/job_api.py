"""HTTP API through which callers submit, query and cancel jobs."""

from __future__ import annotations

from collections.abc import Callable
import math
import re

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import deadlines
from marigoldgap.cell import job_service
from marigoldgap.cell import model
from marigoldgap.cell import store
from marigoldgap.platform import documents
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("callers")

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_AUTHORIZATION_SCHEME = "token "
_STATE_NAMES = {
    model.JobState.QUEUED: "queued",
    model.JobState.RUNNING: "running",
    model.JobState.COMPLETED: "completed",
    model.JobState.FAILED: "failed",
    model.JobState.CANCELLED: "cancelled",
}


class JobApi:
    """Translates HTTP requests of callers into operations on jobs.

    Args:
        service: Performs the operations.
        accepts_requests: Returns whether there is time left to answer a new
            request before the process ends.
    """

    def __init__(
        self,
        service: job_service.JobService,
        accepts_requests: Callable[[], bool],
    ) -> None:
        self._job_service = service
        self._accepts_requests = accepts_requests

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request and counts it by method and status."""
        response = await self._answer(request)
        measures.REQUESTS.labels(request.method, response.status).inc()
        return response

    def interrupt(
        self, request: messages.Request, has_begun: bool
    ) -> messages.Response:
        """Answers a request that was cancelled by the shutdown.

        Args:
            request: The request.
            has_begun: Whether its handling had begun.
        """
        kind: type[errors.MarigoldgapError]
        kind = job_service.RequestInterruptedError
        if not has_begun:
            kind = job_service.ShuttingDownError
        elif request.method == "POST":
            # The write in flight may still store the job.
            kind = job_service.OutcomeUnknownError
        error = kind("the instance shut down before it had the answer")
        response = _refuse(request, error)
        measures.REQUESTS.labels(request.method, response.status).inc()
        return response

    async def _answer(self, request: messages.Request) -> messages.Response:
        started_s = clock.now_s()
        try:
            if not self._accepts_requests():
                raise job_service.ShuttingDownError(
                    "the instance is shutting down; use another one"
                )
            return await self._route(request)
        except errors.MarigoldgapError as error:
            took_s = round(clock.now_s() - started_s, 3)
            return _refuse(
                request,
                error,
                took_s=took_s,
                configuration=self._job_service.configuration_version,
                configuration_age_s=self._job_service.configuration_age_s,
            )

    async def ready(self, request: messages.Request) -> messages.Response:
        """Answers the readiness probe: 200 if this instance takes requests."""
        del request
        return messages.Response(200 if self._job_service.is_ready else 503)

    async def _route(self, request: messages.Request) -> messages.Response:
        path = request.path.partition("?")[0]
        queue = self._job_service.find_queue(
            request.headers.get("host", ""), path
        )
        workspace = self._job_service.check_key(queue, _api_key(request))
        job_id = path.removeprefix(queue.prefix)
        if not job_id and request.method == "GET":
            count = await self._job_service.waiting(queue)
            return messages.json_response(200, {"waiting": count})
        if not _JOB_ID.fullmatch(job_id):
            raise errors.NotFoundError(
                f"{job_id!r} is not a job identifier of 16 hexadecimal digits"
            )
        if request.method == "POST":
            return await self._submit(request, queue, workspace, job_id)
        if request.method == "GET":
            state = await self._job_service.state(job_id)
            return messages.json_response(200, {"state": _STATE_NAMES[state]})
        if request.method == "DELETE":
            await self._job_service.cancel(job_id, _deadline_s(request))
            return messages.Response(200)
        return messages.json_response(405, {"error": "method-not-allowed"})

    async def _submit(
        self,
        request: messages.Request,
        queue: model.Queue,
        workspace: str,
        job_id: str,
    ) -> messages.Response:
        record = model.JobRecord(
            job_id,
            queue,
            workspace,
            clock.wall_ms(),
            documents.decode_job(request.body),
        )
        await self._job_service.submit(record, _deadline_s(request))
        return messages.Response(200)


def _api_key(request: messages.Request) -> str | None:
    value = request.headers.get("authorization", "")
    if value[: len(_AUTHORIZATION_SCHEME)].lower() != _AUTHORIZATION_SCHEME:
        return None
    return value[len(_AUTHORIZATION_SCHEME) :].strip()


def _deadline_s(request: messages.Request) -> float:
    text = request.headers.get("x-deadline-ms", "")
    if not text:
        return deadlines.DEFAULT_S
    try:
        milliseconds = float(text)
    except ValueError as error:
        raise errors.InvalidRequestError(
            f"X-Deadline-Ms is not a non-negative, finite number: {text!r}"
        ) from error
    if not 0 <= milliseconds < math.inf:
        raise errors.InvalidRequestError(
            f"X-Deadline-Ms is not a non-negative, finite number: {text!r}"
        )
    return milliseconds / 1000


def _refuse(
    request: messages.Request,
    error: errors.MarigoldgapError,
    **fields: float | None,
) -> messages.Response:
    response = _error_response(error)
    _log.warning(
        "request_refused",
        method=request.method,
        path=request.path,
        status=response.status,
        code=error.code,
        cause=error.detail,
        **fields,
    )
    return response


def _error_response(error: errors.MarigoldgapError) -> messages.Response:
    status = error.status
    if isinstance(error, store.StoreError | messages.ExchangeError):
        # Only queries and cancellations raise these errors; both can be
        # retried safely.
        status = 503
    body = {"error": error.code}
    if status not in (429, 503):
        return messages.json_response(status, body)
    retry_after_s = job_service.retry_after_s(error)
    return messages.json_response(
        status,
        {**body, "retryAfterMs": int(retry_after_s * 1000)},
        (("Retry-After", str(round(retry_after_s))),),
    )
