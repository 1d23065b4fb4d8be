"""Reads the rows of open jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import job_rows
from marigoldgap.coordination import job_state
from marigoldgap.table_service import model as table_service_model

_log = logs.PartLogger("coordination")

_SCAN_INTERVAL_MS = 30_000
_RETRY_DELAY_MS = 1_000
_PAGE_ROWS = 500
# Closed jobs are remembered for longer than any read of the table takes, so
# that a slow read does not open them again.
_CLOSED_RETENTION_MS = 120_000


class JobReader:
    """Reads all jobs periodically, and single jobs when they are accepted.

    A read may return a job that was closed while the read was in flight. Such
    a job must not be opened again, since its tasks would run a second time;
    the ids of closed jobs are therefore kept for a while.

    Args:
        zone: The coordinator's zone.
        table: Reads rows.
        add: Called with each job that is not known to be closed.
        loaded: Called after each complete scan.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        zone: str,
        table: interfaces.TableClient,
        add: Callable[[job_state.Job], None],
        loaded: Callable[[], None],
        now_ms: Callable[[], int],
    ) -> None:
        self._zone = zone
        self._table = table
        self._add = add
        self._loaded = loaded
        self._now_ms = now_ms
        self._next_scan_ms = 0
        self._closed_at_ms: dict[str, int] = {}
        self._scan: asyncio.Task[None] | None = None
        self._reads: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Starts a scan of all jobs if it is due."""
        now_ms = self._now_ms()
        is_busy = self._scan is not None and not self._scan.done()
        if now_ms < self._next_scan_ms or is_busy:
            return
        self._next_scan_ms = now_ms + _SCAN_INTERVAL_MS
        self._forget_closed(now_ms)
        self._scan = asyncio.create_task(self._read_all())

    def request_scan(self) -> None:
        """Makes the next tick start a scan of all jobs."""
        self._next_scan_ms = 0

    def read(self, job_ids: Iterable[str]) -> None:
        """Reads single jobs."""
        for job_id in job_ids:
            self._spawn(self._read_one(job_id))

    def record_closed(self, job_id: str) -> None:
        """Records a job whose row is closed."""
        self._closed_at_ms[job_id] = self._now_ms()

    def stop(self) -> None:
        """Cancels all reads in flight."""
        for task in [*self._reads, *([self._scan] if self._scan else [])]:
            task.cancel()

    def _forget_closed(self, now_ms: int) -> None:
        """Removes jobs closed long ago; the oldest come first."""
        for job_id, closed_at_ms in list(self._closed_at_ms.items()):
            if now_ms - closed_at_ms < _CLOSED_RETENTION_MS:
                return
            del self._closed_at_ms[job_id]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a read as a background task."""
        task = asyncio.create_task(work)
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def _read_all(self) -> None:
        """Reads all open jobs of the zone."""
        prefix = job_rows.open_prefix(self._zone)
        after = ""
        try:
            while True:
                rows = await self._table.scan(prefix, after, _PAGE_ROWS)
                for row in rows:
                    self._add_row(row)
                if len(rows) < _PAGE_ROWS:
                    break
                after = rows[-1].key
        except errors.MarigoldgapError as error:
            _log.debug("Scan of the open jobs failed: %s", error.detail)
            self._next_scan_ms = self._now_ms() + _RETRY_DELAY_MS
        except Exception:
            _log.exception("Scan of the open jobs failed.")
            self._next_scan_ms = self._now_ms() + _RETRY_DELAY_MS
        else:
            self._loaded()

    async def _read_one(self, job_id: str) -> None:
        """Reads the row of one job; if this fails, the next scan finds it."""
        key = job_rows.open_key(self._zone, job_id)
        try:
            row = await self._table.get(key)
        except errors.MarigoldgapError:
            return
        if row is not None:
            self._add_row(row)

    def _add_row(self, row: table_service_model.Row) -> None:
        """Parses a row and adds its job, unless the job was closed."""
        if row.key.rpartition("/")[2] in self._closed_at_ms:
            return
        try:
            job = job_rows.parse_job(row)
        except errors.ProtocolError as error:
            _log.error("%s", error.detail)
            return
        self._add(job)
