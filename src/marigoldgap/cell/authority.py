"""Limits what a leader may do while the store does not confirm it.

The store confirms a leader by each heartbeat that it accepts, as these check the
election row. The period after a confirmation counts from the moment at which the
heartbeat was sent: whoever is elected later can therefore tell when it has ended.

In an outage of the whole store nobody can be elected. The leader goes on then, while
each other instance vouches that it knows no later leader.
"""

from __future__ import annotations

from marigoldgap import clock
from marigoldgap import decision_log

_log = decision_log.DecisionLogger("authority")

# Time after the latest confirmation or vouching for which a leader may send starts.
START_PERIOD_S = 2.0
# Time after it at which the last lease that the leader grants ends.
LEASE_PERIOD_S = 6.5
# Share by which the clocks of two machines may differ in speed.
_CLOCK_DRIFT = 0.02
# Longest time from the check whether a start may be sent until it is sent.
_SEND_S = 0.5
# Times after which the starts that a former leader sends, and the leases that it
# granted, have ended on any clock.
FORMER_STARTS_S = (START_PERIOD_S + _SEND_S) * (1 + _CLOCK_DRIFT)
FORMER_LEASES_S = LEASE_PERIOD_S * (1 + _CLOCK_DRIFT) + 0.1


class Authority:
    """What the leader may do at present.

    Args:
        confirmed_s: Monotonic time, in seconds, at which the claim that won the
            election was sent.
    """

    def __init__(self, confirmed_s: float) -> None:
        self._confirmed_s = confirmed_s
        # Time of the latest confirmation or vouching.
        self._valid_from_s = confirmed_s
        self._has_stopped = False
        # Time since which starts are suspended; infinite if they are not.
        self._suspended_s = float("inf")
        self._could_start = True

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the latest heartbeat that the store accepted was sent."""
        return clock.now_s() - self._confirmed_s

    def may_start(self) -> bool:
        """Returns whether starts of runs may be sent."""
        age_s = clock.now_s() - self._valid_from_s
        is_stopped = self._has_stopped or self.is_suspended
        can_start = not is_stopped and age_s < START_PERIOD_S
        if can_start != self._could_start:
            self._could_start = can_start
            _log.warning(
                "starts_resumed" if can_start else "starts_paused",
                unconfirmed_s=round(self.unconfirmed_s, 3),
                age_s=round(age_s, 3),
                is_stopped=is_stopped,
            )
        return can_start

    def limit_lease_s(self, lease_s: float) -> float:
        """Returns for how many seconds a lease may be granted; 0 for not at all.

        Args:
            lease_s: Wanted duration in seconds.
        """
        end_s = self._valid_from_s + LEASE_PERIOD_S
        return max(0.0, min(lease_s, end_s - clock.now_s()))

    def confirm(self, sent_s: float) -> None:
        """Records that the store accepted a heartbeat.

        Args:
            sent_s: Monotonic time, in seconds, at which it was sent.
        """
        self._confirmed_s = max(self._confirmed_s, sent_s)
        if sent_s >= self._suspended_s:
            self.resume_starts()
        self._valid_from_s = max(self._valid_from_s, sent_s)

    def vouch(self, asked_s: float) -> None:
        """Records that no other instance knows a later leader.

        Args:
            asked_s: Monotonic time, in seconds, at which they were asked.
        """
        self._valid_from_s = max(self._valid_from_s, asked_s)

    @property
    def is_suspended(self) -> bool:
        """Whether starts are suspended for an offer of the leadership."""
        return self._suspended_s < float("inf")

    def suspend_starts(self) -> None:
        """Sends no starts while the leadership is offered to other instances.

        They are resumed when the store confirms this leader again.
        """
        self._suspended_s = clock.now_s()

    def resume_starts(self) -> None:
        """Sends starts again, as certainly no instance took an offer."""
        self._suspended_s = float("inf")

    def stop_starts(self) -> None:
        """Sends no further starts, as the leadership is about to be released."""
        self._has_stopped = True
