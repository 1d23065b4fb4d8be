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

# Writes are serial and use one connection; the others serve reads.
_MAX_CONNECTIONS = 64


class Platform(NamedTuple):
    """All clients of the platform."""

    table: table.TableClient
    committer: committer.GroupCommitter
    objects: objects.ObjectClient
    instances: instances.InstanceList
    client: http_client.HttpClient
    services: tuple[service.PlatformService, ...]

    async def close(self) -> None:
        """Waits for in-flight writes and closes all connections."""
        await self.committer.close()
        for each in self.services:
            await each.close()
        await self.client.close()


def build(
    settings: settings_model.Settings, source: random.Random | None = None
) -> Platform:
    """Returns the clients of the platform; sends no request.

    Args:
        settings: Settings of this instance.
        source: Random generator for delays; tests pass a seeded one.
    """
    source = source or random.Random()
    connections = http_client.HttpClient(_MAX_CONNECTIONS)
    platform = settings.platform

    def connect(name: str, address: str, probe: str) -> service.PlatformService:
        return service.PlatformService(
            settings, name, address, probe, connections, source
        )

    table_service = connect(
        "table service", platform.table_address, table.PROBE_PATH
    )
    object_store = connect(
        "object store", platform.object_address, objects.PROBE_PATH
    )
    instance_service = connect(
        "instance list", platform.list_address, instances.PROBE_PATH
    )
    client = table.TableClient(table_service)
    writer = writer_row.WriterRow(settings, client, source)
    return Platform(
        client,
        committer.GroupCommitter(settings, client, writer),
        objects.ObjectClient(object_store),
        instances.InstanceList(settings, instance_service),
        connections,
        (table_service, object_store, instance_service),
    )
