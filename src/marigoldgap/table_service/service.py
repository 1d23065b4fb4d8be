"""HTTP client of one platform service behind a circuit breaker."""

from __future__ import annotations

from collections.abc import Mapping
import json
import random
from typing import Any

from aiosonic import exceptions

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import breaker

_FIRST_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
# Error codes with which the service reports that it rejected a write.
_REJECTION_CODES = frozenset({"unavailable", "throttled"})


class PlatformService:
    """One HTTP service of the platform.

    Args:
        settings: Settings of this instance.
        name: Name in errors and logs, e.g. `table service`.
        address: `ip:port`.
        probe_path: Path that is read to check whether the service is up.
        client: HTTP client with the connection pool.
        random_source: Random generator for the backoff between probes.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        name: str,
        address: str,
        probe_path: str,
        client: http_client.HttpClient,
        random_source: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._timeout_s = (
            settings.platform.request_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        self._probe_path = probe_path
        self._client = client
        self._breaker = breaker.CircuitBreaker(name, self._probe, random_source)

    @property
    def name(self) -> str:
        """Name in errors and logs."""
        return self._name

    @property
    def is_down(self) -> bool:
        """Whether calls are rejected because of an outage."""
        return self._breaker.is_open

    def raise_if_down(self) -> None:
        """Rejects a call during an outage and starts a probe when one is due.

        Raises:
            errors.StoreUnavailableError: The service is known to be down.
        """
        self._breaker.raise_if_open()

    async def read(
        self,
        path: str,
        headers: Mapping[str, str] | None = None,
        during_outage: bool = False,
    ) -> http_client.HttpAnswer:
        """Sends a GET.

        Args:
            path: URL-encoded path with the query.
            headers: Additional headers.
            during_outage: Whether to call even while the breaker is open.

        Raises:
            errors.StoreUnavailableError: There was no answer, or one with a
                failure status.
        """
        if not during_outage:
            self.raise_if_down()
        try:
            answer = await self._call("GET", path, b"", headers)
        except errors.OutcomeUnknownError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        if _is_failure(answer.status):
            raise errors.StoreUnavailableError(
                f"the {self._name} answered {answer.status}"
            )
        return answer

    async def write(
        self,
        method: str,
        path: str,
        body: bytes,
        during_outage: bool = False,
        content_type: str = "application/json",
    ) -> http_client.HttpAnswer:
        """Sends a write exactly once, without retries.

        Args:
            method: HTTP method.
            path: URL-encoded path.
            body: Body of the request.
            during_outage: Whether to call even while the breaker is open.
            content_type: Media type of the body.

        Raises:
            errors.StoreUnavailableError: The write did not take effect.
            errors.StoreOutcomeUnknownError: It may have taken effect.
        """
        if not during_outage:
            self.raise_if_down()
        headers = {"content-type": content_type}
        try:
            answer = await self._call(method, path, body, headers)
        except errors.OutcomeUnknownError as error:
            raise errors.StoreOutcomeUnknownError(str(error)) from error
        if _is_rejection(answer):
            raise errors.StoreUnavailableError(
                f"the {self._name} refused the write"
            )
        if _is_failure(answer.status):
            raise errors.StoreOutcomeUnknownError(
                f"the {self._name} answered {answer.status} to a write"
            )
        return answer

    async def close(self) -> None:
        """Cancels a running probe."""
        await self._breaker.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
    ) -> http_client.HttpAnswer:
        """Sends a request and records its result in the breaker."""
        try:
            answer = await self._client.exchange(
                method, self._address, path, headers, body, self._timeout_s
            )
        except errors.ConnectFailedError as error:
            self._breaker.record_failure(_is_timeout(error))
            raise errors.StoreUnavailableError(str(error)) from error
        except errors.OutcomeUnknownError as error:
            self._breaker.record_failure(_is_timeout(error))
            raise
        if _is_failure(answer.status):
            self._breaker.record_failure()
        else:
            self._breaker.record_success()
        return answer

    async def _probe(self) -> None:
        await self.read(self._probe_path, during_outage=True)


def _is_timeout(error: errors.MarigoldgapError) -> bool:
    """Returns whether a call failed because of a timeout."""
    return isinstance(error.__cause__, TimeoutError | exceptions.BaseTimeout)


def _is_rejection(answer: http_client.HttpAnswer) -> bool:
    """Returns whether the service itself rejected a write.

    A status of 503 without an error code may come from a proxy that has
    already forwarded the write.
    """
    if answer.status == _TOO_MANY_REQUESTS:
        return True
    if answer.status != _UNAVAILABLE:
        return False
    try:
        problem = json.loads(answer.body)
    except (ValueError, RecursionError):
        return False
    return isinstance(problem, dict) and problem.get("code") in _REJECTION_CODES


def _is_failure(status: int) -> bool:
    """Returns whether a status means that the service is unavailable."""
    return status >= _FIRST_SERVER_ERROR or status == _TOO_MANY_REQUESTS


def decode(answer: http_client.HttpAnswer) -> Any:
    """Returns the decoded JSON body of an answer.

    Raises:
        errors.ProtocolError: The body is not JSON.
    """
    try:
        return json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"not JSON: {error}") from error
