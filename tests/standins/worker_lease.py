"""The lease on a worker that its owner holds."""

from __future__ import annotations

from typing import NamedTuple


class Grant(NamedTuple):
    """Outcome of a lease request.

    Attributes:
        epoch: The granted epoch, or 0 if another owner holds the lease.
        is_new: Whether the epoch differs from the one the owner knew.
    """

    epoch: int
    is_new: bool = False


class Lease:
    """Lease state; times are in milliseconds on the worker's own clock.

    A lease gets a new epoch if it expired or if its holder does not know the
    current epoch (after a restart of the holder), so that starts sent under
    the old epoch are refused.
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._owner = ""
        self._until_ms = 0
        self._is_granted = False

    @property
    def epoch(self) -> int:
        """The epoch granted last."""
        return self._epoch

    @property
    def owner(self) -> str:
        """The last owner."""
        return self._owner

    def remaining_ms(self, now_ms: int) -> int:
        """Returns the remaining validity of the lease, 0 without a lease."""
        return max(0, self._until_ms - now_ms) if self._is_granted else 0

    def lapsed_ms(self, now_ms: int) -> int:
        """Returns for how long no lease has been valid."""
        return max(0, now_ms - self._until_ms)

    def request(
        self, owner: str, ttl_ms: int, known_epoch: int, now_ms: int
    ) -> Grant:
        """Grants or renews the lease unless another owner holds it."""
        held = self.remaining_ms(now_ms) > 0
        if held and owner != self._owner:
            return Grant(0)
        renewed = held and known_epoch == self._epoch
        if not renewed:
            self._epoch += 1
        self._owner = owner
        self._until_ms = now_ms + ttl_ms
        self._is_granted = True
        return Grant(self._epoch, not renewed)

    def release(self, owner: str, epoch: int, now_ms: int) -> bool:
        """Ends the lease if the caller holds it; returns whether it did."""
        if owner != self._owner or epoch != self._epoch or not self._is_granted:
            return False
        self._is_granted = False
        self._until_ms = min(self._until_ms, now_ms)
        return True

    def end(self, now_ms: int) -> None:
        """Ends the lease because the worker restarted; the epoch stays."""
        self._is_granted = False
        self._until_ms = now_ms
