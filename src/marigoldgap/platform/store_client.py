"""HTTP client of the platform's shared metadata store."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any
from urllib import parse

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import json_object
from marigoldgap import measures
from marigoldgap.cell import store
from marigoldgap.cell import store_clock
from marigoldgap.platform import store_answers
from marigoldgap.web import adaptive_timeout
from marigoldgap.web import client
from marigoldgap.web import messages

_log = decision_log.DecisionLogger("store")

# Time that a call for changes may take beyond the wait that it requests, until
# the first part of the answer and between its parts.
_CHANGES_MARGIN_S = 0.7
# Longest time, beyond the wait that it requests, that a call for changes waits for
# an answer while the store answers no other call either.
_MAX_SILENCE_S = 4.0
# Largest response: 1 MB of values in Base64 with its framing, and a margin.
_MAX_ANSWER_BYTES = 8 * 1_024 * 1_024
_REFUSED_STATUSES = frozenset({429, 503, 507})
_REJECTED_STATUSES = frozenset({400, 403, 404, 413})


class StoreClient:
    """Implements `cell.store.Store` over HTTP.

    Args:
        pool: HTTP connection pool.
        address: `ip:port` of the store.
    """

    def __init__(self, pool: client.HttpPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._timeout = adaptive_timeout.AdaptiveTimeout()
        # Pages of a table wait for each other on a thin link, so their
        # response times say nothing about other calls.
        self._page_timeout = adaptive_timeout.AdaptiveTimeout()
        self.last_success_s = -1.0
        self.last_failure_s = -1.0
        self._refused_since_s: float | None = None
        self._clock = store_clock.StoreClock()
        # Time at which the latest call that was answered was sent.
        self._answered_sent_s = -1.0

    @property
    def is_reachable(self) -> bool:
        """Whether the latest call succeeded.

        A refusal is a failure; an answer with an unexpected status does not
        count.
        """
        return self.last_success_s >= self.last_failure_s

    @property
    def unreachable_s(self) -> float:
        """Seconds since the last call that succeeded; 0 if reachable."""
        if self.is_reachable:
            return 0.0
        return clock.now_s() - self.last_success_s

    @property
    def refused_s(self) -> float:
        """Seconds for which the store has refused calls and answered none.

        The time counts from the first refusal after the last call that
        succeeded; it is 0 if there was no such refusal.
        """
        if self._refused_since_s is None:
            return 0.0
        return clock.now_s() - self._refused_since_s

    async def transact(self, transaction: store.Transaction) -> int:
        """Applies a transaction.

        Returns:
            The version of the written rows.

        Raises:
            CheckFailedError: A checked row has a different version.
            StoreRefusedError: The transaction was not applied.
            StoreRejectedError: The transaction is invalid.
            StoreUnknownError: There is no usable answer; the transaction may
                take effect now or later.
        """
        partitions = {
            row_key.partition
            for row_key in (
                *(check.row_key for check in transaction.checks),
                *(row_key for row_key, _ in transaction.writes),
                *transaction.removals,
            )
        }
        body = {
            "expectRev": [
                {**_encode_key(check.row_key), "ver": check.version}
                for check in transaction.checks
            ],
            "setKeys": [
                {
                    **_encode_key(row_key),
                    "value": base64.b64encode(value).decode(),
                }
                for row_key, value in transaction.writes
            ],
            "remove": [
                _encode_key(row_key) for row_key in transaction.removals
            ],
        }
        if len(partitions) > 1:
            body["across"] = True  # type: ignore[assignment]
        answer = await self._call(
            "write",
            "POST",
            "/v1/rows-tx",
            json_object.encode(body),
        )
        if answer.status == 412:
            raise store.CheckFailedError(
                store_answers.decode(answer, store_answers.decode_rows)
            )
        return store_answers.decode(answer, lambda content: int(content["ver"]))

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        max_rows: int = 0,
    ) -> store.Page:
        """Reads the rows of a partition whose keys are in a range.

        Args:
            table: Name of the table.
            partition: Partition of the table.
            first: First key of the range; empty for the start.
            end: Exclusive end of the range; empty for the end.
            max_rows: Maximum number of rows; 0 for the maximum of the store.

        Raises:
            StoreRefusedError: The store refused the call.
            StoreUnknownError: There is no usable answer.
        """
        query = {"table": table, "part": partition}
        if first:
            query["from"] = first
        if end:
            # "target" is the exclusive end of the range.
            query["target"] = end
        # A key of another writer may hold half of a surrogate pair.
        names = parse.urlencode(query, errors="surrogatepass")
        path = f"/v1/rows-get?{names}"
        sent_s = clock.now_s()
        if not max_rows:
            answer = await self._call("read", "GET", path)
            return self._page(answer, sent_s)
        path += f"&limit={max_rows}"
        answer = await self._call("page", "GET", path, is_page=True)
        return self._page(answer, sent_s)

    async def changes(self, table: str, after: int, wait_ms: int) -> store.Page:
        """Waits for rows that changed after a version (long poll).

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_ms: Longest time that the store waits for a change.

        Raises:
            HistoryLostError: The store no longer keeps all changes since
                `after`.
            StoreRefusedError: The store refused the call.
            StoreUnknownError: There is no usable answer.
        """
        query = {"table": table, "after": after, "waitMs": wait_ms}
        path = f"/v1/rows-feed?{parse.urlencode(query)}"
        sent_s = clock.now_s()
        answer = await self._call(
            "changes",
            "GET",
            path,
            held_s=wait_ms / 1000,
        )
        if answer.status == 410:
            raise store.HistoryLostError(
                f"the store no longer keeps all changes of {table!r} since"
                f" version {after}"
            )
        return self._page(answer, sent_s)

    def _page(self, answer: messages.Response, sent_s: float) -> store.Page:
        page, store_ms = store_answers.decode(answer, store_answers.decode_page)
        return page._replace(
            read_s=self._clock.answered_s(sent_s, clock.now_s(), store_ms)
        )

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes = b"",
        held_s: float | None = None,
        is_page: bool = False,
    ) -> messages.Response:
        """Makes a call and records its result for the timeout and the metrics.

        Args:
            call: Name of the call in metrics.
            method: HTTP method.
            path: Path and query.
            body: Content, JSON.
            held_s: Time for which the store may hold the call open; None if it
                does not.
            is_page: Whether the answer is a page of a table. The timeout of
                pages and of held calls counts from the latest part that was
                received: the time of a large answer depends on the link.
        """
        started_s = clock.now_s()
        timeout = self._page_timeout if is_page else self._timeout
        timeout_s = timeout.timeout_s
        may_wait = None
        if held_s is not None:
            timeout_s = held_s + _CHANGES_MARGIN_S
            may_wait = self._silence_check(started_s + held_s)
        try:
            answer = await self._exchange(
                method,
                path,
                body,
                timeout_s,
                is_bulk=is_page or held_s is not None,
                may_wait=may_wait,
            )
        except store.StoreError as error:
            measures.STORE_FAILURES.labels(call, error.code).inc()
            if held_s is None and isinstance(error, store.StoreUnknownError):
                timeout.record_timeout(clock.now_s() - started_s)
            raise
        self._answered_sent_s = max(self._answered_sent_s, started_s)
        duration_s = clock.now_s() - started_s
        measures.STORE_CALLS_S.labels(call).observe(duration_s)
        if held_s is None:
            timeout.record_response(duration_s)
        else:
            timeout.record_held_response()
        return answer

    def _silence_check(self, due_s: float) -> Callable[[], bool]:
        """Returns whether to wait on for an answer that was due at a time.

        If calls that were sent later are answered, the connection is dead.
        Otherwise the link is busy, for example with the same large change for
        other instances, and a new call would only add to it.
        """

        def may_wait() -> bool:
            return (
                self._answered_sent_s < due_s
                and clock.now_s() < due_s + _MAX_SILENCE_S
            )

        return may_wait

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        is_bulk: bool,
        may_wait: Callable[[], bool] | None,
    ) -> messages.Response:
        try:
            answer = await self._pool.exchange(
                method,
                self._address,
                path,
                body,
                timeout_s,
                is_bulk=is_bulk,
                max_body_bytes=_MAX_ANSWER_BYTES,
                may_wait=may_wait,
            )
        except messages.NotConnectedError as error:
            self._record_refusal(str(error))
            raise store.StoreRefusedError(str(error)) from error
        except messages.ExchangeError as error:
            self._record_failure(str(error))
            raise store.StoreUnknownError(str(error)) from error
        if answer.status in _REFUSED_STATUSES:
            self._record_refusal(f"the store answered {answer.status}")
            raise store.StoreRefusedError(f"the store answered {answer.status}")
        if answer.status in _REJECTED_STATUSES:
            raise store.StoreRejectedError(
                f"the store answered {answer.status}: {answer.body[:200]!r}"
            )
        if answer.status not in (200, 410, 412):
            # A proxy may answer although the store has received the call.
            raise store.StoreUnknownError(
                f"the store answered {answer.status}: {answer.body[:200]!r}"
            )
        if not self.is_reachable:
            _log.info("store_available", call=path.partition("?")[0])
        self.last_success_s = clock.now_s()
        self._refused_since_s = None
        return answer

    def _record_refusal(self, cause: str) -> None:
        if self._refused_since_s is None:
            self._refused_since_s = clock.now_s()
        self._record_failure(cause)

    def _record_failure(self, cause: str) -> None:
        if self.is_reachable:
            _log.warning("store_unavailable", cause=cause)
        self.last_failure_s = clock.now_s()


def _encode_key(row_key: store.RowKey) -> dict[str, Any]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }
