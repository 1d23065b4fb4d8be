"""Creates and connects the clients of the platform."""

from __future__ import annotations

import random
from typing import NamedTuple

from marigoldgap import http_client
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import committer
from marigoldgap.table_service import instances
from marigoldgap.table_service import objects
from marigoldgap.table_service import service
from marigoldgap.table_service import table
from marigoldgap.table_service import writer_row

# Writes need one connection, since they are serial; the others are for reads.
_CONNECTIONS = 64


class Platform(NamedTuple):
    """All clients of the platform."""

    table: table.TableClient
    committer: committer.GroupCommitter
    objects: objects.ObjectClient
    instances: instances.InstanceList
    client: http_client.HttpClient
    services: tuple[service.PlatformService, ...]

    async def close(self) -> None:
        """Finishes writes under way and closes all connections."""
        await self.committer.close()
        for each in self.services:
            await each.close()
        await self.client.close()


def build(
    settings: settings_model.Settings, source: random.Random | None = None
) -> Platform:
    """Returns the connected clients; nothing is sent yet.

    Args:
        settings: Settings of this instance.
        source: Source of random delays; tests pass one with a fixed seed.
    """
    source = source or random.Random()
    connections = http_client.HttpClient(_CONNECTIONS)
    platform = settings.platform

    def connect(name: str, address: str, probe: str) -> service.PlatformService:
        return service.PlatformService(
            settings, name, address, probe, connections, source
        )

    rows = connect("table service", platform.table_address, table.PROBE_PATH)
    store = connect("object store", platform.object_address, objects.PROBE_PATH)
    listing = connect(
        "instance list", platform.list_address, instances.PROBE_PATH
    )
    client = table.TableClient(rows)
    row = writer_row.WriterRow(settings, client, source)
    return Platform(
        client,
        committer.GroupCommitter(settings, client, row),
        objects.ObjectClient(store),
        instances.InstanceList(settings, listing),
        connections,
        (rows, store, listing),
    )
