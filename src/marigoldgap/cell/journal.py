"""Ordered, conditional writes of the leader.

Every transaction checks the versions of the election row and of the rows that
it writes. A transaction whose answer was lost therefore cannot take effect
after a later one, nor after another instance was elected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import decision_log
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("journal")

# The store allows 100 entries in a transaction: each row needs a check and a
# write, and the election row needs a check.
_ROWS_PER_TRANSACTION = 49
# The store accepts 1 MB for a transaction, with its values in Base64; one more
# row of up to 64 KiB may follow the last one below this limit.
_MAX_TRANSACTION_BYTES = 500_000
# Time for which writes are collected into a batch; many runs end together.
_BATCH_WINDOW_S = 0.02
# Pause after a failed transaction. A few retries with their call timeouts must
# fit into the heartbeat timeout of the election.
_RETRY_S = 0.03


class LeadershipLostError(store.StoreError):
    """This instance is no longer the leader: another one was elected."""

    code = "deposed"


class Journal:
    """Writes rows; of each row, only the latest content is written.

    Args:
        rows: The store.
        election_row: The election row as this instance wrote it.
        versions: Versions of the rows as they were read after the election.
    """

    def __init__(
        self,
        rows: store.Store,
        election_row: store.Row,
        versions: dict[store.RowKey, int],
    ) -> None:
        self._rows = rows
        self._election_row = election_row
        self._versions = versions
        self._encoders: dict[store.RowKey, Callable[[], bytes | None]] = {}
        # Written with the next transaction, whatever else is waiting.
        self._urgent: dict[store.RowKey, Callable[[], bytes | None]] = {}
        self._dirty = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._is_writing = False

    def schedule_write(
        self, row_key: store.RowKey, encode: Callable[[], bytes | None]
    ) -> None:
        """Schedules a write of a row, or its removal if `encode` returns None.

        Args:
            row_key: Key of the row.
            encode: Returns the content; called when the write starts.
        """
        self._encoders[row_key] = encode
        self._dirty.set()

    def schedule_urgent_write(
        self, row_key: store.RowKey, encode: Callable[[], bytes]
    ) -> None:
        """Schedules a write that does not wait for those scheduled before it.

        Args:
            row_key: Key of the row.
            encode: Returns the content; called when the write starts.
        """
        self._urgent[row_key] = encode
        self._dirty.set()

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done once all scheduled rows are stored."""
        future = asyncio.get_running_loop().create_future()
        if self._encoders or self._is_writing:
            # Completed by the batch after the one that is being written.
            self._waiters.append(future)
            self._dirty.set()
        else:
            future.set_result(None)
        return future

    async def run(self) -> None:
        """Writes until another instance is elected.

        Raises:
            LeadershipLostError: Another instance was elected.
        """
        while True:
            await self._dirty.wait()
            await asyncio.sleep(_BATCH_WINDOW_S)
            waiters, self._waiters = self._waiters, []
            encoders, self._encoders = self._encoders, {}
            self._dirty.clear()
            self._is_writing = True
            # Urgent rows may arrive faster than a slow store writes them, so the
            # batch ends without waiting for the last of them.
            await self._write(self._encode_chunk(encoders))
            while encoders:
                await self._write(self._encode_chunk(encoders))
            self._is_writing = False
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _encode_chunk(
        self, encoders: dict[store.RowKey, Callable[[], bytes | None]]
    ) -> dict[store.RowKey, bytes | None]:
        """Takes the urgent rows and as many others as one transaction holds."""
        urgent, self._urgent = self._urgent, {}
        contents = {row_key: encode() for row_key, encode in urgent.items()}
        size = 0
        while (
            encoders
            and len(contents) < _ROWS_PER_TRANSACTION
            and size < _MAX_TRANSACTION_BYTES
        ):
            row_key = next(iter(encoders))
            contents[row_key] = encoders.pop(row_key)()
            size += len(contents[row_key] or b"")
        return contents

    async def _write(self, contents: dict[store.RowKey, bytes | None]) -> None:
        """Writes rows in one transaction; repeats it until it is applied."""
        while contents:
            try:
                version = await self._rows.transact(self._transaction(contents))
            except store.StoreRejectedError as error:
                await self._write_separately(contents, error)
                return
            except store.CheckFailedError as error:
                if not self._adopt_versions(contents, error.rows):
                    continue
                return
            except store.StoreError as error:
                _log.warning(
                    "write_failed", rows=len(contents), cause=str(error)
                )
                await asyncio.sleep(_RETRY_S)
                continue
            for row_key in contents:
                self._versions[row_key] = version
            return

    async def _write_separately(
        self,
        contents: dict[store.RowKey, bytes | None],
        error: store.StoreRejectedError,
    ) -> None:
        """Writes the rows of a rejected transaction one by one.

        A row that the store rejects by itself is dropped: repeating it would
        hold up all other rows, with the heartbeat among them.
        """
        if len(contents) > 1:
            for row_key, value in contents.items():
                await self._write({row_key: value})
            return
        for row_key, value in contents.items():
            _log.error(
                "row_rejected",
                table=row_key.table,
                key=row_key.key,
                bytes=len(value or b""),
                cause=str(error),
            )

    def _transaction(
        self, contents: dict[store.RowKey, bytes | None]
    ) -> store.Transaction:
        checks = [
            store.RowCheck(
                self._election_row.row_key, self._election_row.version
            ),
            *(
                store.RowCheck(row_key, self._versions.get(row_key, 0))
                for row_key in contents
            ),
        ]
        writes = [
            (row_key, value)
            for row_key, value in contents.items()
            if value is not None
        ]
        removals = [
            row_key for row_key, value in contents.items() if value is None
        ]
        return store.Transaction(tuple(checks), tuple(writes), tuple(removals))

    def _adopt_versions(
        self,
        contents: dict[store.RowKey, bytes | None],
        rows: tuple[store.Row, ...],
    ) -> bool:
        """Adopts the current row versions after a failed check.

        Returns:
            Whether the current rows already have the contents, so that an
            earlier attempt whose answer was lost was applied.

        Raises:
            LeadershipLostError: Another instance was elected.
        """
        current = {row.row_key: row for row in rows}
        election_row = current.get(self._election_row.row_key)
        if (
            election_row is None
            or election_row.version != self._election_row.version
        ):
            raise LeadershipLostError(
                "the election row has changed: another instance was elected"
            )
        is_stored = True
        for row_key, value in contents.items():
            row = current.get(row_key)
            found = row.value if row is not None else None
            self._versions[row_key] = row.version if row is not None else 0
            is_stored = is_stored and found == value
        return is_stored
