"""Finds the reader of this availability zone, or makes this instance the reader.

A row of the store names the reader of each zone. An instance whose reader does not
answer replaces it there; the check of the row's version lets one of several succeed.
A replaced reader that goes on costs its own calls to the store and nothing else.
"""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import configuration_relay
from marigoldgap.cell import peers
from marigoldgap.cell import reader_choice
from marigoldgap.cell import records
from marigoldgap.cell import store
from marigoldgap.web import client
from marigoldgap.web import request_heads

_log = decision_log.DecisionLogger("zone_reader")

_KEY = "reader"


class ZoneReader:
    """The reader of the zone, as this instance knows it.

    Args:
        rows: The store.
        pool: Connections to peers.
        zone: Availability zone of this instance.
        name: Name of this instance.
        address: `ip:port` for calls of the other instances.
        apply_s: Seconds within which a change of the configuration must be in
            force.

    Attributes:
        choice: Decides whether the reader or the store is asked.
    """

    def __init__(
        self,
        rows: store.Store,
        pool: client.HttpPool,
        zone: str,
        name: str,
        address: str,
        apply_s: float,
    ) -> None:
        self.choice = reader_choice.ReaderChoice(name, apply_s)
        self._rows = rows
        self._pool = pool
        self._name = name
        self._address = address
        self._row_key = store.RowKey(records.READERS, zone, _KEY)
        self._client: peers.PeerClient | None = None

    async def fetch(self, version: int) -> configuration_relay.RelayedRows:
        """Requests the operator's rows from the reader.

        Args:
            version: Version of the configuration that this instance has.

        Raises:
            MarigoldgapError: The reader does not answer, or is not the reader.
        """
        assert self._client is not None
        try:
            return await self._client.configuration(version)
        except errors.MarigoldgapError as error:
            self._drop(str(error))
            raise

    def examine(self, age_s: float) -> None:
        """Drops a reader whose answer left the configuration old.

        Args:
            age_s: Seconds since the configuration was confirmed, after the answer.
        """
        if not self.choice.is_helpful(age_s):
            self._drop(f"the configuration is {age_s:.1f} s old")

    def _drop(self, cause: str) -> None:
        _log.warning("reader_failed", reader=self.choice.reader, cause=cause)
        self._client = None
        self.choice.on_failed(clock.now_s())

    async def search(self) -> None:
        """Reads which instance is the reader, and replaces one that failed."""
        self.choice.on_search(clock.now_s())
        try:
            page = await self._rows.read(
                *self._row_key, self._row_key.key + "\0"
            )
            row = page.rows[0] if page.rows else None
            if row is None or not self._use(row):
                await self._claim(row)
        except store.CheckFailedError as error:
            if error.rows:
                self._use(error.rows[0])
        except store.StoreError as error:
            _log.info("search_failed", cause=str(error))

    def _use(self, row: store.Row) -> bool:
        """Uses the reader that a row names; returns whether it may be used."""
        try:
            fields = records.decode(row.value)
            name, address = str(fields["instance"]), fields["address"]
        except (errors.MarigoldgapError, LookupError) as error:
            _log.warning("reader_row_invalid", cause=str(error))
            return False
        if name == self._name and address == self._address:
            self._become_reader("named by the row")
            return True
        if not request_heads.is_address(address) or not self.choice.may_use(
            name, clock.now_s()
        ):
            return False
        if name != self.choice.reader:
            _log.info("reader_found", reader=name, version=row.version)
        self._client = peers.PeerClient(self._pool, address, name)
        self.choice.on_found(name, clock.now_s())
        return True

    async def _claim(self, row: store.Row | None) -> None:
        version = 0 if row is None else row.version
        content = json_object.encode(
            {"instance": self._name, "address": self._address}
        )
        await self._rows.transact(
            store.Transaction(
                (store.RowCheck(self._row_key, version),),
                ((self._row_key, content),),
            )
        )
        self._become_reader("claimed")

    def _become_reader(self, cause: str) -> None:
        if not self.choice.is_reader:
            _log.info(
                "reader_of_zone", zone=self._row_key.partition, cause=cause
            )
        self._client = None
        self.choice.on_found(self._name, clock.now_s())
