"""Members of the zone, failure detection, coordinator choice and terms."""

from __future__ import annotations

from collections.abc import Iterable

from marigoldgap import logs
from marigoldgap.entries import interfaces
from marigoldgap.entries import messages
from marigoldgap.entries import peer as peer_module
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model

_log = logs.PartLogger("entries")

# A peer becomes suspect after this share of `dead_after_ms` without messages.
_SUSPECT_SHARE = 0.5


class Membership:
    """Tracks the state of the other instances; does no I/O.

    Args:
        settings: Settings of this instance.
        now_ms: Monotonic time of the start.

    Attributes:
        term: Highest term seen.
    """

    def __init__(self, settings: settings_model.Settings, now_ms: int) -> None:
        self._settings = settings
        self._discovery_start_ms = now_ms
        self._last_check_ms = now_ms
        self._peers: dict[str, peer_module.Peer] = {}
        self._listeners: list[interfaces.MembershipListener] = []
        self._draining = False
        self._own_term: model.Term | None = None
        self.term = model.NO_TERM

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._settings.instance_id

    @property
    def zone(self) -> str:
        """Zone of this instance."""
        return self._settings.zone

    @property
    def is_coordinator(self) -> bool:
        """Whether this process holds the highest term seen.

        A term of an earlier process with the same instance id does not
        count, since the state of that process is lost.
        """
        return self._own_term == self.term

    @property
    def members(self) -> tuple[str, ...]:
        """Sorted ids of the live instances of the zone, with this one."""
        own_zone = self._settings.zone
        live = [
            p.instance_id
            for p in self._peers.values()
            if p.alive and p.zone == own_zone
        ]
        return tuple(sorted([*live, self._settings.instance_id]))

    def subscribe(self, listener: interfaces.MembershipListener) -> None:
        """Adds a listener."""
        self._listeners.append(listener)

    def peer(self, instance_id: str) -> peer_module.Peer | None:
        """Returns the state of another instance; None if it is unknown."""
        return self._peers.get(instance_id)

    def peers(self) -> tuple[peer_module.Peer, ...]:
        """Returns the known instances of all zones."""
        return tuple(self._peers.values())

    def set_draining(self, draining: bool) -> None:
        """Sets whether this instance is stopping."""
        self._draining = draining

    def add_listed(
        self, entries: Iterable[tuple[str, str]], now_ms: int
    ) -> None:
        """Adds the instances, as pairs `(id, zone)`, that are not known yet."""
        for instance_id, zone in entries:
            if instance_id == self._settings.instance_id:
                continue
            if instance_id not in self._peers:
                new = peer_module.Peer(instance_id, zone, now_ms)
                self._peers[instance_id] = new

    def remove_dead(self, listed: frozenset[str]) -> None:
        """Removes dead instances that the platform no longer lists."""
        for instance_id, known in list(self._peers.items()):
            if known.state == peer_module.DEAD and instance_id not in listed:
                known.detach()
                del self._peers[instance_id]

    def record_link(self, hello: messages.Hello, now_ms: int) -> None:
        """Records a new link whose handshake succeeded.

        A new incarnation of a live instance counts as its loss first.
        """
        self.add_listed([(hello.instance_id, hello.zone)], now_ms)
        known = self._peers[hello.instance_id]
        restarted = known.incarnation not in ("", hello.incarnation)
        if restarted and known.alive:
            self._mark_dead(known)
        known.incarnation = hello.incarnation
        known.zone = hello.zone
        known.record_message(now_ms)
        for listener in self._listeners:
            listener.member_linked(hello.instance_id)

    def record_message(self, instance_id: str, now_ms: int) -> None:
        """Records that a message arrived from an instance."""
        known = self._peers.get(instance_id)
        if known is not None:
            known.record_message(now_ms)

    def apply_heartbeat(
        self, instance_id: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Applies a heartbeat to the state of its sender.

        Terms of other zones are not adopted.
        """
        known = self._peers.get(instance_id)
        if known is None:
            return
        known.apply(heartbeat)
        if known.zone == self._settings.zone:
            self.observe_term(heartbeat.term)

    def detect_failures(self, now_ms: int) -> list[str]:
        """Detects silent instances; to be called several times a second.

        Returns:
            Ids of the instances that became dead. The caller must close the
            links to them, so that they count as live only after a new
            handshake.
        """
        lost = []
        dead_after_ms = self._settings.peers.dead_after_ms
        if now_ms - self._last_check_ms >= dead_after_ms:
            # This process was paused. The others may be live although nothing
            # was received from them.
            self._discovery_start_ms = now_ms
        self._last_check_ms = now_ms
        for known in list(self._peers.values()):
            silent_ms = now_ms - known.last_message_ms
            if known.state == peer_module.DEAD:
                continue
            if silent_ms >= dead_after_ms:
                lost.append(known.instance_id)
                self._mark_dead(known)
            elif (
                known.state == peer_module.LIVE
                and silent_ms >= dead_after_ms * _SUSPECT_SHARE
            ):
                known.trigger("silent")
        return lost

    def proposed_coordinator(self, now_ms: int) -> str | None:
        """Returns the instance that should coordinate the zone.

        None means that discovery is not complete: an instance may not have
        been reached yet, so that a choice now could cause a second change of
        term shortly afterwards. The choice needs no consensus, because terms
        and the barrier make a wrong choice harmless.
        """
        if self._is_discovering(now_ms):
            return None
        own_id = self._settings.instance_id
        candidates = [own_id] if not self._draining else []
        for known in self._peers.values():
            usable = known.state in (peer_module.LIVE, peer_module.SUSPECT)
            if usable and known.zone == self._settings.zone:
                candidates.append(known.instance_id)
        return min(candidates, default=min(self.members))

    def next_term(self) -> model.Term:
        """Adopts and returns a new term, higher than all terms seen."""
        term = model.Term(self.term.counter + 1, self._settings.instance_id)
        self._own_term = term
        self.observe_term(term)
        return term

    def observe_term(self, term: model.Term) -> bool:
        """Adopts a term unless a higher one was seen.

        Returns:
            Whether the term is accepted; the highest term seen always is.
        """
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            for listener in self._listeners:
                listener.term_changed(term)
        return True

    def _is_discovering(self, now_ms: int) -> bool:
        """Whether some instances may not have been reached yet.

        Discovery ends `dead_after_ms` after the start or after a pause of
        this process. It ends earlier once at least one instance is known and
        all known instances of the zone are live.
        """
        if (
            now_ms - self._discovery_start_ms
            >= self._settings.peers.dead_after_ms
        ):
            return False
        return (
            any(
                not known.alive and known.zone == self._settings.zone
                for known in self._peers.values()
            )
            or not self._peers
        )

    def _mark_dead(self, known: peer_module.Peer) -> None:
        """Marks an instance as dead; notifies the listeners if it was live."""
        was_alive = known.alive
        known.trigger("lost")
        if not was_alive:
            return
        _log.warning("Instance %s is dead or has restarted.", known.instance_id)
        for listener in self._listeners:
            listener.member_lost(known.instance_id)
