"""Health checks: `/healthz` and `/readyz`."""

from __future__ import annotations

from starlette import requests
from starlette import responses

from marigoldgap import errors
from marigoldgap.callers import interfaces


class HealthApi:
    """Answers the liveness and readiness checks of load balancers.

    Args:
        readiness: Tells whether this instance can accept work.
    """

    def __init__(self, readiness: interfaces.Readiness) -> None:
        self._readiness = readiness

    async def health(self, request: requests.Request) -> responses.Response:
        """Responds with 200 as long as the event loop runs."""
        del request
        return responses.PlainTextResponse("ok")

    async def ready(self, request: requests.Request) -> responses.Response:
        """Responds with 200, or with 503 while not ready to accept work.

        Raises:
            NotReadyError: The instance accepts no work; names the reason.
        """
        del request
        reason = self._readiness.not_ready_reason()
        if reason:
            raise errors.NotReadyError(reason)
        return responses.PlainTextResponse("ready")
