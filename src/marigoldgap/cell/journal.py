"""Ordered writes of the elected instance.

Every transaction checks the election row and the versions of the rows that it
writes. A transaction whose answer was lost therefore cannot take effect after
a later one, nor after another instance was elected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigoldgap import decision_log
from marigoldgap.cell import store

_log = decision_log.DecisionLogger("journal")

# A transaction holds at most 100 entries; each row needs a check and a write,
# and the election row needs a check.
_ROWS_PER_TRANSACTION = 48
# Shortest time between transactions; joins the writes of many ends.
_GATHER_S = 0.02
# Pause after a failed transaction; a few of them and the limits of their calls
# must fit into the time after which the beat counts as standing still.
_RETRY_S = 0.03


class DeposedError(store.StoreError):
    """Another instance was elected."""

    code = "deposed"


class Journal:
    """Writes documents; each is written in its newest form only.

    Args:
        rows: The store.
        election: The election row of this instance.
        versions: Versions of rows as they were read at the election.
    """

    def __init__(
        self,
        rows: store.Store,
        election: store.Row,
        versions: dict[store.RowKey, int],
    ) -> None:
        self._rows = rows
        self._election = election
        self._versions = versions
        self._documents: dict[store.RowKey, Callable[[], bytes | None]] = {}
        self._dirty = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []
        self._is_writing = False

    def mark(
        self, place: store.RowKey, encode: Callable[[], bytes | None]
    ) -> None:
        """Notes that a row has to be written; None removes the row."""
        self._documents[place] = encode
        self._dirty.set()

    def flushed(self) -> asyncio.Future[None]:
        """Returns a future that is done when all marked rows are stored."""
        future = asyncio.get_running_loop().create_future()
        if self._documents or self._is_writing:
            # The round after the one that is being written completes it.
            self._waiters.append(future)
            self._dirty.set()
        else:
            future.set_result(None)
        return future

    async def run(self) -> None:
        """Writes until another instance is elected.

        Raises:
            DeposedError: Another instance was elected.
        """
        while True:
            await self._dirty.wait()
            await asyncio.sleep(_GATHER_S)
            waiters, self._waiters = self._waiters, []
            documents, self._documents = self._documents, {}
            self._dirty.clear()
            places = list(documents)
            self._is_writing = True
            for start in range(0, len(places), _ROWS_PER_TRANSACTION):
                chunk = places[start : start + _ROWS_PER_TRANSACTION]
                await self._write({place: documents[place] for place in chunk})
            self._is_writing = False
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _write(
        self, documents: dict[store.RowKey, Callable[[], bytes | None]]
    ) -> None:
        contents = {place: encode() for place, encode in documents.items()}
        while True:
            try:
                version = await self._rows.transact(self._transaction(contents))
            except store.CheckFailedError as error:
                if not self._settle(contents, error.rows):
                    continue
                return
            except store.StoreError as error:
                _log.warning(
                    "write_failed", rows=len(contents), cause=str(error)
                )
                await asyncio.sleep(_RETRY_S)
                continue
            for place in contents:
                self._versions[place] = version
            return

    def _transaction(
        self, contents: dict[store.RowKey, bytes | None]
    ) -> store.Transaction:
        checks = [
            store.RowCheck(self._election.place, self._election.version),
            *(
                store.RowCheck(place, self._versions.get(place, 0))
                for place in contents
            ),
        ]
        writes = [
            (place, value)
            for place, value in contents.items()
            if value is not None
        ]
        removals = [place for place, value in contents.items() if value is None]
        return store.Transaction(tuple(checks), tuple(writes), tuple(removals))

    def _settle(
        self,
        contents: dict[store.RowKey, bytes | None],
        rows: tuple[store.Row, ...],
    ) -> bool:
        """Reads current rows; returns whether the contents are stored.

        Raises:
            DeposedError: Another instance was elected.
        """
        current = {row.place: row for row in rows}
        election = current.get(self._election.place)
        if election is None or election.version != self._election.version:
            raise DeposedError("another instance was elected")
        is_stored = True
        for place, value in contents.items():
            row = current.get(place)
            found = row.value if row is not None else None
            self._versions[place] = row.version if row is not None else 0
            is_stored = is_stored and found == value
        return is_stored
