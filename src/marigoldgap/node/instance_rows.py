"""Instances announce themselves in the store; the elected one finds them."""

from __future__ import annotations

import asyncio

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import peers
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.web import client

_log = decision_log.DecisionLogger("instances")

# Interval at which the elected instance reads the list.
_READ_S = 4.0
# Pause after a failed call.
_RETRY_S = 0.3


async def announce(rows: store.Store, name: str, address: str) -> None:
    """Writes the address of this instance; tries until it is stored."""
    place = store.RowKey(records.INSTANCES, "", name)
    content = json_object.encode({"address": address})
    transaction = store.Transaction((), ((place, content),))
    while True:
        try:
            await rows.transact(transaction)
        except store.StoreError as error:
            _log.warning("announce_failed", cause=str(error))
            await asyncio.sleep(_RETRY_S)
        else:
            return


class InstanceList:
    """The other instances, as lanes for advice.

    Args:
        rows: The store.
        pool: Connections.
        own_name: Name of this instance.
    """

    def __init__(
        self, rows: store.Store, pool: client.HttpPool, own_name: str
    ) -> None:
        self.peers: list[peers.PeerClient] = []
        self._rows = rows
        self._pool = pool
        self._own_name = own_name

    async def follow(self) -> None:
        """Reads the list again and again, until cancelled."""
        while True:
            try:
                page = await store.read_all(self._rows, records.INSTANCES, "")
            except store.StoreError as error:
                _log.warning("instances_unread", cause=str(error))
                await asyncio.sleep(_RETRY_S)
                continue
            self.peers = self._decode(page)
            await asyncio.sleep(_READ_S)

    def _decode(self, page: store.Page) -> list[peers.PeerClient]:
        """Returns the other instances, the latest to start first.

        In a rolling restart these are the ones that will not stop soon.
        """
        found = []
        for row in sorted(page.rows, key=lambda row: -row.version):
            if row.row_key.key == self._own_name:
                continue
            try:
                address = records.decode(row.value)["address"]
            except (errors.MarigoldgapError, KeyError) as error:
                _log.warning(
                    "instance_row_unusable",
                    row=row.row_key.key,
                    cause=str(error),
                )
                continue
            found.append(peers.PeerClient(self._pool, address, row.row_key.key))
        return found
