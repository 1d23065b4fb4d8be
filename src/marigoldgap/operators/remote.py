"""HTTP calls of the commands to entry instances."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any

from marigoldgap import errors
from marigoldgap import http_client

_CONNECTIONS = 16
_TIMEOUT_S = 15.0
_FIRST_ERROR = 400
# Refusals by one instance that another one may not share; nothing was done.
_TRY_ANOTHER = frozenset({"stopping", "not-ready"})


class RemoteCaller:
    """Sends JSON requests to the first instance that answers.

    Args:
        addresses: Instances in the order in which they are tried.
        key: Sent as bearer key; empty sends none.
        timeout_s: Bound of one call.
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
        self._client = http_client.HttpClient(_CONNECTIONS)

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
        """Sends a request and returns the JSON value of the answer.

        Args:
            method: HTTP method.
            path: Quoted path with the query.
            body: Sent as JSON.
            repeatable: Whether doing it twice does no harm; otherwise a lost
                answer is not followed by a try at another instance.

        Raises:
            errors.ConnectFailedError: No instance can be reached.
            errors.OutcomeUnknownError: The answer was lost.
            errors.MarigoldgapError: The instance reported this error.
        """
        last: errors.MarigoldgapError = errors.ConnectFailedError(
            "no instance is given"
        )
        for address in self._addresses:
            try:
                return await self.call_at(address, method, path, body)
            except errors.ConnectFailedError as error:
                last = error
            except errors.OutcomeUnknownError as error:
                if not repeatable:
                    raise
                last = error
            except errors.OverloadedError as error:
                if error.code not in _TRY_ANOTHER:
                    raise
                last = error
        raise last

    async def call_at(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> Any:
        """Sends a request to one instance; see `call`."""
        content = b"" if body is None else json.dumps(body).encode()
        answer = await self._client.exchange(
            method, address, path, self._headers, content, self._timeout_s
        )
        if answer.status >= _FIRST_ERROR:
            raise _reported_error(answer)
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise errors.ProtocolError(
                f"{address} sent an answer that is not JSON"
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
        return errors.ProtocolError(f"unexpected answer {answer.status}")
    error_type = _type_of(code)
    if error_type is None:
        return errors.MarigoldgapError(f"{code}: {detail}")
    # Some types have other parameters; the message is all that is known here.
    return error_type.__new__(error_type, detail)


def _type_of(code: str) -> type[errors.MarigoldgapError] | None:
    """Returns the most general error type with a code."""
    level = [errors.MarigoldgapError]
    while level:
        for error_type in level:
            if error_type.code == code:
                return error_type
        level = [each for one in level for each in one.__subclasses__()]
    return None
