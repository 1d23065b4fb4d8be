"""Interface of the shared store, and what it answers."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from marigoldgap import errors


class RowKey(NamedTuple):
    """Place of a row; rows of one partition are written in order."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A stored row; a removed row in a change list has no value."""

    place: RowKey
    value: bytes | None
    version: int


class RowCheck(NamedTuple):
    """A row and the version that it must have; 0: it must not exist."""

    place: RowKey
    version: int


class Page(NamedTuple):
    """Rows of one moment, and the version of the store at that moment."""

    rows: tuple[Row, ...]
    has_more: bool
    version: int


class Transaction(NamedTuple):
    """Writes that are applied together if all checks hold."""

    checks: tuple[RowCheck, ...]
    writes: tuple[tuple[RowKey, bytes], ...]
    removals: tuple[RowKey, ...] = ()


class StoreError(errors.MarigoldgapError):
    """A call to the store failed."""

    code = "store-error"


class StoreRefusedError(StoreError):
    """The store is busy or unavailable and did nothing."""

    code = "store-refused"
    status = 503
    ran = errors.Ran.NO


class StoreUnknownError(StoreError):
    """The store did not answer; the call may take effect, also later."""

    code = "store-unknown"
    status = 504


class CheckFailedError(StoreError):
    """A check of the transaction does not hold; nothing was written."""

    code = "store-check-failed"
    status = 409
    ran = errors.Ran.NO

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__("a row has another version")
        self.rows = rows


class HistoryLostError(StoreError):
    """The changes since the given version are no longer kept."""

    code = "store-history-lost"
    status = 410
    ran = errors.Ran.NO


class Store(Protocol):
    """Transactional tables of rows."""

    async def transact(self, transaction: Transaction) -> int:
        """Applies a transaction; returns its version."""

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
    ) -> Page:
        """Reads a range of keys without `end`, or a whole partition."""

    async def changes(self, table: str, after: int, wait_ms: int) -> Page:
        """Waits for rows of a table that changed after a version."""


async def read_all(store: Store, table: str, partition: str) -> Page:
    """Reads a whole partition, page by page.

    Returns:
        All rows, with the version of the first page: changes after it are not
        missed by a reader that continues from there.
    """
    page = await store.read(table, partition)
    rows = list(page.rows)
    version = page.version
    while page.has_more:
        page = await store.read(
            table, partition, first=rows[-1].place.key + "\0"
        )
        rows.extend(page.rows)
    return Page(tuple(rows), False, version)
