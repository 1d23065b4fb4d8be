"""Registry of operators API handlers; a decorator registers each one."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from starlette import requests
from starlette import responses
from starlette import routing

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.operators import access
from marigoldgap.operators import messages
from marigoldgap.operators import services

_log = logs.PartLogger("operators")

Handler = Callable[
    [services.OperatorServices, requests.Request],
    Awaitable[Mapping[str, Any]],
]
_handlers: list[tuple[str, str, Handler]] = []


def route(method: str, path: str) -> Callable[[Handler], Handler]:
    """Registers a handler for a path under `/v1/operators`."""

    def add(handler: Handler) -> Handler:
        _handlers.append((method, messages.PATH_PREFIX + path, handler))
        return handler

    return add


def routes(operator_services: services.OperatorServices) -> list[routing.Route]:
    """Returns a route for each registered handler."""
    return [
        routing.Route(
            path, _endpoint(operator_services, handler), methods=[method]
        )
        for method, path, handler in _handlers
    ]


def _endpoint(
    operator_services: services.OperatorServices, handler: Handler
) -> Callable[[requests.Request], Awaitable[responses.Response]]:
    """Wraps a handler with the key check and with error responses."""

    async def respond(request: requests.Request) -> responses.Response:
        try:
            access.check(
                operator_services.settings, request.headers.get("authorization")
            )
            return responses.JSONResponse(
                await handler(operator_services, request)
            )
        except errors.MarigoldgapError as error:
            return _problem_response(error)
        except Exception:
            _log.exception("unexpected error in an operators API handler")
            return _problem_response(
                errors.MarigoldgapError("internal error; see logs")
            )

    return respond


def _problem_response(error: errors.MarigoldgapError) -> responses.Response:
    """Returns the problem details (RFC 9457) for an error."""
    return responses.JSONResponse(
        {
            "type": "about:blank",
            "title": error.code,
            "status": error.status,
            "detail": error.detail,
            "code": error.code,
            "ran": error.ran.value,
        },
        status_code=error.status,
        media_type="application/problem+json",
    )
