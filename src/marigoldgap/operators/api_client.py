"""HTTP client of the commands, with failover between instances."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any

from marigoldgap import errors
from marigoldgap import http_client

_MAX_CONNECTIONS = 16
_TIMEOUT_S = 15.0
_FIRST_ERROR_STATUS = 400
# Error codes that concern one instance only: nothing was done, and another
# instance may accept the request.
_FAILOVER_CODES = frozenset({"stopping", "not-ready"})


class ApiClient:
    """Sends JSON requests to the first instance that responds.

    Args:
        addresses: Instances in the order in which they are tried.
        key: Bearer key to send; empty for none.
        timeout_s: Timeout of the call to one instance, in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._headers = {"content-type": "application/json"}
        if key:
            self._headers["authorization"] = f"Bearer {key}"
        self._client = http_client.HttpClient(_MAX_CONNECTIONS)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Instances in the order in which they are tried."""
        return self._addresses

    async def call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        repeatable: bool = True,
    ) -> Any:
        """Sends a request and returns the JSON value of the response.

        Args:
            method: HTTP method.
            path: Quoted path with the query.
            body: JSON object to send, or None for an empty body.
            repeatable: Whether the request is idempotent; otherwise it is
                not sent to another instance after a lost response.

        Raises:
            errors.ConnectFailedError: No instance can be reached.
            errors.OutcomeUnknownError: The response was lost.
            errors.MarigoldgapError: The instance reported this error.
        """
        last_error: errors.MarigoldgapError = errors.ConnectFailedError(
            "no instance address is given"
        )
        for address in self._addresses:
            try:
                return await self.call_at(address, method, path, body)
            except errors.ConnectFailedError as error:
                last_error = error
            except errors.OutcomeUnknownError as error:
                if not repeatable:
                    raise
                last_error = error
            except errors.OverloadedError as error:
                if error.code not in _FAILOVER_CODES:
                    raise
                last_error = error
        raise last_error

    async def call_at(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> Any:
        """Sends a request to one instance; see `call`.

        Raises:
            errors.ProtocolError: The response is not JSON.
        """
        content = b"" if body is None else json.dumps(body).encode()
        answer = await self._client.exchange(
            method, address, path, self._headers, content, self._timeout_s
        )
        if answer.status >= _FIRST_ERROR_STATUS:
            raise _reported_error(answer)
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise errors.ProtocolError(
                f"{address} sent a response body that is not JSON"
            ) from error

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def _reported_error(
    answer: http_client.HttpAnswer,
) -> errors.MarigoldgapError:
    """Returns the error that an instance reported as problem details."""
    try:
        problem = json.loads(answer.body)
        code, detail = str(problem["code"]), str(problem["detail"])
    except (ValueError, KeyError, TypeError):
        return errors.ProtocolError(
            f"HTTP status {answer.status} without valid problem details"
        )
    error_type = _error_type_of(code)
    if error_type is None:
        return errors.MarigoldgapError(f"{code}: {detail}")
    # Some error types have other parameters in `__init__`, which is skipped;
    # only the message is known here.
    return error_type.__new__(error_type, detail)


def _error_type_of(code: str) -> type[errors.MarigoldgapError] | None:
    """Returns the most general error type with a code, or None."""
    level = [errors.MarigoldgapError]
    while level:
        for error_type in level:
            if error_type.code == code:
                return error_type
        level = [
            subtype
            for error_type in level
            for subtype in error_type.__subclasses__()
        ]
    return None
