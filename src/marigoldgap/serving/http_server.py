"""HTTP server for the APIs of callers and operators."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import MutableMapping
import contextlib
from typing import Any

from starlette import applications
from starlette import routing
import uvicorn

from marigoldgap.callers import builder as callers_builder
from marigoldgap.settings import model as settings_model

_LISTEN_BACKLOG = 2_048


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the instance."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers, unlike the overridden method."""
        yield


class _ConnectionCloseMiddleware:
    """ASGI middleware that ends keep-alive connections while draining.

    Without it, the stop would close connections that callers keep open,
    possibly while their next request is in flight.
    """

    def __init__(self, application: Any, is_draining: Callable[[], bool]):
        self._application = application
        self._is_draining = is_draining

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Adds `Connection: close` to responses while draining."""

        async def send_with_close(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and self._is_draining():
                headers = list(message.get("headers", []))
                headers.append((b"connection", b"close"))
                message["headers"] = headers
            await send(message)

        await self._application(scope, receive, send_with_close)


class HttpServer:
    """Serves HTTP routes on the address given in the settings.

    Args:
        settings: Settings of this instance.
        routes: Routes of the APIs for callers and operators.
        is_draining: Returns whether the instance is draining.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        routes: list[routing.Route],
        is_draining: Callable[[], bool],
    ) -> None:
        application = applications.Starlette(
            routes=routes, exception_handlers=callers_builder.EXCEPTION_HANDLERS
        )
        host, _, port = settings.address.partition(":")
        config = uvicorn.Config(
            _ConnectionCloseMiddleware(application, is_draining),
            host=host,
            port=int(port),
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=_LISTEN_BACKLOG,
        )
        self._server = _Server(config)

    async def run(self) -> None:
        """Serves until `stop`; returns once every response is sent."""
        await self._server.serve()

    def stop(self) -> None:
        """Accepts no more connections; in-flight requests are completed."""
        self._server.should_exit = True
