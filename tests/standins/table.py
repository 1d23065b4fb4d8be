"""Stand-in for the platform's table service (section 3.4), in memory."""

from __future__ import annotations

import collections
from typing import Any

import typer

from tests.standins import http
from tests.standins import process
from tests.standins import store_limits
from tests.standins import table_state

# "Several hundred writes/s and about 2,000 reads/s", section 1.3.
_WRITES_PER_S = 400
_READS_PER_S = 2_000
_DEFAULT_SCAN_LIMIT = 500


class TableService:
    """Serves the table over HTTP.

    Args:
        writes_per_s: Rate above which transactions are delayed.
        reads_per_s: Rate above which reads are delayed.
    """

    def __init__(
        self,
        writes_per_s: float = _WRITES_PER_S,
        reads_per_s: float = _READS_PER_S,
    ) -> None:
        self._state = table_state.TableState()
        self._writes = store_limits.RateLimit(writes_per_s)
        self._reads = store_limits.RateLimit(reads_per_s)
        self._faults = store_limits.Faults()
        self._counters: collections.Counter[str] = collections.Counter()

    def router(self) -> http.Router:
        """Returns the routes."""
        router = http.Router()
        router.add("GET", "/v1/rows", self._scan)
        router.add("GET", "/v1/rows/{key:path}", self._get)
        router.add("POST", "/v1/transactions", self._commit)
        router.add("GET", "/control", self._show)
        router.add("POST", "/control", self._control)
        return router

    async def _get(self, request: http.Request, key: str) -> http.Response:
        """Returns one row, or 304 if the caller has its version."""
        refusal = await self._admit("reads", self._reads)
        if refusal:
            return refusal
        row = self._state.get(key)
        if row is None:
            return http.json_response({"code": "not-found"}, 404)
        known = request.headers.get("if-none-match", "").strip('"')
        if known == str(row.version):
            return http.Response(304)
        return http.json_response(row._asdict())

    async def _scan(self, request: http.Request) -> http.Response:
        """Returns a page of the rows with a prefix."""
        refusal = await self._admit("reads", self._reads)
        if refusal:
            return refusal
        query = request.query
        rows = self._state.scan(
            query.get("prefix", ""),
            query.get("after", ""),
            int(query.get("limit", _DEFAULT_SCAN_LIMIT)),
        )
        return http.json_response(
            {"rows": [{"key": key, **row._asdict()} for key, row in rows]}
        )

    async def _commit(self, request: http.Request) -> http.Response:
        """Applies a transaction."""
        refusal = await self._admit("writes", self._writes)
        if refusal:
            return refusal
        values = request.json()
        result = self._state.commit(values)
        if isinstance(result, table_state.Conflict):
            self._counters["conflicts"] += 1
            return http.json_response({"failed": result.failed}, 409)
        self._counters["rows_written"] += len(values.get("puts", []))
        for put in values.get("puts", []):
            kind = str(put["key"]).partition("/")[0]
            self._counters[f"rows_written.{kind}"] += 1
        self._faults.after_write()
        return http.json_response({"version": result})

    async def _admit(
        self, kind: str, limit: store_limits.RateLimit
    ) -> http.Response | None:
        """Injects faults and applies the rate limit; may return a refusal."""
        refusal = await self._faults.before_operation()
        if refusal:
            return refusal
        if not await limit.acquire():
            self._counters["throttled"] += 1
            return http.json_response({"code": "throttled"}, 503)
        self._counters[kind] += 1
        return None

    async def _show(self, _: http.Request) -> http.Response:
        """Returns the fault switches and the counters."""
        answer: dict[str, Any] = {
            "switches": self._faults.switches._asdict(),
            "counters": dict(self._counters),
        }
        return http.json_response(answer)

    async def _control(self, request: http.Request) -> http.Response:
        """Sets fault switches."""
        self._faults.set(request.json())
        return await self._show(request)


def main(
    address: str,
    writes_per_s: float = _WRITES_PER_S,
    reads_per_s: float = _READS_PER_S,
) -> None:
    """Serve the table on ADDRESS until SIGTERM."""

    async def start() -> http.Server:
        service = TableService(writes_per_s, reads_per_s)
        server = http.Server(service.router(), address)
        await server.start()
        return server

    process.run(start)


if __name__ == "__main__":
    typer.run(main)
