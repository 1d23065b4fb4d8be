"""Group commit: concurrent transactions share one write."""

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

# One row of each write is the writer row.
_MAX_MEMBER_ROWS = table.MAX_ROWS_PER_TRANSACTION - 1
# About four seconds of the peak rate of the table service's writes.
_MAX_WAITING = 10_000
# Two processes with the same instance id take turns; more rounds than this
# mean that they keep disturbing each other.
_MAX_ROUNDS_FOR_WRITER_ROW = 5


class GroupCommitter:
    """Writes joined transactions one write at a time.

    Args:
        settings: Settings of this instance.
        client: Tells whether the table service is down.
        row: The writer row of this process.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        client: table.TableClient,
        row: writer_row.WriterRow,
    ) -> None:
        self._longest_wait_s = (
            settings.platform.request_timeout_ms / clock.MILLISECONDS_PER_SECOND
        )
        self._client = client
        self._row = row
        self._waiting: list[batches.Member] = []
        self._drain: asyncio.Task[None] | None = None
        self._write_count = 0
        self._disturbed_rounds = 0

    @property
    def write_count(self) -> int:
        """Writes sent so far."""
        return self._write_count

    async def commit(self, transaction: model.Transaction) -> int:
        """Commits a transaction, joined with concurrent ones.

        A transaction that is not sent within the request timeout, because
        the write before it is not settled, is taken back.

        Returns:
            The version of the write.

        Raises:
            errors.RowConflictError: A check of this transaction failed.
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: It may have been written.
            errors.OverloadedError: Too many transactions wait.
        """
        if batches.row_count(transaction) > _MAX_MEMBER_ROWS:
            raise errors.InvalidRequestError(
                f"a transaction has at most {_MAX_MEMBER_ROWS} rows"
            )
        if len(self._waiting) >= _MAX_WAITING:
            raise errors.OverloadedError("too many writes wait for the store")
        self._client.check()
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        member = batches.Member(transaction, result)
        self._waiting.append(member)
        if self._drain is None:
            self._drain = asyncio.create_task(self._write_all())
        await asyncio.wait([result], timeout=self._longest_wait_s)
        self._take_back(member)
        return await result

    async def close(self) -> None:
        """Waits for writes that are under way."""
        if self._drain is not None:
            await self._drain

    def _take_back(self, member: batches.Member) -> None:
        """Fails a transaction that is still waiting; it was never sent."""
        if member.result.done():
            return
        rest = [each for each in self._waiting if each is not member]
        if len(rest) == len(self._waiting):
            return
        self._waiting = rest
        _fail(
            [member],
            errors.StoreUnavailableError(
                "the table service is too slow; nothing was written"
            ),
        )

    async def _write_all(self) -> None:
        """Writes until nothing waits."""
        # Lets transactions that start in the same cycle join the first write.
        await asyncio.sleep(0)
        try:
            while self._waiting:
                batch = batches.take_batch(self._waiting, _MAX_MEMBER_ROWS)
                await self._settle(batch)
        finally:
            self._drain = None

    async def _settle(self, batch: list[batches.Member]) -> None:
        """Gives every member of a batch its result."""
        while batch:
            batch = [each for each in batch if not each.result.done()]
            if not batch:
                return
            try:
                version = await self._write(batch)
            except errors.RowConflictError as error:
                batch = await self._drop_conflicting(batch, error)
            except Exception as error:
                # Whatever the fault is, callers must not wait for ever.
                _fail(batch, error)
                return
            else:
                self._disturbed_rounds = 0
                _succeed(batch, version)
                return

    async def _write(self, batch: Sequence[batches.Member]) -> int:
        """Sends the joined members as one write."""
        joined = batches.join(batch)
        self._write_count += 1
        return await self._row.commit(joined)

    async def _drop_conflicting(
        self, batch: list[batches.Member], error: errors.RowConflictError
    ) -> list[batches.Member]:
        """Fails the members that conflict; returns those to write again."""
        if self._row.key in error.keys:
            # Another process with this instance id wrote; nothing of the
            # batch took effect.
            _log.warning("The writer row changed; reading it again")
            self._row.forget()
            return self._count_disturbance(batch)
        culprits, others = batches.split_by_conflict(batch, error.keys)
        if not culprits:
            return await self._try_alone(batch, error)
        for member in culprits:
            _fail([member], errors.RowConflictError(_own_keys(member, error)))
        return others

    def _count_disturbance(
        self, batch: list[batches.Member]
    ) -> list[batches.Member]:
        """Gives up after several rounds in which the writer row changed."""
        self._disturbed_rounds += 1
        if self._disturbed_rounds < _MAX_ROUNDS_FOR_WRITER_ROW:
            return batch
        self._disturbed_rounds = 0
        _fail(
            batch,
            errors.StoreUnavailableError(
                "another process writes with the same instance id; give each "
                "process its own instance_id in the settings"
            ),
        )
        return []

    async def _try_alone(
        self, batch: list[batches.Member], error: errors.RowConflictError
    ) -> list[batches.Member]:
        """Writes members one by one if the answer names no known row."""
        if len(batch) == 1:
            _fail(batch, error)
            return []
        for member in batch:
            await self._settle([member])
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
