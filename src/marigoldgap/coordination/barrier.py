"""Term barrier: decides when a coordinator knows every task that can run.

A state machine without I/O. A worker is settled if an instance that
acknowledged this term owns it, if its lease expired so long ago that no job
task can run on it, or if the platform no longer lists it. The same rule decides
when the holdings of a dead instance may be released.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

from marigoldgap.scheduling import model

_NEVER_MS = -1


class TermBarrier:
    """Ownership of a zone's workers as known to a coordinator in one term.

    A claim is a report of an acknowledged instance that it holds the lease
    on a worker. Two instances may claim the same worker for a moment, since
    a lost lease is reported after the loss; a worker has no owner only when
    no claim is left.

    Args:
        term: The coordinator's term.
        expiry_ms: Time without an owner after which a worker runs no job task.
        now_ms: Monotonic time at which the term began.
    """

    def __init__(self, term: model.Term, expiry_ms: int, now_ms: int) -> None:
        self._term = term
        self._expiry_ms = expiry_ms
        self._listed: frozenset[str] = frozenset()
        self._list_read_ms = _NEVER_MS
        self._claims: dict[str, set[str]] = {}
        self._unowned_since_ms: dict[str, int] = {}
        self._acknowledged: set[str] = set()
        self._list_required_after_ms = now_ms
        self._passed = False

    @property
    def term(self) -> model.Term:
        """The coordinator's term."""
        return self._term

    @property
    def acknowledged(self) -> frozenset[str]:
        """Instances that acknowledged the term."""
        return frozenset(self._acknowledged)

    @property
    def passed(self) -> bool:
        """Whether the barrier was settled at any time in this term."""
        return self._passed

    def has_owner(self, worker_id: str) -> bool:
        """Whether an acknowledged instance claims the worker."""
        return bool(self._claims.get(worker_id))

    def record_list(self, workers: Collection[str], read_ms: int) -> None:
        """Records the platform's list of workers of the zone.

        Args:
            workers: Ids of the listed workers, live or leaving.
            read_ms: Monotonic time of the read or earlier.
        """
        self._listed = frozenset(workers)
        self._list_read_ms = max(self._list_read_ms, read_ms)

    def acknowledge(
        self, instance_id: str, workers: Iterable[str], now_ms: int
    ) -> None:
        """Records a full report, which replaces the instance's claims."""
        self._acknowledged.add(instance_id)
        claimed = frozenset(workers)
        for worker_id, claimants in list(self._claims.items()):
            if instance_id in claimants and worker_id not in claimed:
                self.lost(instance_id, worker_id, now_ms)
        for worker_id in claimed:
            self.acquired(instance_id, worker_id)

    def acquired(self, instance_id: str, worker_id: str) -> None:
        """Records that an acknowledged instance owns a worker."""
        if instance_id not in self._acknowledged:
            return
        self._claims.setdefault(worker_id, set()).add(instance_id)
        self._unowned_since_ms.pop(worker_id, None)

    def lost(self, instance_id: str, worker_id: str, now_ms: int) -> None:
        """Records that an instance no longer owns a worker."""
        claimants = self._claims.get(worker_id)
        if claimants is None or instance_id not in claimants:
            return
        claimants.discard(instance_id)
        if not claimants:
            del self._claims[worker_id]
            self._unowned_since_ms[worker_id] = now_ms

    def member_lost(self, instance_id: str, now_ms: int) -> None:
        """Records that an instance is dead or paused.

        The instance may own workers that it has not reported and that are
        missing from the list read so far, so a newer list is required.
        """
        for worker_id in list(self._claims):
            self.lost(instance_id, worker_id, now_ms)
        self._acknowledged.discard(instance_id)
        self._list_required_after_ms = now_ms

    def is_certainly_idle(self, worker_id: str, now_ms: int) -> bool:
        """Whether the worker is certain to run no job task."""
        if self.has_owner(worker_id):
            return False
        if self._list_is_current() and worker_id not in self._listed:
            return True
        since_ms = self._unowned_since_ms.get(worker_id)
        return since_ms is not None and now_ms - since_ms >= self._expiry_ms

    def unsettled(self, now_ms: int) -> frozenset[str]:
        """Returns the workers on which unreported tasks may run."""
        pending = set()
        for worker_id in self._listed | self._unowned_since_ms.keys():
            if self.has_owner(worker_id):
                continue
            self._unowned_since_ms.setdefault(worker_id, now_ms)
            if not self.is_certainly_idle(worker_id, now_ms):
                pending.add(worker_id)
        return frozenset(pending)

    def is_settled(self, members: Collection[str], now_ms: int) -> bool:
        """Whether every task that can run was reported.

        Args:
            members: The live instances of the zone. All must have
                acknowledged the term; one that has not could use units of an
                earlier term on the next worker that it acquires.
            now_ms: Monotonic time.
        """
        pending = self.unsettled(now_ms)
        if pending or not self._acknowledged.issuperset(members):
            return False
        waited_ms = now_ms - self._list_required_after_ms
        settled = self._list_is_current() or waited_ms >= self._expiry_ms
        self._passed = self._passed or settled
        return settled

    def forget(self, worker_id: str) -> None:
        """Removes a worker that is gone and has no owner."""
        if not self.has_owner(worker_id):
            self._unowned_since_ms.pop(worker_id, None)

    def _list_is_current(self) -> bool:
        """Whether the list is newer than the term and the last lost member."""
        return self._list_read_ms > self._list_required_after_ms
