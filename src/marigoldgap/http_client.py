"""HTTP client whose errors tell whether the request may have been sent.

Based on aiosonic, with the connection class of `http_connection`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from urllib import parse

import aiosonic
from aiosonic import connectors
from aiosonic import pools
from aiosonic import timeout as aiosonic_timeout

from marigoldgap import errors
from marigoldgap import http_connection

CONNECT_TIMEOUT_S = 1.0
# Servers commonly close idle connections after 5 s. Closing them earlier on the
# client side avoids a race between that close and the next request.
IDLE_LIMIT_MS = 2_000
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset({204, 304})
_DECODED_BY_LIBRARY = frozenset({"gzip", "deflate"})
_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)

# Repeated lines of this header cannot be joined with commas (RFC 9110, section
# 5.3). A line break cannot occur within a line, so it is a safe separator.
SET_COOKIE = "set-cookie"
COOKIE_SEPARATOR = "\n"

BeforeSend = http_connection.BeforeSend
HttpTraffic = http_connection.HttpTraffic


class HttpAnswer(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpClient:
    """Sends each request at most once and returns complete responses only.

    Args:
        connections: Maximum number of concurrent exchanges; further ones wait.
        traffic: Counts the bytes of all exchanges.
    """

    def __init__(
        self, connections: int, traffic: HttpTraffic | None = None
    ) -> None:
        self._traffic = traffic or HttpTraffic()
        pool = pools.PoolConfig(
            size=connections,
            max_conn_requests=None,
            max_conn_idle_ms=IDLE_LIMIT_MS,
        )
        # The timeouts of the library would move an exchange to another task;
        # `http_connection.current_attempt` needs it in the task of its caller.
        timeouts = aiosonic_timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None,
            pool_acquire=None,
            request_timeout=None,
        )
        connector = connectors.TCPConnector(
            pool_configs={":default": pool},
            timeouts=timeouts,
            connection_cls=http_connection.GuardedConnection,
        )
        self._client = aiosonic.HTTPClient(connector=connector)

    async def exchange(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float | None = None,
        before_send: BeforeSend | None = None,
    ) -> HttpAnswer:
        """Sends a request and reads the complete response.

        Args:
            method: HTTP method.
            address: `ip:port` of the server.
            path: Path and query, quoted.
            headers: Headers to send.
            body: Content to send.
            timeout_s: Time limit of the exchange in seconds; None for no limit.
            before_send: Called immediately before the first byte is written;
                an error that it raises cancels the exchange.

        Raises:
            ConnectFailedError: Nothing was sent.
            OutcomeUnknownError: The request may have been sent, but there is
                no complete response.
            MarigoldgapError: Raised by `before_send`.
        """
        attempt = http_connection.Attempt(before_send, self._traffic)
        token = http_connection.current_attempt.set(attempt)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(method, address, path, headers, body)
        except errors.MarigoldgapError:
            attempt.discard_connection()
            raise
        except Exception as error:
            raise _failure(attempt, address, error) from error
        finally:
            http_connection.current_attempt.reset(token)

    async def close(self) -> None:
        """Closes idle connections; others close after their exchange."""
        await self._client.aclose()

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None,
        body: bytes,
    ) -> HttpAnswer:
        response = await self._client.request(
            f"http://{address}{path}",
            method=method,
            headers=dict(headers or {}),
            data=body,
        )
        _check_framing(response)
        content = await response.content()
        self._traffic.count_received(response, content)
        return HttpAnswer(
            response.status_code, _end_to_end_headers(response), content
        )


def quote(segment: str) -> str:
    """Percent-encodes the text as one segment of a URL path."""
    return parse.quote(segment, safe="")


def _failure(
    attempt: http_connection.Attempt, address: str, error: Exception
) -> errors.MarigoldgapError:
    """Returns the error to raise for a failed exchange."""
    cause = str(error) or type(error).__name__
    if not attempt.sent:
        return errors.ConnectFailedError(f"no connection to {address}: {cause}")
    attempt.discard_connection()
    return errors.OutcomeUnknownError(
        f"the answer of {address} was lost: {cause}"
    )


def _check_framing(response: Any) -> None:
    """Rejects a response whose end cannot be determined.

    Raises:
        OutcomeUnknownError: The response is interim, or has neither a length
            nor chunked encoding.
    """
    status = response.status_code
    if status < _FIRST_FINAL_STATUS:
        raise errors.OutcomeUnknownError(f"interim answer {status}")
    if status in _BODILESS_STATUSES or response.chunked:
        return
    if "content-length" not in response.headers:
        raise errors.OutcomeUnknownError("the answer has no length")


def _separator(name: str) -> str:
    """Returns the separator that joins the lines of a repeated header."""
    return COOKIE_SEPARATOR if name == SET_COOKIE else ", "


def _end_to_end_headers(response: Any) -> dict[str, str]:
    """Returns the headers of the response without the hop-by-hop ones."""
    headers: dict[str, str] = {}
    for written, text in response.raw_headers:
        name = written.lower()
        if name in headers:
            headers[name] += _separator(name) + text
        else:
            headers[name] = text
    for name in _HOP_BY_HOP:
        headers.pop(name, None)
    if headers.get("content-encoding", "") in _DECODED_BY_LIBRARY:
        headers.pop("content-encoding")
    return headers
