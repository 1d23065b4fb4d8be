"""Interfaces that the configuration store requires from other packages."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from marigoldgap.config_store import model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.table_service import table


class Table(Protocol):
    """Reads rows; implemented by `table_service.table.TableClient`."""

    async def get(self, key: str) -> table_service_model.Row | None:
        """Returns a row, or None if it does not exist."""

    async def get_if_changed(
        self, key: str, known_version: int
    ) -> table.ConditionalRow:
        """Returns a row only if its version differs from the known one."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[table_service_model.Row]:
        """Returns rows with a key prefix, in the order of their keys.

        Args:
            prefix: Prefix of the keys.
            after: Only rows with higher keys are returned.
            limit: Largest number of rows.
        """


class Committer(Protocol):
    """Writes rows; implemented by `table_service.committer.GroupCommitter`."""

    async def commit(self, transaction: table_service_model.Transaction) -> int:
        """Commits a transaction and returns the version that it got."""


class Peers(Protocol):
    """Other entry instances, as a source of the configuration."""

    async def fetch_versions(self, since: int) -> Sequence[model.ConfigVersion]:
        """Returns the versions after `since`; empty if no peer has any."""

    async def fetch_denied(self) -> Iterable[str]:
        """Returns the ids of withdrawn keys that peers know."""


class ConfigListener(Protocol):
    """Receives changes of the configuration, on the event loop."""

    def config_changed(self, versions: Sequence[model.ConfigVersion]) -> None:
        """Versions were adopted and may be forwarded to peers."""

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Keys were added to the deny set; each key is reported once."""


class InstanceSource(Protocol):
    """The platform's list of instances."""

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances of one zone or of all zones."""
