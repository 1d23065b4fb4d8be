"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from urllib import parse

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import json_object
from marigoldgap import measures
from marigoldgap.cell import store
from marigoldgap.web import call_limit
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("store")

# What a feed may need beyond its wait time.
_FEED_SLACK_S = 0.7
_REFUSED_STATUSES = frozenset({429, 503, 507})


class StoreClient:
    """Implements `cell.store.Store` over HTTP.

    Args:
        pool: Connections.
        address: `ip:port` of the store.
    """

    def __init__(self, pool: client.HttpPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._limit = call_limit.CallLimit()
        self.last_success_s = -1.0
        self.last_failure_s = -1.0
        self._refused_since_s: float | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether the latest call that ended got an answer."""
        return self.last_success_s >= self.last_failure_s

    @property
    def away_s(self) -> float:
        """Time since the last answer; 0 while the store answers."""
        if self.is_reachable:
            return 0.0
        return clock.now_s() - self.last_success_s

    @property
    def refused_s(self) -> float:
        """Time for which the store has refused calls and answered none."""
        if self._refused_since_s is None:
            return 0.0
        return clock.now_s() - self._refused_since_s

    async def transact(self, transaction: store.Transaction) -> int:
        """Applies a transaction; returns its version.

        Raises:
            CheckFailedError: A row has another version.
            StoreRefusedError: Nothing was done.
            StoreUnknownError: The transaction may take effect, also later.
        """
        partitions = {
            each.partition
            for each in (
                *(check.row_key for check in transaction.checks),
                *(place for place, _ in transaction.writes),
                *transaction.removals,
            )
        }
        body = {
            "expectRev": [
                {**_place(check.row_key), "ver": check.version}
                for check in transaction.checks
            ],
            "setKeys": [
                {**_place(place), "value": base64.b64encode(value).decode()}
                for place, value in transaction.writes
            ],
            "remove": [_place(place) for place in transaction.removals],
        }
        if len(partitions) > 1:
            body["across"] = True  # type: ignore[assignment]
        answer = await self._call(
            "write",
            "POST",
            "/v1/rows-tx",
            json_object.encode(body),
        )
        content = answer.json()
        if answer.status == 412:
            raise store.CheckFailedError(_rows(content))
        return int(content["ver"])

    async def read(
        self, table: str, partition: str, first: str = "", end: str = ""
    ) -> store.Page:
        """Reads a range of keys.

        Raises:
            StoreRefusedError: The store did not read.
            StoreUnknownError: The store did not answer.
        """
        query = {"table": table, "part": partition}
        if first:
            query["from"] = first
        if end:
            # "target" is the exclusive upper end of the range.
            query["target"] = end
        path = f"/v1/rows-get?{parse.urlencode(query)}"
        return _page((await self._call("read", "GET", path)).json())

    async def changes(self, table: str, after: int, wait_ms: int) -> store.Page:
        """Waits for changed rows.

        Raises:
            HistoryLostError: The changes are no longer kept.
            StoreRefusedError: The store did not read.
            StoreUnknownError: The store did not answer.
        """
        query = {"table": table, "after": after, "waitMs": wait_ms}
        path = f"/v1/rows-feed?{parse.urlencode(query)}"
        answer = await self._call(
            "changes", "GET", path, wait_s=wait_ms / 1000 + _FEED_SLACK_S
        )
        if answer.status == 410:
            raise store.HistoryLostError(f"no history after version {after}")
        return _page(answer.json())

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        wait_s: float | None = None,
    ) -> messages.Response:
        """Makes a call; `wait_s` is its limit where the store may wait."""
        started_s = clock.now_s()
        limit_s = self._limit.limit_s if wait_s is None else wait_s
        try:
            answer = await self._exchange(method, path, body, limit_s)
        except store.StoreError as error:
            measures.STORE_FAILURES.labels(call, error.code).inc()
            if wait_s is None and isinstance(error, store.StoreUnknownError):
                self._limit.note_silence(clock.now_s() - started_s)
            raise
        took_s = clock.now_s() - started_s
        measures.STORE_CALLS_S.labels(call).observe(took_s)
        if wait_s is None:
            self._limit.note_answer(took_s)
        else:
            self._limit.note_alive()
        return answer

    async def _exchange(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> messages.Response:
        try:
            answer = await self._pool.exchange(
                method, self._address, path, body, timeout_s
            )
        except messages.NotConnectedError as error:
            self._note_refusal(str(error))
            raise store.StoreRefusedError(str(error)) from error
        except messages.ExchangeError as error:
            self._note_failure(str(error))
            raise store.StoreUnknownError(str(error)) from error
        if answer.status in _REFUSED_STATUSES:
            self._note_refusal(f"store answered {answer.status}")
            raise store.StoreRefusedError(f"store answered {answer.status}")
        if answer.status not in (200, 410, 412):
            raise store.StoreError(
                f"store answered {answer.status}: {answer.body[:200]!r}"
            )
        if not self.is_reachable:
            _log.info("store_regained", call=path.partition("?")[0])
        self.last_success_s = clock.now_s()
        self._refused_since_s = None
        return answer

    def _note_refusal(self, cause: str) -> None:
        if self._refused_since_s is None:
            self._refused_since_s = clock.now_s()
        self._note_failure(cause)

    def _note_failure(self, cause: str) -> None:
        if self.is_reachable:
            _log.warning("store_lost", cause=cause)
        self.last_failure_s = clock.now_s()


def _place(place: store.RowKey) -> dict[str, Any]:
    return {"table": place.table, "part": place.partition, "key": place.key}


def _rows(content: Any) -> tuple[store.Row, ...]:
    return tuple(_row(each) for each in content.get("rows", ()))


def _row(content: Any) -> store.Row:
    place = store.RowKey(
        content["table"], content.get("part", ""), content["key"]
    )
    return store.Row(place, _value(content), int(content.get("ver", 0)))


def _value(content: Any) -> bytes | None:
    if content.get("removed") or "value" not in content:
        return None
    try:
        return base64.b64decode(content["value"])
    except (binascii.Error, TypeError, ValueError):
        # Other writers share these tables; a value that cannot be decoded is
        # passed on as one that no decoder accepts.
        return b""


def _page(content: Any) -> store.Page:
    return store.Page(
        _rows(content), bool(content.get("hasMore")), int(content["ver"])
    )
