"""Error responses with problem details (RFC 9457)."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import http
import json

from starlette import exceptions as starlette_exceptions
from starlette import requests
from starlette import responses

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.dispatch import forwarding

_log = logs.PartLogger("callers")

_MEDIA_TYPE = "application/problem+json"
# Overload responses ask the caller to wait this many seconds before a retry.
_RETRY_AFTER_S = "1"

Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class HttpError(errors.MarigoldgapError):
    """The HTTP layer rejected a request before it reached an endpoint."""

    code = "not-found"
    ran = errors.Ran.NO


def problem_response(
    error: errors.MarigoldgapError, status: int | None = None
) -> responses.Response:
    """Returns the problem details response for an error.

    Args:
        error: The error to report.
        status: HTTP status; by default the status of the error.
    """
    status = status or error.status
    problem = {
        "type": "about:blank",
        "title": http.HTTPStatus(status).phrase,
        "status": status,
        "detail": error.detail,
        "code": error.code,
        "ran": error.ran.value,
    }
    headers = {forwarding.HEADER_RAN: error.ran.value}
    if isinstance(error, errors.OverloadedError):
        headers["Retry-After"] = _RETRY_AFTER_S
    return responses.Response(
        json.dumps(problem), status, headers, media_type=_MEDIA_TYPE
    )


def with_problem_responses(endpoint: Endpoint) -> Endpoint:
    """Wraps an endpoint so that its errors become problem details."""

    async def respond(request: requests.Request) -> responses.Response:
        try:
            return await endpoint(request)
        except errors.MarigoldgapError as error:
            return problem_response(error)
        except requests.ClientDisconnect:
            # No work was accepted, and the client no longer reads the response.
            return problem_response(
                errors.InvalidRequestError("the body is cut")
            )
        except Exception:
            _log.exception("unexpected error in a callers API endpoint")
            return problem_response(errors.MarigoldgapError("internal error"))

    return respond


async def report_http_exception(
    request: requests.Request, exception: Exception
) -> responses.Response:
    """Starlette exception handler; reports unknown paths and methods."""
    del request
    if not isinstance(exception, starlette_exceptions.HTTPException):
        raise exception
    error = HttpError(str(exception.detail))
    return problem_response(error, exception.status_code)
