"""Registry of the handlers of the operators API, filled by a decorator."""

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
    """Registers a handler for a path below `/v1/operators`."""

    def add(handler: Handler) -> Handler:
        _handlers.append((method, messages.ROOT + path, handler))
        return handler

    return add


def routes(parts: services.OperatorServices) -> list[routing.Route]:
    """Returns a route for each registered handler."""
    return [
        routing.Route(path, _endpoint(parts, handler), methods=[method])
        for method, path, handler in _handlers
    ]


def _endpoint(
    parts: services.OperatorServices, handler: Handler
) -> Callable[[requests.Request], Awaitable[responses.Response]]:
    """Adds the check of the key and the report of errors to a handler."""

    async def answer(request: requests.Request) -> responses.Response:
        try:
            access.check(parts.settings, request.headers.get("authorization"))
            return responses.JSONResponse(await handler(parts, request))
        except errors.MarigoldgapError as error:
            return _problem(error)
        except Exception:
            _log.exception("A request of an operator failed")
            return _problem(errors.MarigoldgapError("internal error; see logs"))

    return answer


def _problem(error: errors.MarigoldgapError) -> responses.Response:
    """Returns the problem details of RFC 9457."""
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
