"""HTTP client of the load tool, with one request per connection."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

import aiosonic
from aiosonic import connection as aiosonic_connection
from aiosonic import connectors
from aiosonic import pools
from aiosonic import timeout as aiosonic_timeout

from marigoldgap import errors

_CONNECTIONS = 20_000
_CONNECT_TIMEOUT_S = 5.0
_SUCCESSES = range(200, 300)


class SingleUseConnection(aiosonic_connection.Connection):
    """Connection that carries one request.

    On a reused connection, a request that is sent while the server closes it
    looks like one that the server interrupted, and the library sends some
    requests a second time.
    """

    def keep_alive(self) -> None:
        """Does nothing, so that the connection stays marked for closing."""


class Reply(NamedTuple):
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def check(self) -> None:
        """Checks that the status is a success.

        Raises:
            NoReplyError: The status is not from 200 to 299.
        """
        if self.status not in _SUCCESSES:
            raise NoReplyError(
                f"unexpected status {self.status}: {self.body!r}"
            )


class NoReplyError(errors.MarigoldgapError):
    """There was no usable response; the request may have been received."""

    code = "no-reply"


class Client:
    """HTTP client that many tasks of one event loop may share."""

    def __init__(self) -> None:
        timeouts = aiosonic_timeout.Timeouts(
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=None,
            request_timeout=None,
        )
        pool = pools.PoolConfig(size=_CONNECTIONS)
        connector = connectors.TCPConnector(
            pool_configs={":default": pool},
            timeouts=timeouts,
            connection_cls=SingleUseConnection,
        )
        self._client = aiosonic.HTTPClient(connector=connector)

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        value: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        """Sends one request with a JSON body.

        Raises:
            NoReplyError: There was no complete response within the timeout.
        """
        body = b"" if value is None else json.dumps(value).encode()
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.request(
                    f"http://{address}{path}",
                    method=method,
                    headers={
                        "Content-Type": "application/json",
                        **(headers or {}),
                    },
                    data=body,
                )
                content = await response.content()
        except Exception as error:
            raise NoReplyError(
                f"{method} {address}{path}: {error!r}"
            ) from error
        names = {name.lower(): text for name, text in response.raw_headers}
        return Reply(response.status_code, names, content)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()
