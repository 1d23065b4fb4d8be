"""Reads whole partitions of the store without filling the link to it.

Heartbeats and leases use the same link. A reader therefore has few calls in
flight, and asks for fewer rows at a time if a page takes long. Each page is
retried on its own, so that a failed call costs no other page.
"""

from __future__ import annotations

import asyncio

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import measures
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("reader")

# Calls in flight of one reader.
_CONCURRENT_CALLS = 6
# Rows of the first page, and limits of the adapted number. The store returns
# at most 500 rows.
_INITIAL_ROWS = 128
_MIN_ROWS = 8
_MAX_ROWS = 500
# A page that takes longer halves the rows of the next one. Further pages in
# flight delay a heartbeat by at most about this time.
_SLOW_PAGE_S = 0.15
# A full page that takes less time doubles the rows of the next one.
_QUICK_PAGE_S = 0.06
# Pause before the first retry of a page; it doubles up to the maximum.
_RETRY_S = 0.05
_MAX_RETRY_S = 0.4


class TableReader:
    """Reads partitions page by page; retries until it is cancelled.

    Args:
        rows: The store.
    """

    def __init__(self, rows: store.Store) -> None:
        self.page_count = 0
        self.row_count = 0
        self.byte_count = 0
        self.failure_count = 0
        self._rows = rows
        self._page_rows = _INITIAL_ROWS
        self._calls = asyncio.Semaphore(_CONCURRENT_CALLS)
        self._latest_page_s = clock.now_s()

    @property
    def idle_s(self) -> float:
        """Seconds since the latest page, or since the reader was created."""
        return clock.now_s() - self._latest_page_s

    async def read(self, table: str, partition: str) -> store.Page:
        """Reads a partition.

        Returns:
            All rows, with the version of the first page, so that a reader that
            follows the changes from there misses none.
        """
        page = await self._read_page(store.RowKey(table, partition, ""))
        rows = list(page.rows)
        version = page.version
        while page.has_more and page.rows:
            following = rows[-1].row_key.key + "\0"
            page = await self._read_page(
                store.RowKey(table, partition, following)
            )
            rows.extend(page.rows)
        return store.Page(tuple(rows), False, version)

    async def read_row(self, row_key: store.RowKey) -> store.Row | None:
        """Reads one row; None if it does not exist."""
        page = await self._read_page(row_key, row_key.key + "\0")
        return page.rows[0] if page.rows else None

    async def _read_page(
        self, first: store.RowKey, end: str = ""
    ) -> store.Page:
        pause_s = _RETRY_S
        while True:
            async with self._calls:
                max_rows = self._page_rows
                started_s = clock.now_s()
                try:
                    page = await self._rows.read(*first, end, max_rows=max_rows)
                except store.StoreError as error:
                    self.failure_count += 1
                    self._page_rows = max(_MIN_ROWS, max_rows // 2)
                    _log.warning(
                        "page_failed",
                        table=first.table,
                        partition=first.partition,
                        max_rows=max_rows,
                        cause=str(error),
                    )
                else:
                    self._record(page, max_rows, clock.now_s() - started_s)
                    return page
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_S)

    def _record(self, page: store.Page, max_rows: int, took_s: float) -> None:
        self._latest_page_s = clock.now_s()
        size = sum(len(row.value or b"") for row in page.rows)
        self.page_count += 1
        self.row_count += len(page.rows)
        self.byte_count += size
        measures.READ_ROWS.inc(len(page.rows))
        measures.READ_BYTES.inc(size)
        if took_s > _SLOW_PAGE_S and len(page.rows) > _MIN_ROWS:
            self._page_rows = max(_MIN_ROWS, min(max_rows, len(page.rows)) // 2)
        elif took_s < _QUICK_PAGE_S and page.has_more:
            self._page_rows = min(_MAX_ROWS, 2 * max_rows)
