"""Registration of instances in the store, and their discovery by the leader."""

from __future__ import annotations

import asyncio

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import peers
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.cell import table_reader
from marigoldgap.web import client
from marigoldgap.web import request_heads

_log = decision_log.DecisionLogger("instances")

# Interval at which the leader reads the registered instances.
_POLL_INTERVAL_S = 4.0
# Delay before a failed call is repeated.
_RETRY_DELAY_S = 0.3


async def register(rows: store.Store, name: str, address: str) -> None:
    """Stores the address of this instance; retries until it succeeds.

    Each write has a condition on the row, so that a late one of a former process
    does not replace the address of this one.

    Args:
        rows: The store.
        name: Name of this instance.
        address: `ip:port` for calls of the other instances.
    """
    row_key = store.RowKey(records.INSTANCES, "", name)
    content = json_object.encode({"address": address})
    version = 0
    may_be_stored = False
    while True:
        transaction = store.Transaction(
            (store.RowCheck(row_key, version),), ((row_key, content),)
        )
        try:
            await rows.transact(transaction)
        except store.CheckFailedError as error:
            found = {row.row_key: row for row in error.rows}.get(row_key)
            if may_be_stored and found is not None and found.value == content:
                return
            former_version = version
            version = 0 if found is None else found.version
            if version == former_version:
                await asyncio.sleep(_RETRY_DELAY_S)
        except store.StoreError as error:
            may_be_stored |= isinstance(error, store.StoreUnknownError)
            _log.warning("registration_failed", cause=str(error))
            await asyncio.sleep(_RETRY_DELAY_S)
        else:
            return


class InstanceList:
    """The other registered instances, which can relay calls for advice.

    Args:
        reader: Reads the table of instances.
        pool: HTTP connection pool.
        own_name: Name of this instance.

    Attributes:
        peers: Clients of the other instances, the latest registered first.
        is_read: Whether they were read since the latest call of `poll`.
    """

    def __init__(
        self,
        reader: table_reader.TableReader,
        pool: client.HttpPool,
        own_name: str,
    ) -> None:
        self.peers: list[peers.PeerClient] = []
        self.is_read = False
        self._reader = reader
        self._pool = pool
        self._own_name = own_name

    async def poll(self) -> None:
        """Polls the registered instances until cancelled."""
        self.is_read = False
        while True:
            page = await self._reader.read(records.INSTANCES, "")
            self.peers = self._decode(page)
            self.is_read = True
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _decode(self, page: store.Page) -> list[peers.PeerClient]:
        """Returns the other instances, the latest registered first.

        In a rolling restart, the latest registered instances have already
        restarted and keep running.
        """
        found = []
        for row in sorted(page.rows, key=lambda row: -row.version):
            if row.row_key.key == self._own_name:
                continue
            try:
                address = records.decode(row.value)["address"]
            except (errors.MarigoldgapError, KeyError) as error:
                _log.warning(
                    "instance_row_invalid",
                    row=row.row_key.key,
                    cause=str(error),
                )
                continue
            if not request_heads.is_address(address):
                _log.warning(
                    "instance_row_invalid",
                    row=row.row_key.key,
                    cause=f"invalid address {address!r}",
                )
                continue
            found.append(peers.PeerClient(self._pool, address, row.row_key.key))
        return found
