"""Refusals and failures as problem+json (RFC 9457)."""

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

_logger = logs.PartLogger("callers")

_MEDIA_TYPE = "application/problem+json"
# Shed work may be sent again after this time, in seconds.
_RETRY_AFTER_S = "1"

Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class HttpError(errors.MarigoldgapError):
    """The HTTP layer refused a request before any endpoint saw it."""

    code = "not-found"
    ran = errors.Ran.NO


def response_of(
    error: errors.MarigoldgapError, status: int | None = None
) -> responses.Response:
    """Returns the answer that reports an error.

    Args:
        error: The error.
        status: HTTP status, if it differs from that of the error.
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


def reported(endpoint: Endpoint) -> Endpoint:
    """Decorates an endpoint so that its errors become problems."""

    async def answer(request: requests.Request) -> responses.Response:
        try:
            return await endpoint(request)
        except errors.MarigoldgapError as error:
            return response_of(error)
        except requests.ClientDisconnect:
            # Nothing was accepted, and nobody reads this answer.
            return response_of(errors.InvalidRequestError("the body is cut"))
        except Exception:
            _logger.exception("an endpoint failed")
            return response_of(errors.MarigoldgapError("internal error"))

    return answer


async def report_http_exception(
    request: requests.Request, exception: Exception
) -> responses.Response:
    """Reports unknown paths and methods; a handler for starlette."""
    del request
    if not isinstance(exception, starlette_exceptions.HTTPException):
        raise exception
    error = HttpError(str(exception.detail))
    return response_of(error, exception.status_code)
