"""Follows the configuration and the evacuated zones, and tracks their age.

Both are rows that the operator writes. They are read in one call, so that they
are from the same point in time, and are followed by the feed of their table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap import measures
from marigoldgap.cell import configuration_relay
from marigoldgap.cell import evacuations
from marigoldgap.cell import model
from marigoldgap.cell import reader_choice
from marigoldgap.cell import store
from marigoldgap.cell import zone_reader

_log = decision_log.DecisionLogger("configuration")

# Long-poll time for changes. An answer confirms the configuration as of the time
# at which the store gave it, or, if that is not known, as of its request: the age
# reaches up to twice this time then.
_LONG_POLL_MS = 1_000
# Age beyond which the store is asked to answer at once. A large transfer may take
# that long.
_MAX_HELD_AGE_S = 1.2
# The same while this instance decides by the configuration what starts.
_CLOSE_LONG_POLL_MS = 500
# Age at which another version may be in force alone: the platform allows 2.5 s
# after the operator has written it, and 5 s for an evacuation.
_MAX_UNCONFIRMED_S = 2.4
# Pause after a failed call.
_RETRY_S = 0.1
# Source of a configuration that was not handed on by a reader, in log lines.
_STORE = "store"
# Longest time for which the next call waits until a reader is found: two calls to
# the store across regions, and a margin.
_SEARCH_WAIT_S = 0.3
# Pause after an answer of the reader from which nothing could be adopted.
_UNUSABLE_PAUSE_S = 1.0
# Rows of a page: the most that the store returns.
_PAGE_ROWS = 500


class OperatorRows(NamedTuple):
    """Names and formats of the rows that the operator writes.

    Attributes:
        configuration: Key of the configuration row.
        end: Exclusive end of the range of keys that starts with it and holds
            the rows of all evacuations.
        decode_configuration: Decodes the content of the configuration row.
        decode_evacuation: Returns the zone that a row evacuates, from its key
            and content; None if it is another row.
    """

    configuration: store.RowKey
    end: str
    decode_configuration: Callable[[bytes], model.Configuration]
    decode_evacuation: Callable[[store.RowKey, bytes], str | None]


class ConfigurationFollower:
    """Keeps the latest configuration and the evacuated zones.

    Args:
        rows: The store.
        operator_rows: The rows to follow.
        adopted: Called with each new version of the configuration.
        reader: The reader of the zone; None to follow the store only.
    """

    def __init__(
        self,
        rows: store.Store,
        operator_rows: OperatorRows,
        adopted: Callable[[model.Configuration], None],
        reader: zone_reader.ZoneReader | None = None,
    ) -> None:
        self.current: model.Configuration | None = None
        self.evacuations = evacuations.Evacuations()
        # Whether changes are followed closely, at the cost of more calls.
        self.follows_closely = False
        self._rows = rows
        self._operator_rows = operator_rows
        # Evacuated zones by the key of the row that requests it.
        self._evacuation_rows: dict[store.RowKey, str] = {}
        self._adopted = adopted
        self._reader = reader
        self._search: asyncio.Task[None] | None = None
        self._follows_store = False
        # Content of the current configuration.
        self._content = b""
        # Version of the store up to which the rows are known.
        self._after = 0
        self._confirmed_s: float | None = None
        # Set and replaced when the store confirms the rows.
        self._confirmed = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first one."""
        return 0 if self.current is None else self.current.version

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return self.evacuations.zones

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed configuration and zones."""
        if self._confirmed_s is None:
            return float("inf")
        return clock.now_s() - self._confirmed_s

    @property
    def logged_age_s(self) -> float | None:
        """The age for log lines; None before the first confirmation."""
        return None if self._confirmed_s is None else round(self.age_s, 3)

    def is_outdated(self, store_outage_s: float) -> bool:
        """Returns whether another version may be in force alone.

        The same holds for an evacuation that this instance does not know. While
        the store answers no call, nobody can have written one; this instance
        may have missed one if it was paused or only its calls for the
        configuration failed.

        Args:
            store_outage_s: Seconds since the store's last answer to any call;
                0 while it answers.
        """
        return self.age_s - store_outage_s > _MAX_UNCONFIRMED_S

    @property
    def _long_poll_ms(self) -> int:
        if self.age_s > _MAX_HELD_AGE_S:
            return 0
        return _CLOSE_LONG_POLL_MS if self.follows_closely else _LONG_POLL_MS

    async def run(self) -> None:
        """Follows changes until cancelled."""
        must_read = True
        if self._reader is not None:
            # All instances may start at once, and the configuration may be large.
            await self._reader.search()
        try:
            while True:
                self._search_reader()
                await self._await_search()
                if self._asks_reader():
                    if await self._follow_reader():
                        must_read = False
                else:
                    must_read = await self._follow_store(must_read)
        finally:
            if self._search is not None:
                self._search.cancel()

    def _search_reader(self) -> None:
        """Searches the reader beside the calls to the store, if necessary."""
        if self._reader is None or self._is_searching:
            return
        if self._reader.choice.should_search(clock.now_s()):
            self._search = asyncio.create_task(self._reader.search())

    async def _await_search(self) -> None:
        """Waits for a search that may save a transfer from the store."""
        if self._reader is None or self._search is None:
            return
        choice = self._reader.choice
        if not choice.reader and choice.is_helpful(self.age_s):
            await asyncio.wait({self._search}, timeout=_SEARCH_WAIT_S)

    @property
    def _is_searching(self) -> bool:
        return self._search is not None and not self._search.done()

    def _asks_reader(self) -> bool:
        if self._reader is None:
            return False
        source = self._reader.choice.source(self.follows_closely)
        self._follows_store = source is reader_choice.Source.STORE
        measures.CONFIGURATION_READER.set(self._reader.choice.is_reader)
        return not self._follows_store

    async def _follow_reader(self) -> bool:
        """Requests the rows from the reader; returns whether it answered."""
        assert self._reader is not None
        sent_s = clock.now_s()
        try:
            rows = await self._reader.fetch(self.version)
        except errors.MarigoldgapError:
            return False
        # A reader that lags behind confirms nothing.
        if rows.store_version >= self._after:
            self._apply_relayed(rows, sent_s)
        self._reader.examine(self.age_s)
        if self.version < rows.version:
            # The answer was not held, and the next one would not be, either.
            await asyncio.sleep(_UNUSABLE_PAUSE_S)
        return True

    def _apply_relayed(
        self, rows: configuration_relay.RelayedRows, sent_s: float
    ) -> None:
        self._after = rows.store_version
        configuration = self._operator_rows.configuration
        self._replace_evacuations(
            {
                configuration._replace(key=key): zone
                for key, zone in rows.evacuations
            }
        )
        self._confirm(min(sent_s + rows.confirmed_after_s, clock.now_s()))
        if rows.content is not None:
            self._adopt(rows.content, self._reader_name)

    async def relay(self, version: int) -> configuration_relay.RelayedRows:
        """Returns the rows for another instance of the zone.

        Waits for the next confirmation by the store if the instance has the
        current version.

        Args:
            version: Version of the configuration that the instance has.

        Raises:
            NotReaderError: This instance does not follow the store itself.
        """
        arrived_s = clock.now_s()
        if self._follows_store and version >= self.version:
            try:
                async with asyncio.timeout(configuration_relay.HOLD_S):
                    await self._confirmed.wait()
            except TimeoutError:
                # The instance decides by the age of the rows.
                pass
        if not self._follows_store or self._confirmed_s is None:
            raise configuration_relay.NotReaderError(
                "this instance does not follow the store itself"
            )
        return configuration_relay.RelayedRows(
            self._after,
            self._confirmed_s - arrived_s,
            self.version,
            tuple(
                (row_key.key, zone)
                for row_key, zone in self._evacuation_rows.items()
            ),
            self._content if self.version > version else None,
        )

    async def _follow_store(self, must_read: bool) -> bool:
        """Makes one call to the store; returns whether all must be read next."""
        started_s = clock.now_s()
        must_read = must_read or self.current is None
        try:
            if must_read:
                page = await self._read()
            else:
                page = await self._rows.changes(
                    self._operator_rows.configuration.table,
                    self._after,
                    self._long_poll_ms,
                )
        except store.HistoryLostError as error:
            _log.info("history_lost", cause=str(error))
            return True
        except store.StoreError as error:
            _log.warning(
                "configuration_unconfirmed",
                version=self.version,
                age_s=self.logged_age_s,
                call="read" if must_read else "changes",
                took_s=round(clock.now_s() - started_s, 3),
                cause=str(error),
            )
            await asyncio.sleep(_RETRY_S)
            # A call without an answer is repeated: a change costs its bytes only
            # once, and nothing is sent if there is none.
            return must_read or isinstance(error, store.UnusableAnswerError)
        self._after = page.version
        # Before the configuration: without one, nothing is planned.
        self._apply_evacuations(page, must_read)
        self._confirm(started_s if page.read_s is None else page.read_s)
        for row in page.rows:
            if (
                row.row_key == self._operator_rows.configuration
                and row.value is not None
            ):
                self._adopt(row.value, _STORE)
        if self.current is None:
            await asyncio.sleep(_RETRY_S)
        self._confirmed.set()
        self._confirmed = asyncio.Event()
        return False

    def _confirm(self, read_s: float) -> None:
        if self._confirmed_s is None or read_s > self._confirmed_s:
            self._confirmed_s = read_s

    async def _read(self) -> store.Page:
        """Reads the operator's rows, usually in one call.

        Returns:
            All rows, with the version of the first page: the feed delivers what
            has changed since.
        """
        configuration = self._operator_rows.configuration
        first = configuration.key
        rows: list[store.Row] = []
        version = read_s = None
        while True:
            page = await self._rows.read(
                configuration.table,
                configuration.partition,
                first,
                self._operator_rows.end,
                max_rows=_PAGE_ROWS,
            )
            if version is None:
                version, read_s = page.version, page.read_s
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return store.Page(tuple(rows), False, version, read_s)
            first = page.rows[-1].row_key.key + "\0"

    def _apply_evacuations(self, page: store.Page, is_whole: bool) -> None:
        """Applies the rows of evacuations.

        Args:
            page: Rows that were read or have changed.
            is_whole: Whether these are all rows, so that one that is missing
                has been removed.
        """
        found = {} if is_whole else self._evacuation_rows
        for row in page.rows:
            if row.value is None:
                found.pop(row.row_key, None)
                continue
            zone = self._operator_rows.decode_evacuation(row.row_key, row.value)
            if zone is not None:
                found[row.row_key] = zone
        self._replace_evacuations(found)

    def _replace_evacuations(self, found: dict[store.RowKey, str]) -> None:
        self._evacuation_rows = found
        change = self.evacuations.replace(
            found.values(), self._confirmed_s, clock.now_s()
        )
        for zone in sorted(change.evacuated):
            _log.warning("zone_evacuated", zone=zone)
        for zone in sorted(change.returned):
            _log.warning("zone_returned", zone=zone)
        measures.EVACUATED_ZONES.set(len(self.evacuated_zones))

    @property
    def _reader_name(self) -> str:
        return "" if self._reader is None else self._reader.choice.reader

    def _adopt(self, content: bytes, source: str) -> None:
        try:
            configuration = self._operator_rows.decode_configuration(content)
        except errors.MarigoldgapError as error:
            _log.error("configuration_unusable", cause=str(error))
            return
        if (
            self.current is not None
            and configuration.version <= self.current.version
        ):
            return
        _log.info(
            "configuration_adopted",
            version=configuration.version,
            former_version=self.version,
            source=source,
            age_s=self.logged_age_s,
            bytes=len(content),
            queues=len(configuration.queues),
            keys=len(configuration.keys),
        )
        self.current = configuration
        self._content = content
        measures.CONFIGURATION_VERSION.set(configuration.version)
        self._adopted(configuration)
