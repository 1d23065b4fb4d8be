"""`/healthz` and `/readyz`."""

from __future__ import annotations

from starlette import requests
from starlette import responses

from marigoldgap import errors
from marigoldgap.callers import interfaces


class HealthApi:
    """Tells the load balancer about this instance.

    Args:
        readiness: Tells whether this instance can take work.
    """

    def __init__(self, readiness: interfaces.Readiness) -> None:
        self._readiness = readiness

    async def health(self, request: requests.Request) -> responses.Response:
        """Answers while the event loop runs."""
        del request
        return responses.PlainTextResponse("ok")

    async def ready(self, request: requests.Request) -> responses.Response:
        """Answers with 503 while no work should be sent here."""
        del request
        reason = self._readiness.not_ready_reason()
        if reason:
            raise errors.NotReadyError(reason)
        return responses.PlainTextResponse("ready")
