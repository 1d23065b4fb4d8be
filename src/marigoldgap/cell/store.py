"""Interface of the shared transactional store, with its data and errors."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from marigoldgap import errors


class RowKey(NamedTuple):
    """Key of a row; transactions on one partition are applied in order."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A stored row.

    Attributes:
        row_key: Key of the row.
        value: Content; None if a change feed reports the row as removed.
        version: Version of the store in which the row was last written.
    """

    row_key: RowKey
    value: bytes | None
    version: int


class RowCheck(NamedTuple):
    """Condition on the version of a row; 0: the row must not exist."""

    row_key: RowKey
    version: int


class Page(NamedTuple):
    """Consistent snapshot of rows, with the version of the store.

    Attributes:
        rows: The rows.
        has_more: Whether the range has further rows.
        version: Version of the store.
        read_s: Monotonic time of this instance, in seconds, at or after which the
            store read the rows; None if unknown.
    """

    rows: tuple[Row, ...]
    has_more: bool
    version: int
    read_s: float | None = None


class Transaction(NamedTuple):
    """Writes and removals that are applied atomically if all checks hold."""

    checks: tuple[RowCheck, ...]
    writes: tuple[tuple[RowKey, bytes], ...]
    removals: tuple[RowKey, ...] = ()


class StoreError(errors.MarigoldgapError):
    """A call to the store failed."""

    code = "store-error"


class StoreRefusedError(StoreError):
    """The store is busy or unavailable and did not apply the call."""

    code = "store-refused"
    status = 503
    ran = errors.Ran.NO


class StoreUnknownError(StoreError):
    """There is no usable answer; the call may take effect now or later."""

    code = "store-unknown"
    status = 504


class UnusableAnswerError(StoreUnknownError):
    """The answer arrived and is malformed; the call may have taken effect."""


class StoreRejectedError(StoreError):
    """The call is invalid, for example because a value is too long."""

    code = "store-rejected"
    status = 500
    ran = errors.Ran.NO


class CheckFailedError(StoreError):
    """A check of the transaction failed; nothing was written."""

    code = "store-check-failed"
    status = 409
    ran = errors.Ran.NO

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__("a checked row has another version than expected")
        self.rows = rows


class HistoryLostError(StoreError):
    """The store no longer keeps all changes since the given version."""

    code = "store-history-lost"
    status = 410
    ran = errors.Ran.NO


class Store(Protocol):
    """Transactional store of tables with rows."""

    async def transact(self, transaction: Transaction) -> int:
        """Applies a transaction; returns the version of its writes.

        Raises:
            CheckFailedError: A check failed; nothing was written.
            StoreRefusedError: The transaction was not applied.
            StoreUnknownError: The transaction may be applied now or later.
        """

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        max_rows: int = 0,
    ) -> Page:
        """Reads the rows whose keys are in a range.

        Args:
            table: The table.
            partition: The partition.
            first: First key of the range; empty for the start.
            end: Exclusive end of the range; empty for the end.
            max_rows: Maximum number of rows; 0 for the maximum of the store.
        """

    async def changes(self, table: str, after: int, wait_ms: int) -> Page:
        """Waits up to `wait_ms` for rows that changed after a version.

        Raises:
            HistoryLostError: The changes since that version are not all kept.
            UnusableAnswerError: The answer is malformed.
            StoreError: The call failed in another way.
        """
