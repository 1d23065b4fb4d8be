"""A small HTTP/1.1 server whose connections can be aborted at any time.

Tests need to abort connections, close ports and withhold responses, which
common servers do not offer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import http
import json
import re
from typing import Any
from typing import NamedTuple
import urllib.parse

_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 65_536
_LISTEN_BACKLOG = 512


class Request(NamedTuple):
    """One request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}


class Response(NamedTuple):
    """One response."""

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = {}


class CloseConnectionError(Exception):
    """Raised by a handler to close the connection without a response."""


class BadRequestError(Exception):
    """Raised by a handler for a request that violates the protocol."""


Handler = Callable[..., Awaitable[Response]]


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response whose body is the value as JSON."""
    return Response(status, json.dumps(value).encode(), headers or {})


class Router:
    """Dispatches requests to handlers by method and path.

    `{name}` in a path matches one segment, `{name:path}` the rest of the path.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Adds a handler, called with the request and the path parameters."""
        pattern = re.sub(r"\{(\w+):path\}", r"(?P<\1>.+)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(pattern), handler))

    async def handle(self, request: Request) -> Response:
        """Returns the response of the first matching handler, or 404."""
        for method, pattern, handler in self._routes:
            found = pattern.fullmatch(request.path)
            if method == request.method and found:
                return await self._call(handler, request, found.groupdict())
        return json_response({"code": "not-found"}, 404)

    async def _call(
        self, handler: Handler, request: Request, parameters: dict[str, str]
    ) -> Response:
        """Calls the handler; malformed input becomes status 400."""
        names = {
            name: urllib.parse.unquote(part)
            for name, part in parameters.items()
        }
        try:
            return await handler(request, **names)
        except (BadRequestError, KeyError, ValueError, TypeError) as error:
            problem = {"code": "bad-request", "detail": repr(error)}
            return json_response(problem, 400)


class Server:
    """Serves a router on one address.

    Args:
        router: Handles the requests.
        address: `ip:port` to listen on.
    """

    def __init__(self, router: Router, address: str) -> None:
        self._router = router
        self._address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.bytes_in = 0
        self.bytes_out = 0

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve,
            host,
            int(port),
            limit=_MAX_HEAD_BYTES,
            backlog=_LISTEN_BACKLOG,
        )

    def abort(self) -> None:
        """Closes the port and aborts all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles the requests of one connection in order."""
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            CloseConnectionError,
            ValueError,
            # Raised when the process ends; asyncio would log it as an error.
            asyncio.CancelledError,
        ):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles one request; returns whether the connection stays open."""
        request = await self._read_request(reader)
        if request is None:
            return False
        response = await self._router.handle(request)
        keep_alive = request.headers.get("connection", "").lower() != "close"
        data = _encode(response, keep_alive)
        self.bytes_out += len(data)
        writer.write(data)
        await writer.drain()
        return keep_alive

    async def _read_request(
        self, reader: asyncio.StreamReader
    ) -> Request | None:
        """Reads one request, or returns None at the end of the connection."""
        try:
            head = await reader.readuntil(_HEAD_END)
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers: dict[str, str] = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await _read_body(reader, headers)
        self.bytes_in += len(head) + len(body)
        path, _, query = target.partition("?")
        return Request(
            method,
            path,
            dict(urllib.parse.parse_qsl(query)),
            headers,
            body,
        )


async def _read_body(
    reader: asyncio.StreamReader, headers: Mapping[str, str]
) -> bytes:
    """Reads a body of known length or with chunked transfer encoding."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


def _encode(response: Response, keep_alive: bool) -> bytes:
    """Returns the serialized response."""
    phrase = http.HTTPStatus(response.status).phrase
    headers = {
        "content-type": "application/json",
        **{name.lower(): value for name, value in response.headers.items()},
        "content-length": str(len(response.body)),
        "connection": "keep-alive" if keep_alive else "close",
    }
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + _HEAD_END + response.body
