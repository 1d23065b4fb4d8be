"""Propagates configuration versions and withdrawn keys between instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.config_store import model as config_model
from marigoldgap.coordination import interfaces
from marigoldgap.coordination import zone_digests
from marigoldgap.entries import job_messages
from marigoldgap.entries import messages
from marigoldgap.entries import registry
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("coordination")

_REQUEST_INTERVAL_MS = 500


class ConfigRelay:
    """Propagates adopted changes to peers; implements ConfigListener.

    A change goes from the instance that made or read it to its zone. The
    coordinator forwards it to the coordinators of the other zones, which
    forward it to theirs. Lost changes are recovered in two ways: heartbeats
    carry the version, and an instance that is behind requests what it lacks;
    coordinators also exchange changes when a link between them opens.

    Args:
        settings: Settings of this instance.
        peers: Links to other instances.
        state: Configuration of this instance.
        in_force: Tracks the versions that others have in force.
        digests: Provides the coordinators of other zones.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.Peers,
        state: interfaces.ConfigState,
        in_force: interfaces.InForce,
        digests: zone_digests.ZoneDigests,
        now_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._state = state
        self._in_force = in_force
        self._digests = digests
        self._now_ms = now_ms
        self._next_request_ms = 0
        self._last_broadcast: dict[str, int] = {}
        # Zone of the sender while its message is applied; otherwise empty.
        self._source_zone = ""
        self._is_answering_denial = False
        self._tasks: set[asyncio.Task[None]] = set()
        state.subscribe(self)
        peers.register(self)

    def config_changed(
        self, versions: Sequence[config_model.ConfigVersion]
    ) -> None:
        """Propagates adopted versions."""
        records = tuple(_to_record(version) for version in versions)
        delta = job_messages.ConfigDelta(records, ())
        for instance_id in self._receivers():
            self._peers.send(instance_id, delta)

    def keys_denied(self, key_ids: Sequence[str]) -> None:
        """Propagates withdrawn keys and collects confirmations."""
        if (
            self._is_answering_denial
            or self._source_zone == self._settings.zone
        ):
            return
        is_origin = not self._source_zone
        self._spawn(self._deny_everywhere(tuple(key_ids), is_origin))

    def tick(self) -> None:
        """Runs periodic work; call it several times a second."""
        for peer in self._peers.membership.peers():
            if peer.zone == self._settings.zone and peer.alive:
                self._in_force.report_version(
                    peer.instance_id, peer.config_version
                )
        if self._peers.membership.is_coordinator:
            self._broadcast_zone_versions()
        now_ms = self._now_ms()
        if now_ms >= self._next_request_ms:
            self._next_request_ms = now_ms + _REQUEST_INTERVAL_MS
            self._request_if_behind()

    def linked(self, instance_id: str) -> None:
        """Requests missed changes on a new link between coordinators."""
        if self._peers.membership.is_coordinator:
            self._spawn(self._catch_up(instance_id))

    async def fetch_versions(
        self, since: int
    ) -> Sequence[config_model.ConfigVersion]:
        """Returns later versions from a peer; empty if no peer answers."""
        for peer in self._peers_by_version():
            delta = await self._request(peer, since)
            if delta is not None:
                return [_to_version(record) for record in delta.records]
        return []

    async def fetch_denied(self) -> Iterable[str]:
        """Returns withdrawn keys from a peer; empty if no peer answers."""
        for peer in self._peers_by_version():
            delta = await self._request(peer, self._state.version)
            if delta is not None:
                return delta.denied
        return ()

    def stop(self) -> None:
        """Cancels all calls in flight."""
        for task in self._tasks:
            task.cancel()

    @registry.handles(job_messages.ConfigDelta)
    def on_delta(self, sender: str, message: job_messages.ConfigDelta) -> None:
        """Adopts higher versions and withdrawn keys of a peer."""
        versions = [_to_version(each) for each in message.records]
        self._source_zone = self._zone_of(sender)
        try:
            self._state.deny(message.denied)
            self._state.adopt(versions)
        finally:
            self._source_zone = ""

    @registry.handles(job_messages.ConfigRequest)
    def on_request(
        self, sender: str, message: job_messages.ConfigRequest
    ) -> job_messages.ConfigDelta:
        """Returns the versions that the sender lacks."""
        del sender
        versions = self._state.versions_since(message.since_version)
        return job_messages.ConfigDelta(
            records=tuple(_to_record(version) for version in versions),
            denied=tuple(sorted(self._state.denied)),
        )

    @registry.handles(job_messages.DenyKeys)
    async def on_deny(
        self, sender: str, message: job_messages.DenyKeys
    ) -> job_messages.DenyResult:
        """Denies keys at once.

        Returns:
            The names of the instances and zones that deny the keys; a
            coordinator forwards the message before it answers.
        """
        zone = self._zone_of(sender)
        self._is_answering_denial = True
        try:
            self._state.deny(message.key_ids)
        finally:
            self._is_answering_denial = False
        names = {self._settings.instance_id}
        if self._peers.membership.is_coordinator:
            if zone == self._settings.zone:
                names |= await self._deny_in_zones(message)
            else:
                names |= await self._deny_in_zone(message, sender)
        return job_messages.DenyResult(tuple(sorted(names)))

    @registry.handles(job_messages.ZonesInForce)
    def on_zones(self, sender: str, message: job_messages.ZonesInForce) -> None:
        """Records the versions in force in the zones."""
        del sender
        for zone in message.zones:
            self._in_force.report_zone(zone.name, zone.number)

    def _receivers(self) -> list[str]:
        """Returns the instances to which this one forwards changes."""
        own_id = self._settings.instance_id
        own_zone = self._settings.zone
        found: list[str] = []
        if self._source_zone != own_zone:
            members = self._peers.membership.members
            found.extend(member for member in members if member != own_id)
        is_coordinator = self._peers.membership.is_coordinator
        if is_coordinator and self._source_zone in ("", own_zone):
            found.extend(self._digests.coordinators.values())
        return found

    def _zone_of(self, sender: str) -> str:
        """Returns the zone of the sender of a message."""
        peer = self._peers.membership.peer(sender)
        return peer.zone if peer else self._settings.zone

    async def _deny_everywhere(
        self, key_ids: tuple[str, ...], is_origin: bool
    ) -> None:
        """Propagates withdrawn keys in the zone and, if needed, to others."""
        message = job_messages.DenyKeys(key_ids)
        names = await self._deny_in_zone(message, "")
        if is_origin and self._peers.membership.is_coordinator:
            names |= await self._deny_in_zones(message)
        for name in names:
            for key_id in key_ids:
                self._in_force.report_denied(name, key_id)

    async def _deny_in_zone(
        self, message: job_messages.DenyKeys, except_id: str
    ) -> set[str]:
        """Denies keys on the zone's members; returns who confirmed."""
        own_id = self._settings.instance_id
        members = set(self._peers.membership.members) - {own_id, except_id}
        confirmed = await self._deny_at(sorted(members), message)
        if members <= confirmed:
            confirmed.add(self._settings.zone)
        return confirmed

    async def _deny_in_zones(self, message: job_messages.DenyKeys) -> set[str]:
        """Denies keys in the other zones; returns who confirmed."""
        coordinators = self._digests.coordinators
        return await self._deny_at(sorted(coordinators.values()), message)

    async def _deny_at(
        self, instance_ids: Iterable[str], message: job_messages.DenyKeys
    ) -> set[str]:
        """Denies keys on instances; returns the names in their answers."""
        calls = [self._deny_one(each, message) for each in instance_ids]
        return set().union(*await asyncio.gather(*calls))

    async def _deny_one(
        self, instance_id: str, message: job_messages.DenyKeys
    ) -> set[str]:
        """Denies keys on an instance; returns the names in its answer."""
        try:
            answer = await self._peers.call(instance_id, message)
        except errors.MarigoldgapError:
            return set()
        return set(answer.names)

    def _broadcast_zone_versions(self) -> None:
        """Broadcasts the versions in force in all zones if they changed."""
        versions = dict(self._digests.config_versions())
        versions[self._settings.zone] = self._in_force.zone_version()
        for zone, version in versions.items():
            self._in_force.report_zone(zone, version)
        if versions == self._last_broadcast:
            return
        self._last_broadcast = versions
        counts = [messages.Count(zone, n) for zone, n in versions.items()]
        self._peers.broadcast_zone(job_messages.ZonesInForce(tuple(counts)))

    def _request_if_behind(self) -> None:
        """Requests missing versions, for instance after a lost delta."""
        for peer in self._peers_by_version():
            if peer.config_version > self._state.version:
                self._spawn(self._catch_up(peer.instance_id))
                return

    async def _catch_up(self, instance_id: str) -> None:
        """Requests and adopts the changes of a peer."""
        delta = await self._request_by_id(instance_id, self._state.version)
        if delta is not None:
            self.on_delta(instance_id, delta)

    def _peers_by_version(self) -> list[Any]:
        """Returns linked peers, the highest configuration version first."""
        linked = [
            peer
            for peer in self._peers.membership.peers()
            if peer.alive and self._peers.is_linked(peer.instance_id)
        ]
        return sorted(linked, key=lambda peer: -peer.config_version)

    async def _request(
        self, peer: Any, since: int
    ) -> job_messages.ConfigDelta | None:
        """Requests the versions after `since` from a peer."""
        return await self._request_by_id(peer.instance_id, since)

    async def _request_by_id(
        self, instance_id: str, since: int
    ) -> job_messages.ConfigDelta | None:
        """Requests versions from an instance; None if it does not answer."""
        request = job_messages.ConfigRequest(since)
        try:
            delta: job_messages.ConfigDelta = await self._peers.call(
                instance_id, request
            )
        except errors.MarigoldgapError:
            return None
        return delta

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _to_record(
    version: config_model.ConfigVersion,
) -> job_messages.ConfigRecord:
    """Converts a version to its message form."""
    return job_messages.ConfigRecord(
        version=version.version,
        kind=version.kind,
        author=version.author,
        applied_at_ms=version.applied_at_ms,
        content=json.dumps(version.content, separators=(",", ":")),
    )


def _to_version(
    record: job_messages.ConfigRecord,
) -> config_model.ConfigVersion:
    """Converts a record from a message to a version.

    Raises:
        errors.ProtocolError: The content is not JSON.
    """
    try:
        content = json.loads(record.content)
    except ValueError as error:
        raise errors.ProtocolError("a version is not JSON") from error
    return config_model.ConfigVersion(
        version=record.version,
        kind=record.kind,
        author=record.author,
        applied_at_ms=record.applied_at_ms,
        content=content,
    )
