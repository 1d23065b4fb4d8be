"""Stand-in for the platform's object store, in memory."""

from __future__ import annotations

import typer

from tests.standins import http
from tests.standins import process
from tests.standins import store_limits

_OPERATIONS_PER_S = 400


class ObjectService:
    """Serves objects over HTTP.

    Args:
        operations_per_s: Rate above which operations are delayed.
    """

    def __init__(self, operations_per_s: float = _OPERATIONS_PER_S) -> None:
        self._objects: dict[str, bytes] = {}
        self._limit = store_limits.RateLimit(operations_per_s)
        self._faults = store_limits.Faults()

    def router(self) -> http.Router:
        """Returns the routes."""
        router = http.Router()
        for method in ("PUT", "GET", "DELETE"):
            router.add(method, "/v1/objects/{key:path}", self._handle)
        router.add("POST", "/control", self._control)
        return router

    async def _handle(self, request: http.Request, key: str) -> http.Response:
        """Stores, returns or deletes one object."""
        refusal = await self._faults.before_operation()
        if refusal:
            return refusal
        if not await self._limit.acquire():
            return http.json_response({"code": "throttled"}, 503)
        if request.method == "GET":
            return self._get(key)
        if request.method == "PUT":
            self._objects[key] = request.body
        else:
            self._objects.pop(key, None)
        self._faults.after_write()
        return http.json_response({})

    def _get(self, key: str) -> http.Response:
        """Returns one object."""
        data = self._objects.get(key)
        if data is None:
            return http.json_response({"code": "not-found"}, 404)
        headers = {"Content-Type": "application/octet-stream"}
        return http.Response(200, data, headers)

    async def _control(self, request: http.Request) -> http.Response:
        """Sets fault switches."""
        self._faults.set(request.json())
        return http.json_response({})


def main(address: str, operations_per_s: float = _OPERATIONS_PER_S) -> None:
    """Serve objects on ADDRESS until SIGTERM."""

    async def start() -> http.Server:
        service = ObjectService(operations_per_s)
        server = http.Server(service.router(), address)
        await server.start()
        return server

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
