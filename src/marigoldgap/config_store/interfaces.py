"""What the configuration needs from other packages."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

from marigoldgap.config_store import model
from marigoldgap.table_service import model as table_service_model
from marigoldgap.table_service import table


class Table(Protocol):
    """Reads rows; `table_service.table.TableClient` does so."""

    async def get(self, key: str) -> table_service_model.Row | None:
        """Returns a row, or None if there is none."""

    async def get_if_changed(
        self, key: str, known_version: int
    ) -> table.ConditionalRow:
        """Reads a row unless it still has the known version."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> list[table_service_model.Row]:
        """Returns rows in order of their keys."""


class Committer(Protocol):
    """Writes rows; `table_service.committer.GroupCommitter` does so."""

    async def commit(self, transaction: table_service_model.Transaction) -> int:
        """Commits a transaction and returns its version."""


class Peers(Protocol):
    """Other entry instances that may have a configuration."""

    async def fetch_versions(self, since: int) -> Sequence[model.ConfigVersion]:
        """Returns versions above `since`; empty if no peer has any."""

    async def fetch_denied(self) -> Iterable[str]:
        """Returns the withdrawn key ids that peers know."""


class ConfigListener(Protocol):
    """Learns of changes; calls come from the event loop."""

    def config_changed(self, versions: Sequence[model.ConfigVersion]) -> None:
        """Versions were adopted; they may be passed on to peers."""

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Keys were withdrawn that were not known as withdrawn before."""


class InstanceSource(Protocol):
    """The platform's list of instances."""

    def entries(
        self, zone: str | None = None
    ) -> tuple[table_service_model.InstanceEntry, ...]:
        """Returns the entry instances of one zone or of all zones."""
