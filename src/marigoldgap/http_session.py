"""HTTP client sessions that say exactly whether a request was sent.

Two properties of aiosonic are corrected here. It sends PUT and DELETE again
by itself when a reused connection breaks, and it returns a reused connection
to its pool after a timeout, so that the next request would read the late
answer of the earlier one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextvars
import json
from typing import Any
from typing import NamedTuple

import aiosonic
from aiosonic import connection
from aiosonic import connectors
from aiosonic import exceptions
from aiosonic import pools
from aiosonic import timeout

from marigoldgap import clock
from marigoldgap import errors

_MAX_CONNECTIONS = 64
# Shorter than the keep-alive time of common servers (uvicorn: 5 s), so that
# the client closes an idle connection before the server does.
_MAX_IDLE_MS = 2_000
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Answer(NamedTuple):
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body.

        Raises:
            errors.ProtocolError: The body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.ProtocolError(f"not JSON: {error}") from error


class _Attempt:
    """Follows one request through aiosonic, which may try it repeatedly."""

    def __init__(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.sent = False


class _RepeatRefusedError(exceptions.AiosonicError):
    """The request may already have left and must not be sent again."""


_attempt: contextvars.ContextVar[_Attempt] = contextvars.ContextVar("attempt")


class _StrictConnection(connection.Connection):
    """Records the first sent byte; is never reused after a failure."""

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Refuses a connection that the server has closed."""
        if self.reader is not None and self.reader.at_eof():
            self.close()
        return bool(super().reuse(urlparsed, verify))

    def write(self, data: bytes) -> None:
        """Sends data and remembers that the request may have left."""
        _attempt.get().sent = True
        super().write(data)

    async def __aenter__(self) -> _StrictConnection:
        """Refuses a second try of a request that must not be repeated."""
        attempt = _attempt.get()
        if attempt.sent and not attempt.repeatable:
            self.release()
            raise _RepeatRefusedError("the request may already have left")
        return self

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        """Closes the connection if its request did not end normally."""
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


class HttpSession:
    """A pool of connections with bounded requests.

    Args:
        max_connections: Connections open at the same time.
    """

    def __init__(self, max_connections: int = _MAX_CONNECTIONS) -> None:
        pool = pools.PoolConfig(
            size=max_connections, max_conn_idle_ms=_MAX_IDLE_MS
        )
        connector = connectors.TCPConnector(
            pool_configs={":default": pool}, connection_cls=_StrictConnection
        )
        self._client = aiosonic.HTTPClient(connector=connector)

    async def request(
        self,
        method: str,
        url: str,
        *,
        timeout_ms: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        repeatable: bool = False,
    ) -> Answer:
        """Sends a request and reads the complete answer.

        Args:
            method: HTTP method in upper case.
            url: Absolute URL, already quoted.
            timeout_ms: Bound of the whole exchange.
            body: Sent as it is; a GET has none.
            headers: Further request headers.
            repeatable: Whether it may be sent again on another connection
                when a reused connection breaks; for reads only.

        Raises:
            errors.ConnectFailedError: No byte was sent.
            errors.AnswerLostError: The request may have been received.
        """
        attempt = _Attempt(repeatable)
        token = _attempt.set(attempt)
        seconds = timeout_ms / clock.MILLISECONDS_PER_SECOND
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(method, url, body, headers, seconds)
        except (
            OSError,
            EOFError,
            ValueError,
            TimeoutError,
            exceptions.AiosonicError,
        ) as error:
            reason = f"{method} {url}: {type(error).__name__} {error}"
            if attempt.sent:
                raise errors.AnswerLostError(reason) from error
            raise errors.ConnectFailedError(reason) from error
        finally:
            _attempt.reset(token)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        seconds: float,
    ) -> Answer:
        response = await self._client.request(
            url=url,
            method=method,
            data=body or None,
            headers=dict(headers or {}),
            timeouts=timeout.Timeouts(
                sock_connect=seconds, sock_read=seconds, request_timeout=seconds
            ),
            follow=False,
        )
        content = await response.content()
        answer = Answer(
            response.status_code,
            {name.lower(): value for name, value in response.raw_headers},
            content,
        )
        if not self._is_complete(answer):
            # The rest of the answer would be read by the next request.
            await self._client.aclose()
            raise EOFError("the answer has no length and may be cut short")
        return answer

    def _is_complete(self, answer: Answer) -> bool:
        """Tells whether the length of the body was stated by the server."""
        if answer.status in _STATUSES_WITHOUT_BODY:
            return True
        return (
            "content-length" in answer.headers
            or answer.headers.get("transfer-encoding") == "chunked"
        )
