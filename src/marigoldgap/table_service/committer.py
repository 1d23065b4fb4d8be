"""Group commit: concurrent transactions share one write call."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import batches
from marigoldgap.table_service import model
from marigoldgap.table_service import table
from marigoldgap.table_service import writer_row

_log = logs.PartLogger("platform")

# Each write also contains the writer row.
_MAX_MEMBER_ROWS = table.MAX_ROWS_PER_TRANSACTION - 1
# About four seconds of writes at the table service's peak rate.
_MAX_QUEUED = 10_000
# Two processes with the same instance id can alternate their writes; more
# consecutive conflicts than this mean that they keep blocking each other.
_MAX_WRITER_ROW_CONFLICTS = 5


class GroupCommitter:
    """Joins queued transactions and sends one write at a time.

    Args:
        settings: Settings of this instance.
        client: Client of the table service; rejects calls in an outage.
        row: The writer row of this process.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        client: table.TableClient,
        row: writer_row.WriterRow,
    ) -> None:
        self._queue_timeout_s = (
            settings.platform.request_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        self._client = client
        self._row = row
        self._queued: list[batches.Member] = []
        self._write_task: asyncio.Task[None] | None = None
        self._write_count = 0
        self._writer_row_conflicts = 0

    @property
    def write_count(self) -> int:
        """Number of writes sent since the start."""
        return self._write_count

    async def commit(self, transaction: model.Transaction) -> int:
        """Commits a transaction, joined with concurrent ones.

        A transaction that is still queued after the request timeout, because
        the outcome of the write before it is not known, fails unsent.

        Returns:
            The version of the write.

        Raises:
            errors.RowConflictError: A check of this transaction failed.
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: It may have been written.
            errors.InvalidRequestError: The transaction has too many rows.
            errors.OverloadedError: Too many transactions are queued.
        """
        if batches.row_count(transaction) > _MAX_MEMBER_ROWS:
            raise errors.InvalidRequestError(
                f"a transaction has at most {_MAX_MEMBER_ROWS} rows"
            )
        if len(self._queued) >= _MAX_QUEUED:
            raise errors.OverloadedError("too many writes wait for the store")
        self._client.raise_if_down()
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        member = batches.Member(transaction, result)
        self._queued.append(member)
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._write_queued())
        await asyncio.wait([result], timeout=self._queue_timeout_s)
        self._fail_if_queued(member)
        return await result

    async def close(self) -> None:
        """Waits for queued and in-flight writes."""
        if self._write_task is not None:
            await self._write_task

    def _fail_if_queued(self, member: batches.Member) -> None:
        """Fails a transaction that is still queued and was never sent."""
        if member.result.done():
            return
        remaining = [each for each in self._queued if each is not member]
        if len(remaining) == len(self._queued):
            return
        self._queued = remaining
        _fail(
            [member],
            errors.StoreUnavailableError(
                "the table service is too slow; nothing was written"
            ),
        )

    async def _write_queued(self) -> None:
        """Writes batches until the queue is empty."""
        # Lets transactions of the same event loop iteration join the first
        # write.
        await asyncio.sleep(0)
        try:
            while self._queued:
                batch = batches.take_batch(self._queued, _MAX_MEMBER_ROWS)
                await self._commit_batch(batch)
        finally:
            self._write_task = None

    async def _commit_batch(self, batch: list[batches.Member]) -> None:
        """Writes a batch and sets the result of each member."""
        while batch:
            batch = [each for each in batch if not each.result.done()]
            if not batch:
                return
            try:
                version = await self._write(batch)
            except errors.RowConflictError as error:
                batch = await self._handle_conflict(batch, error)
            except Exception as error:
                # Callers wait forever for a result that is never set.
                _fail(batch, error)
                return
            else:
                self._writer_row_conflicts = 0
                _succeed(batch, version)
                return

    async def _write(self, batch: Sequence[batches.Member]) -> int:
        """Sends the joined members as one write."""
        joined = batches.join(batch)
        self._write_count += 1
        return await self._row.commit(joined)

    async def _handle_conflict(
        self, batch: list[batches.Member], error: errors.RowConflictError
    ) -> list[batches.Member]:
        """Fails the conflicting members; returns those to write again."""
        if self._row.key in error.keys:
            # Another process with this instance id replaced the row; the
            # batch had no effect.
            _log.warning(
                "Another process replaced the writer row; reading it again"
            )
            self._row.invalidate()
            return self._count_writer_row_conflict(batch)
        conflicting, others = batches.split_by_conflict(batch, error.keys)
        if not conflicting:
            return await self._write_separately(batch, error)
        for member in conflicting:
            _fail([member], errors.RowConflictError(_own_keys(member, error)))
        return others

    def _count_writer_row_conflict(
        self, batch: list[batches.Member]
    ) -> list[batches.Member]:
        """Fails the batch after too many writer row conflicts in a row."""
        self._writer_row_conflicts += 1
        if self._writer_row_conflicts < _MAX_WRITER_ROW_CONFLICTS:
            return batch
        self._writer_row_conflicts = 0
        _fail(
            batch,
            errors.StoreUnavailableError(
                "another process writes with the same instance id; give each "
                "process its own instance_id in the settings"
            ),
        )
        return []

    async def _write_separately(
        self, batch: list[batches.Member], error: errors.RowConflictError
    ) -> list[batches.Member]:
        """Writes members one by one if no member checked a failed row."""
        if len(batch) == 1:
            _fail(batch, error)
            return []
        for member in batch:
            await self._commit_batch([member])
        return []


def _own_keys(
    member: batches.Member, error: errors.RowConflictError
) -> tuple[str, ...]:
    """Returns the failed rows that a member checked."""
    checked = {check.key for check in member.transaction.checks}
    return tuple(key for key in error.keys if key in checked)


def _succeed(members: Sequence[batches.Member], version: int) -> None:
    for member in members:
        if not member.result.done():
            member.result.set_result(version)


def _fail(members: Sequence[batches.Member], error: Exception) -> None:
    for member in members:
        if not member.result.done():
            member.result.set_exception(error)
