"""Exchange of delta-encoded zone digests between coordinators."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from marigoldgap.coordination import allowance_policy
from marigoldgap.coordination import interfaces
from marigoldgap.entries import job_messages
from marigoldgap.scheduling import model
from marigoldgap.settings import model as settings_model

# Waiting tasks in older digests are ignored; the zone may be partitioned.
_STALE_MS = 10_000
# Periodic full digests bound how long a lost delta has an effect.
_FULL_INTERVAL_MS = 60_000
# Smaller changes are not sent, since traffic between zones is paid for.
_USAGE_STEP_PERMILLE = 10
_RELATIVE_STEP = 0.1

_PERMILLE = 1_000


class _RemoteZone:
    """Last known state of another zone."""

    def __init__(self, term: model.Term, sender: str) -> None:
        self.term = term
        self.sender = sender
        self.received_ms = 0
        self.config_version = 0
        self.capacity = model.Resources(0, 0)
        self.free = model.Resources(0, 0)
        self.teams: dict[str, job_messages.TeamDemand] = {}


class _SentState:
    """State that was last sent on one link."""

    def __init__(self) -> None:
        self.full_ms: int | None = None
        self.teams: dict[str, job_messages.TeamDemand] = {}


class ZoneDigests:
    """Sends this zone's digest and stores those of the other zones.

    Args:
        settings: Settings of this instance.
        peers: Links; only coordinators have links to other zones.
        now_ms: Monotonic clock.
    """

    def __init__(
        self,
        settings: settings_model.Settings,
        peers: interfaces.Peers,
        now_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._now_ms = now_ms
        self._remotes: dict[str, _RemoteZone] = {}
        self._sent: dict[str, _SentState] = {}
        self._next_ms = 0

    @property
    def coordinators(self) -> dict[str, str]:
        """Ids of the linked coordinators of the other zones, by zone."""
        found = {}
        for peer in self._peers.membership.peers():
            if peer.zone == self._settings.zone or not peer.alive:
                continue
            is_coordinator = peer.term.instance_id == peer.instance_id
            if is_coordinator and self._peers.is_linked(peer.instance_id):
                found[peer.zone] = peer.instance_id
        return found

    def linked(self, instance_id: str) -> None:
        """Makes the next digest on a new link full, as deltas may be lost."""
        self._sent.pop(instance_id, None)

    def receive(self, sender: str, digest: job_messages.ZoneDigest) -> bool:
        """Applies a digest.

        Returns:
            False if it is ignored: it belongs to an earlier term, or is a
            delta from a new sender.
        """
        remote = self._remotes.get(digest.zone)
        if remote is not None and digest.term < remote.term:
            return False
        if remote is None or remote.sender != sender:
            if not digest.full:
                return False
            remote = self._remotes[digest.zone] = _RemoteZone(
                digest.term, sender
            )
        remote.term = digest.term
        remote.received_ms = self._now_ms()
        remote.config_version = digest.config_version
        remote.capacity = digest.capacity
        remote.free = digest.free
        if digest.full:
            remote.teams.clear()
        for team in digest.teams:
            remote.teams[team.team] = team
        return True

    def send(self, build: Callable[[], job_messages.ZoneDigest]) -> None:
        """Sends the digest to the other zones if it is due.

        Args:
            build: Returns the full digest; each link gets a delta of it.
        """
        now_ms = self._now_ms()
        if now_ms < self._next_ms:
            return
        coordinators = self.coordinators
        if not coordinators or not self._peers.allows_digest():
            return
        self._next_ms = now_ms + self._settings.peers.digest_ms
        digest = build()
        for instance_id in coordinators.values():
            self._peers.send(instance_id, self._delta_for(instance_id, digest))

    def demands(self, team: str) -> dict[str, allowance_policy.ZoneDemand]:
        """Returns the allowance and demand of a team in the other zones."""
        oldest_ms = self._now_ms() - _STALE_MS
        found = {}
        for zone, remote in self._remotes.items():
            entry = remote.teams.get(team)
            if entry is None:
                continue
            is_current = remote.received_ms >= oldest_ms
            found[zone] = allowance_policy.ZoneDemand(
                allowance=entry.allowance,
                in_use=entry.running,
                waiting=entry.waiting if is_current else 0,
            )
        return found

    def usage(self, team: str) -> float:
        """Returns a team's usage in the other zones as a sum of fractions."""
        return sum(
            remote.teams[team].usage_permille / _PERMILLE
            for remote in self._remotes.values()
            if team in remote.teams
        )

    def config_versions(self) -> Mapping[str, int]:
        """Returns the configuration versions in force in the other zones."""
        return {
            zone: remote.config_version
            for zone, remote in self._remotes.items()
        }

    def _delta_for(
        self, instance_id: str, digest: job_messages.ZoneDigest
    ) -> job_messages.ZoneDigest:
        """Returns the digest without teams that are unchanged on a link."""
        now_ms = self._now_ms()
        sent = self._sent.setdefault(instance_id, _SentState())
        full = (
            sent.full_ms is None or now_ms - sent.full_ms >= _FULL_INTERVAL_MS
        )
        if full:
            sent.full_ms = now_ms
            sent.teams.clear()
        changed = tuple(
            team
            for team in digest.teams
            if _has_changed(sent.teams.get(team.team), team)
        )
        for team in changed:
            sent.teams[team.team] = team
        return digest._replace(full=full, teams=changed)


def _has_changed(
    before: job_messages.TeamDemand | None, after: job_messages.TeamDemand
) -> bool:
    """Whether a team's numbers changed enough to be sent."""
    if before is None:
        return bool(after.allowance or after.running or after.waiting) or bool(
            after.usage_permille
        )
    if before.allowance != after.allowance:
        return True
    if bool(before.waiting) != bool(after.waiting):
        return True
    usage_step = abs(before.usage_permille - after.usage_permille)
    return (
        usage_step >= _USAGE_STEP_PERMILLE
        or _differs(before.waiting, after.waiting)
        or _differs(before.running, after.running)
    )


def _differs(before: int, after: int) -> bool:
    """Whether a number changed by more than `_RELATIVE_STEP`."""
    return abs(before - after) > _RELATIVE_STEP * max(before, after)
