"""Decides how soon an instance claims a vacant leadership.

The better an instance is placed, the sooner it claims, so that it wins. After
leaderships that failed, the others go first.
"""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap import decision_log
from marigoldgap import measures

_log = decision_log.DecisionLogger("election")

# Poll intervals of the preferred candidates and of all other instances. A large
# deployment has many of the latter, and each call to the store has a price.
_PREFERRED_POLL_S = 0.35
_OTHER_POLL_S = 1.2
# Longest claim delay at which an instance is a preferred candidate.
PREFERRED_MAX_DELAY_S = 0.15
# A read within this time shows that the store is in the same region.
_SAME_REGION_READ_S = 0.03
# Claim delay of an instance in another region than the store, and further
# delay for each core that an instance has less than _MAX_COUNTED_CORES.
_OTHER_REGION_DELAY_S = 0.5
_MISSING_CORE_DELAY_S = 0.15
# Cores above this number do not shorten the claim delay.
_MAX_COUNTED_CORES = 2.0
# Further delay of an instance whose link is thinner than this: it takes longer
# to read the state of the cell.
_THIN_LINK_MBPS = 50.0
_THIN_LINK_DELAY_S = 0.1
# Further delay after a leadership that failed, and time for which it applies. The
# delay doubles with each further one that failed at the same part, up to the maximum.
_FAILED_DELAY_S = 1.0
_MAX_FAILED_DELAY_S = 4.0
_FAILED_PERIOD_S = 10.0
# Time after which a failure does not count towards the next one.
_MAX_FAILURE_AGE_S = 60.0
# Failures in a row at the same part from which on each is logged as repeated.
_REPEATED_FAILURES = 3


class FailureBackoff:
    """Delays the claims of an instance whose leaderships fail."""

    def __init__(self) -> None:
        self._part = ""
        self._count = 0
        self._delay_s = 0.0
        self._failed_s = float("-inf")

    def record(self, part: str, now: float) -> int:
        """Records a leadership that failed.

        Args:
            part: Part of the leader that failed.
            now: Current monotonic time in seconds.

        Returns:
            The number of failures in a row at this part.
        """
        is_repeated = (
            part == self._part and now - self._failed_s < _MAX_FAILURE_AGE_S
        )
        self._count = self._count + 1 if is_repeated else 1
        self._delay_s = (
            min(2 * self._delay_s, _MAX_FAILED_DELAY_S)
            if is_repeated
            else _FAILED_DELAY_S
        )
        self._part = part
        self._failed_s = now
        return self._count

    def delay_s(self, now: float) -> float:
        """Returns the further delay of a claim, in seconds.

        Args:
            now: Current monotonic time in seconds.
        """
        if now - self._failed_s >= _FAILED_PERIOD_S:
            return 0.0
        return self._delay_s


class Candidacy:
    """How well an instance is placed to lead.

    Args:
        cores: Processor cores of the instance.
        link_mbps: Rate of its link in Mbit/s; 0 if unknown.
    """

    def __init__(self, cores: float, link_mbps: float) -> None:
        self._cores = cores
        self._link_mbps = link_mbps
        # Fastest read so far: shows the distance to the store, not its load.
        self._fastest_read_s = float("inf")
        self._backoff = FailureBackoff()

    @property
    def is_in_store_region(self) -> bool:
        """Whether the store is in the same region."""
        return self._fastest_read_s <= _SAME_REGION_READ_S

    @property
    def claim_delay_s(self) -> float:
        """Seconds before a claim, so that better placed instances go first."""
        missing_cores = max(0.0, _MAX_COUNTED_CORES - self._cores)
        delay_s = _MISSING_CORE_DELAY_S * missing_cores
        if not self.is_in_store_region:
            delay_s += _OTHER_REGION_DELAY_S
        if 0 < self._link_mbps < _THIN_LINK_MBPS:
            delay_s += _THIN_LINK_DELAY_S
        return delay_s + self._backoff.delay_s(clock.now_s())

    @property
    def is_preferred(self) -> bool:
        """Whether this instance is a preferred candidate."""
        return self.claim_delay_s <= PREFERRED_MAX_DELAY_S

    @property
    def poll_interval_s(self) -> float:
        """Seconds between two polls of the election."""
        return _PREFERRED_POLL_S if self.is_preferred else _OTHER_POLL_S

    def record_read(self, took_s: float) -> None:
        """Records the duration, in seconds, of a read of the store."""
        self._fastest_read_s = min(self._fastest_read_s, took_s)

    def record_failure(self, part: str, epoch: int) -> None:
        """Records a leadership of this instance that failed.

        Args:
            part: Part of the leader that failed.
            epoch: Epoch of the leadership.
        """
        now = clock.now_s()
        count = self._backoff.record(part, now)
        measures.LEADERSHIP_FAILURES.labels(part).inc()
        if count >= _REPEATED_FAILURES:
            _log.error(
                "leadership_fails_repeatedly",
                epoch=epoch,
                task=part,
                failures=count,
                delay_s=self._backoff.delay_s(now),
            )
