"""What a new leader knows of the starts and leases of the leader before it."""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap import decision_log
from marigoldgap.cell import authority

_log = decision_log.DecisionLogger("former")

# Leases of a leader that has released its leadership expire within 6 s on the
# worker's clock, which may be slow by 2%.
_RELEASED_LEASES_S = 6.3


class FormerLimits(NamedTuple):
    """Times at which a former leader has certainly ended.

    Attributes:
        starts_until_s: Monotonic time, in seconds, after which it sends no
            starts; minus infinity if it sent none after the election.
        leases_until_s: Monotonic time, in seconds, after which the leases that
            it granted have expired.
    """

    starts_until_s: float
    leases_until_s: float


def released(claimed_s: float) -> FormerLimits:
    """Returns the limits of a leader that stopped before the election.

    Args:
        claimed_s: Monotonic time in seconds of the claim.
    """
    return FormerLimits(float("-inf"), claimed_s + _RELEASED_LEASES_S)


def stopped(claimed_s: float) -> FormerLimits:
    """Returns the limits of a leader that sends no starts, but may grant leases.

    Args:
        claimed_s: Monotonic time in seconds of the claim.
    """
    return unconfirmed(claimed_s)._replace(starts_until_s=float("-inf"))


def unconfirmed(confirmed_s: float) -> FormerLimits:
    """Returns the limits of a leader that may not know of the election.

    Args:
        confirmed_s: Monotonic time, in seconds, after which the store or this
            instance has certainly not confirmed it.
    """
    return FormerLimits(
        confirmed_s + authority.FORMER_STARTS_S,
        confirmed_s + authority.FORMER_LEASES_S,
    )


class FormerLeader:
    """Knows which jobs the former leader may have started.

    These are all that were stored before its starts ended. A worker that has not
    answered yet may have runs of them.

    Args:
        limits: Times at which it has ended.
        claimed_s: Monotonic time, in seconds, at which the claim that won the
            election was sent.
        claim_version: Version of the store in which the claim was applied.
    """

    def __init__(
        self, limits: FormerLimits, claimed_s: float, claim_version: int
    ) -> None:
        self.leases_until_s = limits.leases_until_s
        self._starts_until_s = limits.starts_until_s
        # A version of the store from after the end of its starts.
        self._ended_version: int | None = None
        self.observe_version(claimed_s, claim_version)

    def observe_version(self, sent_s: float, version: int) -> None:
        """Handles a write that the store applied.

        Args:
            sent_s: Monotonic time, in seconds, at which it was sent.
            version: Version of the store in which it was applied.
        """
        if self._ended_version is None and sent_s >= self._starts_until_s:
            self._ended_version = version
            _log.info("former_starts_ended", version=version)

    def may_have_started(self, row_version: int) -> bool:
        """Returns whether it may have started a job.

        Args:
            row_version: Version of the store in which the job was stored; 0 if
                unknown.
        """
        return self._ended_version is None or row_version <= self._ended_version
