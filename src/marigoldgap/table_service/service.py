"""Calls to one service of the platform, guarded by a circuit breaker."""

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
# Codes with which the service says that it did not take a write.
_REFUSALS = frozenset({"unavailable", "throttled"})


class PlatformService:
    """One HTTP service.

    Args:
        settings: Settings of this instance.
        name: Name in messages, e.g. `table service`.
        address: `ip:port`.
        probe_path: Path whose read tells whether the service is up.
        client: Connections to use.
        source: Source of the delays between probes.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        name: str,
        address: str,
        probe_path: str,
        client: http_client.HttpClient,
        source: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._timeout_s = (
            settings.platform.request_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        self._probe_path = probe_path
        self._client = client
        self._breaker = breaker.CircuitBreaker(name, self._probe, source)

    @property
    def name(self) -> str:
        """Name in messages."""
        return self._name

    @property
    def is_down(self) -> bool:
        """Whether calls are refused because of an outage."""
        return self._breaker.is_open

    def check(self) -> None:
        """Refuses a call during an outage and starts a probe when one is due.

        Raises:
            errors.StoreUnavailableError: The service is known to be down.
        """
        self._breaker.check()

    async def read(
        self,
        path: str,
        headers: Mapping[str, str] | None = None,
        during_outage: bool = False,
    ) -> http_client.HttpAnswer:
        """Sends a GET.

        Args:
            path: Quoted path with the query.
            headers: Further headers.
            during_outage: Whether to try even while the breaker is open.

        Raises:
            errors.StoreUnavailableError: There was no usable answer.
        """
        if not during_outage:
            self.check()
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
        """Sends a write exactly once.

        Raises:
            errors.StoreUnavailableError: The write did not take effect.
            errors.StoreOutcomeUnknownError: It may have taken effect.
        """
        if not during_outage:
            self.check()
        headers = {"content-type": content_type}
        try:
            answer = await self._call(method, path, body, headers)
        except errors.OutcomeUnknownError as error:
            raise errors.StoreOutcomeUnknownError(str(error)) from error
        if _is_refusal(answer):
            raise errors.StoreUnavailableError(
                f"the {self._name} refused the write"
            )
        if _is_failure(answer.status):
            raise errors.StoreOutcomeUnknownError(
                f"the {self._name} answered {answer.status} to a write"
            )
        return answer

    async def close(self) -> None:
        """Ends a running probe."""
        await self._breaker.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
    ) -> http_client.HttpAnswer:
        """Sends a request and tells the breaker about the result."""
        try:
            answer = await self._client.exchange(
                method, self._address, path, headers, body, self._timeout_s
            )
        except errors.ConnectFailedError as error:
            self._breaker.failed(_is_timeout(error))
            raise errors.StoreUnavailableError(str(error)) from error
        except errors.OutcomeUnknownError as error:
            self._breaker.failed(_is_timeout(error))
            raise
        if _is_failure(answer.status):
            self._breaker.failed()
        else:
            self._breaker.succeeded()
        return answer

    async def _probe(self) -> None:
        await self.read(self._probe_path, during_outage=True)


def _is_timeout(error: errors.MarigoldgapError) -> bool:
    """Tells whether a call failed because there was no answer in time."""
    return isinstance(error.__cause__, TimeoutError | exceptions.BaseTimeout)


def _is_refusal(answer: http_client.HttpAnswer) -> bool:
    """Tells whether the service itself refused a write.

    A status of 503 alone may come from a proxy that has passed the write on.
    """
    if answer.status == _TOO_MANY_REQUESTS:
        return True
    if answer.status != _UNAVAILABLE:
        return False
    try:
        problem = json.loads(answer.body)
    except (ValueError, RecursionError):
        return False
    return isinstance(problem, dict) and problem.get("code") in _REFUSALS


def _is_failure(status: int) -> bool:
    """Tells whether a status means that the service cannot serve now."""
    return status >= _FIRST_SERVER_ERROR or status == _TOO_MANY_REQUESTS


def decode(answer: http_client.HttpAnswer) -> Any:
    """Returns the JSON value of an answer.

    Raises:
        errors.ProtocolError: The body is not JSON.
    """
    try:
        return json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"not JSON: {error}") from error
