"""Rows and transactions of the table service, in memory."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import sortedcontainers

MAX_TRANSACTION_ROWS = 500


class Row(NamedTuple):
    """A row and the version that wrote it."""

    value: Any
    version: int


class Conflict(NamedTuple):
    """Keys whose checks failed."""

    failed: list[str]


class TableState:
    """All rows; each applied transaction gets the next version."""

    def __init__(self) -> None:
        self._rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._version = 0

    def get(self, key: str) -> Row | None:
        """Returns a row, or None if there is none."""
        return self._rows.get(key)

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> list[tuple[str, Row]]:
        """Returns rows with a prefix in order of their keys.

        Args:
            prefix: Prefix of the keys.
            after: Key after which to start; empty to start at the first.
            limit: Maximum number of rows.
        """
        first = max(prefix, after)
        found = []
        for key in self._rows.irange(first):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            if key > after or not after:
                found.append((key, self._rows[key]))
        return found

    def commit(self, values: dict[str, Any]) -> int | Conflict:
        """Applies a transaction atomically if all its checks hold.

        Raises:
            ValueError: The transaction has too many rows.
        """
        checks = values.get("checks", [])
        puts = values.get("puts", [])
        deletes = values.get("deletes", [])
        if len(puts) + len(deletes) > MAX_TRANSACTION_ROWS:
            raise ValueError(
                f"transaction has {len(puts) + len(deletes)} rows, more than"
                f" {MAX_TRANSACTION_ROWS}"
            )
        failed = [
            check["key"]
            for check in checks
            if self._version_of(check["key"]) != check["version"]
        ]
        if failed:
            return Conflict(failed)
        self._version += 1
        for put in puts:
            self._rows[put["key"]] = Row(put["value"], self._version)
        for key in deletes:
            self._rows.pop(key, None)
        return self._version

    def _version_of(self, key: str) -> int:
        """Returns the version of a row, or 0 if there is none."""
        row = self._rows.get(key)
        return row.version if row else 0
