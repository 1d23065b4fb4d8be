"""Ordered, conditional writes of the leader.

Every transaction checks the versions of the election row and of the rows that
it writes. A transaction whose answer was lost therefore cannot take effect
after a later one, nor after another instance was elected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap.cell import records
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
# Pause before a row that the store rejected is written again, as its content may
# have shrunk.
_REJECTED_RETRY_S = 1.0

_Encoder = Callable[[], bytes | None]


class LeadershipLostError(store.StoreError):
    """This instance is no longer the leader: another one was elected."""

    code = "deposed"


class _Content(NamedTuple):
    """Content of a row in a transaction.

    Attributes:
        value: The content; None removes the row.
        number: Number of the latest scheduled write that it includes; 0 for an
            urgent row.
        encode: Returns the current content.
    """

    value: bytes | None
    number: int
    encode: _Encoder


class _Waiter(NamedTuple):
    """Waits for rows.

    Attributes:
        future: Done once the rows are stored.
        numbers: Numbers of the scheduled writes that are awaited, by row.
        ends_on_rejection: Whether a row that the store rejects is awaited no
            longer.
    """

    future: asyncio.Future[None]
    numbers: dict[store.RowKey, int]
    ends_on_rejection: bool

    def settle(self, row_key: store.RowKey, number: int) -> bool:
        """Handles the outcome of a write; returns whether the wait goes on.

        Args:
            row_key: The row.
            number: Number of the latest scheduled write that it included.
        """
        if self.numbers.get(row_key, 0) > number:
            return True
        self.numbers.pop(row_key, None)
        if not self.numbers and not self.future.done():
            self.future.set_result(None)
        return False


class Journal:
    """Writes rows; of each row, only the latest content is written.

    Args:
        rows: The store.
        election_row: The election row as this instance wrote it.
        versions: Versions of the rows as they were read after the election.
        on_confirmed: Receives the monotonic time, in seconds, at which each
            accepted heartbeat was sent, and the version of its row.
    """

    def __init__(
        self,
        rows: store.Store,
        election_row: store.Row,
        versions: dict[store.RowKey, int],
        on_confirmed: Callable[[float, int], None] = lambda *_: None,
    ) -> None:
        self._rows = rows
        self._election_row = election_row
        self._versions = versions
        self._on_confirmed = on_confirmed
        self._encoders: dict[store.RowKey, _Encoder] = {}
        # Written with the next transaction, whatever else is waiting.
        self._urgent: dict[store.RowKey, _Encoder] = {}
        self._dirty = asyncio.Event()
        # Number of the latest scheduled write of each row that is not stored.
        self._unstored: dict[store.RowKey, int] = {}
        self._latest_number = 0
        self._waiters: dict[store.RowKey, list[_Waiter]] = {}
        # Rows that the store rejected, with the timers of their next writes.
        # They are written alone.
        self._rejected: dict[store.RowKey, asyncio.TimerHandle] = {}

    @property
    def unstored_rows(self) -> Iterable[store.RowKey]:
        """Rows whose current content is not stored."""
        return self._unstored.keys()

    def schedule_write(self, row_key: store.RowKey, encode: _Encoder) -> None:
        """Schedules a write of a row, or its removal if `encode` returns None.

        Args:
            row_key: Key of the row.
            encode: Returns the content; called when the write starts.
        """
        self._latest_number += 1
        self._unstored[row_key] = self._latest_number
        self._encoders[row_key] = encode
        self._dirty.set()

    def schedule_urgent_write(
        self, row_key: store.RowKey, encode: _Encoder
    ) -> None:
        """Schedules a write that does not wait for those scheduled before it.

        Args:
            row_key: Key of the row.
            encode: Returns the content; called when the write starts.
        """
        self._urgent[row_key] = encode
        self._dirty.set()

    def stored(self, row_keys: Iterable[store.RowKey]) -> asyncio.Future[None]:
        """Returns a future that is done once the current rows are stored.

        A row that the store rejects is not stored, so nothing that depends on it
        may follow.
        """
        return self._wait(row_keys, ends_on_rejection=False)

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done once all scheduled rows are stored.

        Rows that the store rejects are left out.
        """
        return self._wait(
            self._unstored.keys() - self._rejected.keys(),
            ends_on_rejection=True,
        )

    def _wait(
        self, row_keys: Iterable[store.RowKey], ends_on_rejection: bool
    ) -> asyncio.Future[None]:
        future = asyncio.get_running_loop().create_future()
        numbers = {
            row_key: self._unstored[row_key]
            for row_key in row_keys
            if row_key in self._unstored
        }
        if not numbers:
            future.set_result(None)
        waiter = _Waiter(future, numbers, ends_on_rejection)
        for row_key in numbers:
            waiting = self._waiters.get(row_key, ())
            self._waiters[row_key] = [
                *(each for each in waiting if not each.future.done()),
                waiter,
            ]
        return future

    async def run(self) -> None:
        """Writes until another instance is elected.

        Raises:
            LeadershipLostError: Another instance was elected.
        """
        while True:
            await self._dirty.wait()
            await asyncio.sleep(_BATCH_WINDOW_S)
            encoders, self._encoders = self._encoders, {}
            rejected = {
                row_key: encoders.pop(row_key)
                for row_key in self._rejected.keys() & encoders.keys()
            }
            self._dirty.clear()
            # Urgent rows may arrive faster than a slow store writes them, so the
            # batch ends without waiting for the last of them.
            await self._write(self._encode_chunk(encoders))
            while encoders:
                await self._write(self._encode_chunk(encoders))
            for row_key, encode in rejected.items():
                await self._write({row_key: self._encode(row_key, encode)})

    def _encode(self, row_key: store.RowKey, encode: _Encoder) -> _Content:
        return _Content(encode(), self._unstored.get(row_key, 0), encode)

    def _encode_chunk(
        self, encoders: dict[store.RowKey, _Encoder]
    ) -> dict[store.RowKey, _Content]:
        """Takes the urgent rows and as many others as one transaction holds."""
        urgent, self._urgent = self._urgent, {}
        contents = {
            row_key: self._encode(row_key, encode)
            for row_key, encode in urgent.items()
        }
        size = 0
        while (
            encoders
            and len(contents) < _ROWS_PER_TRANSACTION
            and size < _MAX_TRANSACTION_BYTES
        ):
            row_key = next(iter(encoders))
            content = self._encode(row_key, encoders.pop(row_key))
            contents[row_key] = content
            size += len(content.value or b"")
        return contents

    async def _write(self, contents: dict[store.RowKey, _Content]) -> None:
        """Writes rows in one transaction; repeats it until it is applied."""
        first_sent_s = clock.now_s()
        while contents:
            sent_s = clock.now_s()
            try:
                version = await self._rows.transact(self._transaction(contents))
            except store.StoreRejectedError as error:
                await self._write_separately(contents, error)
                return
            except store.CheckFailedError as error:
                if not self._adopt_versions(contents, error.rows):
                    continue
                # The first attempt may be the one that was applied.
                self._mark_stored(contents, first_sent_s)
                return
            except store.StoreError as error:
                _log.warning(
                    "write_failed", rows=len(contents), cause=str(error)
                )
                await asyncio.sleep(_RETRY_S)
                continue
            for row_key in contents:
                self._versions[row_key] = version
            self._mark_stored(contents, sent_s)
            return

    def _mark_stored(
        self, contents: dict[store.RowKey, _Content], sent_s: float
    ) -> None:
        """Completes the waits for the rows of a transaction.

        Only heartbeats confirm the leader: other instances see them.
        """
        if records.HEARTBEAT in contents:
            self._on_confirmed(sent_s, self._versions[records.HEARTBEAT])
        for row_key, content in contents.items():
            if row_key in self._rejected:
                self._rejected.pop(row_key).cancel()
            if self._unstored.get(row_key) == content.number:
                del self._unstored[row_key]
            remaining = [
                waiter
                for waiter in self._waiters.pop(row_key, ())
                if waiter.settle(row_key, content.number)
            ]
            if remaining:
                self._waiters[row_key] = remaining

    async def _write_separately(
        self,
        contents: dict[store.RowKey, _Content],
        error: store.StoreRejectedError,
    ) -> None:
        """Writes the rows of a rejected transaction one by one.

        A row that the store rejects by itself is written again later: repeating
        it at once would hold up all other rows, with the heartbeat among them.
        """
        if len(contents) > 1:
            for row_key, content in contents.items():
                await self._write({row_key: content})
            return
        for row_key, content in contents.items():
            _log.error(
                "row_rejected",
                table=row_key.table,
                key=row_key.key,
                bytes=len(content.value or b""),
                cause=str(error),
            )
            if content.number:
                self._retry_later(row_key, content.encode)
                for waiter in self._waiters.get(row_key, ()):
                    if waiter.ends_on_rejection:
                        waiter.settle(row_key, content.number)

    def _retry_later(self, row_key: store.RowKey, encode: _Encoder) -> None:
        if row_key in self._rejected:
            self._rejected[row_key].cancel()
        self._rejected[row_key] = asyncio.get_running_loop().call_later(
            _REJECTED_RETRY_S, self._retry_rejected, row_key, encode
        )

    def _retry_rejected(self, row_key: store.RowKey, encode: _Encoder) -> None:
        # A later write may have been scheduled meanwhile.
        self._encoders.setdefault(row_key, encode)
        self._dirty.set()

    def _transaction(
        self, contents: dict[store.RowKey, _Content]
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
            (row_key, content.value)
            for row_key, content in contents.items()
            if content.value is not None
        ]
        removals = [
            row_key
            for row_key, content in contents.items()
            if content.value is None
        ]
        return store.Transaction(tuple(checks), tuple(writes), tuple(removals))

    def _adopt_versions(
        self,
        contents: dict[store.RowKey, _Content],
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
        for row_key, content in contents.items():
            row = current.get(row_key)
            found = row.value if row is not None else None
            self._versions[row_key] = row.version if row is not None else 0
            is_stored = is_stored and found == content.value
        return is_stored
