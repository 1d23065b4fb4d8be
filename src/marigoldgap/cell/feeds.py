"""Follows the change feeds of store tables for the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.cell import containment
from marigoldgap.cell import model
from marigoldgap.cell import records
from marigoldgap.cell import scheduler as schedulers
from marigoldgap.cell import store
from marigoldgap.cell import table_reader

_log = decision_log.DecisionLogger("feeds")

# Long-poll time for changes.
_LONG_POLL_MS = 1_000
# Pause after each answer, so that the next one batches the changes. Accepting
# instances notify the leader of new jobs directly; the feed delivers the jobs
# whose notification was lost.
_JOBS_PAUSE_S = 0.3
_WORKERS_PAUSE_S = 0.4
# Rows of a page after which the next one is read at once. The store returns at
# most 500: 3,000 workers change 2,000 rows a second, more than one page in each
# pause, and a worker that leaves would be noticed late.
_LARGE_PAGE_ROWS = 250
# Pause after a failed call.
_RETRY_S = 0.1


async def follow_jobs(
    rows: store.Store,
    reader: table_reader.TableReader,
    scheduler: schedulers.Scheduler,
) -> None:
    """Passes accepted and cancelled jobs to the scheduler until cancelled."""
    await scheduler.recovered.wait()
    after = scheduler.jobs_version
    while True:
        sent_s = clock.now_s()
        try:
            page = await rows.changes(records.JOBS, after, _LONG_POLL_MS)
        except store.HistoryLostError as error:
            _log.info("jobs_history_lost", cause=str(error))
            after = await _read_jobs(reader, scheduler)
            scheduler.job_tracker.mark_complete(sent_s)
            continue
        except store.StoreError as error:
            _log.warning("jobs_feed_failed", cause=str(error))
            await asyncio.sleep(_RETRY_S)
            continue
        after = page.version
        _apply_jobs(page, scheduler)
        scheduler.job_tracker.mark_complete(sent_s)
        await asyncio.sleep(_JOBS_PAUSE_S)


async def _read_jobs(
    reader: table_reader.TableReader, scheduler: schedulers.Scheduler
) -> int:
    pages = await asyncio.gather(
        *(
            reader.read(records.JOBS, partition)
            for partition in records.JOB_PARTITIONS
        )
    )
    for page in pages:
        _apply_jobs(page, scheduler)
    return min(page.version for page in pages)


def _apply_jobs(page: store.Page, scheduler: schedulers.Scheduler) -> None:
    for row in page.rows:
        if row.value is None:
            # The row of an archived job was removed.
            continue
        try:
            with containment.contained("job", row.row_key.key):
                scheduler.add_job(records.decode_job_row(row), row.version)
        except errors.MarigoldgapError as error:
            _log.error(
                "job_row_unusable", job=row.row_key.key, cause=str(error)
            )


async def follow_workers(
    rows: store.Store,
    reader: table_reader.TableReader,
    scheduler: schedulers.Scheduler,
    table: str,
    decode: Callable[[str, bytes, float], model.Registration],
    signature: Callable[[bytes], bytes],
) -> None:
    """Passes worker registrations to the scheduler until cancelled.

    Args:
        rows: The store.
        reader: Reads the whole table.
        scheduler: The scheduler.
        table: Table of the registrations.
        decode: Decodes the registration of the worker with the given id, from
            the content of its row and the monotonic time of the response, in
            seconds.
        signature: Returns what of a row matters: rows with the same signature
            have the same registration. It is much cheaper than decoding.
    """
    # Signatures of the latest rows by worker.
    signatures: dict[str, bytes] = {}
    await scheduler.recovered.wait()
    after: int | None = None
    while True:
        try:
            if after is None:
                page = await reader.read(table, "")
                signatures.clear()
                _unregister_missing(page, scheduler)
            else:
                page = await rows.changes(table, after, _LONG_POLL_MS)
        except store.HistoryLostError as error:
            _log.info("workers_history_lost", cause=str(error))
            after = None
            continue
        except store.StoreError as error:
            _log.warning("workers_feed_failed", cause=str(error))
            await asyncio.sleep(_RETRY_S)
            continue
        after = page.version
        for row in page.rows:
            worker_id = row.row_key.key
            found = b"" if row.value is None else signature(row.value)
            if (
                found
                and signatures.get(worker_id) == found
                and scheduler.worker_tracker.is_settled(worker_id)
            ):
                continue
            signatures.pop(worker_id, None)
            if _apply_worker(row, scheduler, decode):
                signatures[worker_id] = found
        if len(page.rows) < _LARGE_PAGE_ROWS:
            await asyncio.sleep(_WORKERS_PAUSE_S)


def _unregister_missing(
    page: store.Page, scheduler: schedulers.Scheduler
) -> None:
    present = {row.row_key.key for row in page.rows}
    for worker_id in scheduler.worker_tracker.known_ids:
        if worker_id not in present:
            scheduler.worker_tracker.on_unregistered(worker_id)


def _apply_worker(
    row: store.Row,
    scheduler: schedulers.Scheduler,
    decode: Callable[[str, bytes, float], model.Registration],
) -> bool:
    """Returns whether the row holds a registration."""
    if row.value is None:
        scheduler.worker_tracker.on_unregistered(row.row_key.key)
        return False
    try:
        with containment.contained("registration", row.row_key.key):
            registration = decode(row.row_key.key, row.value, clock.now_s())
            scheduler.worker_tracker.on_registration(registration)
    except errors.MarigoldgapError as error:
        _log.warning(
            "registration_unusable", worker=row.row_key.key, cause=str(error)
        )
        scheduler.worker_tracker.on_unregistered(row.row_key.key)
        return False
    return True
    return True
