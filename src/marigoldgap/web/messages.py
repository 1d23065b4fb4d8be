"""Requests, responses and errors of the HTTP server and client."""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple

from marigoldgap import errors
from marigoldgap import json_object

JSON_TYPE = "application/json"

_REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A complete response.

    Attributes:
        status: Status code.
        body: Content.
        headers: All headers of a received response. A response to send holds
            those other than `Content-Type`, `Content-Length` and `Connection`.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def json(self) -> Any:
        """Returns the decoded body.

        Raises:
            InvalidAnswerError: The body is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise InvalidAnswerError(f"body is not JSON: {error}") from error


class ExchangeError(errors.MarigoldgapError):
    """An exchange with a server failed before the response was complete."""

    code = "exchange-failed"


class NotConnectedError(ExchangeError):
    """No connection could be opened; nothing was sent."""

    code = "not-connected"
    ran = errors.Ran.NO


class ConnectionRefusedByHostError(NotConnectedError):
    """The host refused the connection: no process listens on the port."""

    code = "connection-refused"


class NoAnswerError(ExchangeError):
    """No complete response arrived; the request may have been carried out."""

    code = "no-answer"


class ClosedByHostError(NoAnswerError):
    """The host closed the connection cleanly, as when its process exits."""

    code = "closed-by-host"


class InvalidAnswerError(ExchangeError):
    """The response is malformed or has an unexpected status."""

    code = "answer-invalid"


def json_response(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Returns a response with the value as its JSON body."""
    return Response(status, json_object.encode(value), headers)


def encode_response(response: Response, close: bool) -> bytes:
    """Encodes a response.

    Args:
        response: Response to send.
        close: Whether the connection closes after this response.
    """
    reason = _REASONS.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if response.body:
        lines.append(f"Content-Type: {JSON_TYPE}")
    lines.append(f"Content-Length: {len(response.body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
