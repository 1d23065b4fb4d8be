"""Reads configuration versions and withdrawn keys from the table service."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import errors
from marigoldgap.config_store import encoding
from marigoldgap.config_store import interfaces
from marigoldgap.config_store import model
from marigoldgap.config_store import rows
from marigoldgap.config_store import version_changes

_PAGE_SIZE = 500


class Head(NamedTuple):
    """The head row, which names the newest version.

    Attributes:
        version: The newest version; 0 if there is none.
        row_version: Version of the head row, for compare-and-set.
    """

    version: int
    row_version: int


class ConfigReader:
    """Reads the configuration rows.

    Args:
        table: The table service.
    """

    def __init__(self, table: interfaces.Table) -> None:
        self._table = table

    async def head(self) -> Head:
        """Returns the head.

        Raises:
            errors.StoreUnavailableError: The table service did not answer.
        """
        row = await self._table.get(rows.HEAD)
        if row is None:
            return Head(0, 0)
        return Head(rows.head_version(row.value), row.version)

    async def head_if_changed(self, known: Head) -> Head | None:
        """Returns the head, or None if its row did not change."""
        result = await self._table.get_if_changed(rows.HEAD, known.row_version)
        if not result.changed:
            return None
        if result.row is None:
            return Head(0, 0)
        version = rows.head_version(result.row.value)
        return Head(version, result.row.version)

    async def versions(
        self, since: int, until: int
    ) -> list[model.ConfigVersion]:
        """Returns the versions after `since` up to and including `until`.

        If more versions are requested than one snapshot interval has, the
        list starts with the newest snapshot.
        """
        found: list[model.ConfigVersion] = []
        if until - since > rows.SNAPSHOT_EVERY:
            snapshot = await self._snapshot(rows.last_snapshot(until))
            if snapshot is not None:
                found.append(snapshot)
                since = snapshot.version
        while since < until:
            page = await self.history(since, min(_PAGE_SIZE, until - since))
            if not page:
                break
            found += page
            since = page[-1].version
        return found

    async def history(
        self, since: int, limit: int
    ) -> list[model.ConfigVersion]:
        """Returns up to `limit` versions after `since`, without snapshots."""
        after = rows.version_key(since)
        page = await self._table.scan(rows.VERSIONS, after, limit)
        return [
            encoding.from_value(row.value)
            for row in page
            if row.key != rows.HEAD
        ]

    async def configuration_at(self, version: int) -> model.Configuration:
        """Returns the configuration at a version.

        Raises:
            errors.StoreUnavailableError: The table service did not answer.
            errors.NotFoundError: Rows of this or an earlier version are
                missing.
        """
        configuration = model.EMPTY_CONFIGURATION
        for change in await self.versions(0, version):
            configuration = version_changes.apply_version(configuration, change)
        if configuration.version != version:
            raise errors.NotFoundError(f"version {version} is not stored")
        return configuration

    async def denied(self) -> list[str]:
        """Returns the ids of all withdrawn keys."""
        found: list[str] = []
        after = ""
        while True:
            page = await self._table.scan(rows.DENIED, after, _PAGE_SIZE)
            found += [row.key.removeprefix(rows.DENIED) for row in page]
            if len(page) < _PAGE_SIZE:
                return found
            after = page[-1].key

    async def _snapshot(self, version: int) -> model.ConfigVersion | None:
        row = await self._table.get(rows.snapshot_key(version))
        return None if row is None else encoding.from_value(row.value)
