"""Client of the transactional table service."""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from marigoldgap import errors
from marigoldgap.table_service import model
from marigoldgap.table_service import service

PROBE_PATH = "/v1/rows?prefix=probe/&limit=1"
MAX_ROWS_PER_TRANSACTION = 500

_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_CONFLICT = 409


class ConditionalRow(NamedTuple):
    """Result of a conditional read.

    Attributes:
        changed: Whether the version of the row differs from the known one.
        row: The row if it changed; None if it is unchanged or absent.
    """

    changed: bool
    row: model.Row | None


class TableClient:
    """Reads rows and commits transactions, one HTTP call each.

    Args:
        table: The table service.
    """

    def __init__(self, table: service.PlatformService) -> None:
        self._table = table

    @property
    def is_down(self) -> bool:
        """Whether the table service is known to be down."""
        return self._table.is_down

    def raise_if_down(self) -> None:
        """Rejects a call during an outage.

        Raises:
            errors.StoreUnavailableError: The table service is known to be
                down.
        """
        self._table.raise_if_down()

    async def get(
        self, key: str, during_outage: bool = False
    ) -> model.Row | None:
        """Returns a row, or None if it does not exist.

        Args:
            key: Key of the row.
            during_outage: Whether to call even in a known outage.

        Raises:
            errors.StoreUnavailableError: The table service did not answer.
        """
        answer = await self._table.read(
            _row_path(key), during_outage=during_outage
        )
        if answer.status == _NOT_FOUND:
            return None
        _expect_ok(answer.status)
        return _parse_row(key, service.decode(answer))

    async def get_if_changed(
        self, key: str, known_version: int
    ) -> ConditionalRow:
        """Reads a row only if its version differs from the known one.

        Raises:
            errors.StoreUnavailableError: The table service did not answer.
        """
        headers = {"if-none-match": str(known_version)}
        answer = await self._table.read(_row_path(key), headers)
        if answer.status == _NOT_MODIFIED:
            return ConditionalRow(False, None)
        if answer.status == _NOT_FOUND:
            return ConditionalRow(known_version != model.ABSENT_VERSION, None)
        _expect_ok(answer.status)
        return ConditionalRow(True, _parse_row(key, service.decode(answer)))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[model.Row]:
        """Returns rows with a key prefix in order of their keys.

        Args:
            prefix: Prefix of the keys.
            after: Exclusive lower bound of the keys.
            limit: Maximum number of rows to return.

        Raises:
            errors.StoreUnavailableError: The table service did not answer.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        answer = await self._table.read(f"/v1/rows?{query}")
        _expect_ok(answer.status)
        try:
            return [
                _parse_row(row["key"], row)
                for row in service.decode(answer)["rows"]
            ]
        except (KeyError, TypeError) as error:
            raise errors.ProtocolError(f"bad rows: {error}") from error

    async def commit(
        self, transaction: model.Transaction, during_outage: bool = False
    ) -> int:
        """Commits a transaction with one call and returns its version.

        Args:
            transaction: Checks and writes to commit.
            during_outage: Whether to call even in a known outage.

        Raises:
            errors.RowConflictError: A check failed; nothing was written.
            errors.StoreUnavailableError: Nothing was written.
            errors.StoreOutcomeUnknownError: It may have been written.
        """
        body = _transaction_body(transaction)
        answer = await self._table.write(
            "POST", "/v1/transactions", body, during_outage
        )
        if answer.status == _CONFLICT:
            failed = service.decode(answer).get("failed", [])
            raise errors.RowConflictError(tuple(str(key) for key in failed))
        if answer.status != _OK:
            raise errors.ProtocolError(
                f"the table service answered {answer.status}"
            )
        try:
            return int(service.decode(answer)["version"])
        except (errors.ProtocolError, KeyError, TypeError) as error:
            raise errors.StoreOutcomeUnknownError(
                f"the table service sent a bad answer: {error}"
            ) from error


def _row_path(key: str) -> str:
    return "/v1/rows/" + urllib.parse.quote(key, safe="/")


def _parse_row(key: str, content: Mapping[str, Any]) -> model.Row:
    try:
        return model.Row(key, content["value"], int(content["version"]))
    except (KeyError, TypeError) as error:
        raise errors.ProtocolError(f"bad row {key}: {error}") from error


def _transaction_body(transaction: model.Transaction) -> bytes:
    content = {
        "checks": [check._asdict() for check in transaction.checks],
        "puts": [put._asdict() for put in transaction.puts],
        "deletes": list(transaction.deletes),
    }
    return json.dumps(content, separators=(",", ":")).encode()


def _expect_ok(status: int) -> None:
    if status != _OK:
        raise errors.ProtocolError(f"the table service answered {status}")
