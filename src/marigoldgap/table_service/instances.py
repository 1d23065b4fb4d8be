"""Cached copy of the platform's instance list, kept during outages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.settings import model as settings_model
from marigoldgap.table_service import model
from marigoldgap.table_service import service

PROBE_PATH = "/v1/instances"
KIND_ENTRY = "entry"
KIND_WORKER = "worker"

_log = logs.PartLogger("platform")
_OK = 200
_NOT_MODIFIED = 304
_REQUIRED_FIELDS = ("id", "kind", "zone", "region", "rack", "address")
_OPTIONAL_FIELDS = ("peer_address", "service", "state")


# Entries by kind and zone; the zone None stands for all zones.
_Index = dict[tuple[str, str | None], tuple[model.InstanceEntry, ...]]


class InstanceList:
    """Polls the instance list and serves the last valid answer.

    Args:
        settings: Settings of this instance.
        instance_service: The service that serves the list.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        instance_service: service.PlatformService,
    ) -> None:
        self._poll_ms = settings.platform.list_poll_ms
        self._service = instance_service
        self._all: tuple[model.InstanceEntry, ...] = ()
        # Index: queried several times a second, while the list rarely
        # changes.
        self._by_kind: _Index = {}
        self._is_known = False
        self._entity_tag = ""
        self._confirmed_at_ms = clock.monotonic_ms()
        self._listeners: list[Callable[[], None]] = []

    @property
    def is_known(self) -> bool:
        """Whether the list has been read at least once."""
        return self._is_known

    def entries(
        self, zone: str | None = None
    ) -> tuple[model.InstanceEntry, ...]:
        """Returns the entry instances, of one zone or of all zones."""
        return self._select(KIND_ENTRY, zone)

    def workers(
        self, zone: str | None = None
    ) -> tuple[model.InstanceEntry, ...]:
        """Returns the workers, of one zone or of all zones."""
        return self._select(KIND_WORKER, zone)

    def find(self, instance_id: str) -> model.InstanceEntry | None:
        """Returns the entry with an id, or None."""
        for entry in self._all:
            if entry.instance_id == instance_id:
                return entry
        return None

    def age_ms(self) -> int:
        """Returns the milliseconds since the last valid answer or the start."""
        return clock.monotonic_ms() - self._confirmed_at_ms

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each change of the list."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Polls the list until it is cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_ms / clock.MILLISECONDS_PER_SECOND)

    async def refresh(self) -> bool:
        """Reads the list once; returns whether the answer was valid.

        The entity tag of the last answer avoids the transfer of an unchanged
        list; a service without entity tags sends the whole list each time.
        """
        headers = (
            {"if-none-match": self._entity_tag} if self._entity_tag else {}
        )
        try:
            answer = await self._service.read(PROBE_PATH, headers)
            if answer.status == _NOT_MODIFIED and self._entity_tag:
                self._confirmed_at_ms = clock.monotonic_ms()
                return True
            if answer.status != _OK:
                raise errors.ProtocolError(f"status {answer.status}")
            received = _parse(service.decode(answer))
        except errors.MarigoldgapError as error:
            _log.debug(
                "Reading the instance list failed; keeping the last one: %s",
                error,
            )
            return False
        if self._is_implausible(received):
            _log.warning("Ignored an instance list without entry instances")
            return False
        self._entity_tag = answer.headers.get("etag", "")
        self._replace(received)
        return True

    def _replace(self, received: tuple[model.InstanceEntry, ...]) -> None:
        self._is_known = True
        self._confirmed_at_ms = clock.monotonic_ms()
        if received == self._all:
            return
        self._all = received
        self._by_kind = _index(received)
        for listener in self._listeners:
            listener()

    def _select(
        self, kind: str, zone: str | None
    ) -> tuple[model.InstanceEntry, ...]:
        return self._by_kind.get((kind, zone), ())

    def _is_implausible(
        self, received: tuple[model.InstanceEntry, ...]
    ) -> bool:
        """Returns whether a list lost all entry instances.

        The list must contain at least this instance. An empty list would make
        every worker appear permanently removed, and jobs would be reported as
        impossible.
        """
        had_entries = bool(self.entries())
        return had_entries and not any(
            entry.kind == KIND_ENTRY for entry in received
        )


def _index(entries: tuple[model.InstanceEntry, ...]) -> _Index:
    """Groups the entries by kind and zone, in their order."""
    groups: dict[tuple[str, str | None], list[model.InstanceEntry]] = {}
    for entry in entries:
        groups.setdefault((entry.kind, entry.zone), []).append(entry)
        groups.setdefault((entry.kind, None), []).append(entry)
    return {key: tuple(group) for key, group in groups.items()}


def _parse(content: Any) -> tuple[model.InstanceEntry, ...]:
    """Returns the well-formed entries and ignores malformed ones."""
    if not isinstance(content, dict) or not isinstance(
        content.get("instances"), list
    ):
        raise errors.ProtocolError("the instance list is malformed")
    entries = []
    for item in content["instances"]:
        entry = _parse_entry(item)
        if entry is None:
            _log.warning("Ignored a malformed entry of the instance list")
            continue
        entries.append(entry)
    return tuple(sorted(entries))


def _parse_entry(item: Any) -> model.InstanceEntry | None:
    if not isinstance(item, dict):
        return None
    required = [item.get(field) for field in _REQUIRED_FIELDS]
    optional = [item.get(field) or "" for field in _OPTIONAL_FIELDS]
    if not all(isinstance(value, str) for value in required + optional):
        return None
    return model.InstanceEntry(*required, *optional)  # type: ignore[arg-type]
