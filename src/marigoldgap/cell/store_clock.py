"""Places the times of the store's clock on the clock of this instance."""

from __future__ import annotations

import collections

_MILLISECONDS_PER_SECOND = 1_000
# Age at which a comparison of the two clocks is dropped, and the number kept.
_MAX_AGE_S = 10.0
_MAX_COMPARISONS = 16
# The rates of two steady clocks differ by at most this share.
_MAX_RATE_ERROR = 0.02


class StoreClock:
    """Says at which time, at the earliest, the store answered a call.

    A call may be held open by the store, so that the time of its request says
    little about the age of its answer. An answer that states the store's time was
    given after the request was sent; together with that of a quick call, the time
    of a held answer is known to within the duration of the quick one.
    """

    def __init__(self) -> None:
        # Local time, in seconds, before which the store had not reached the
        # time in milliseconds.
        self._comparisons: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_COMPARISONS)
        )

    def answered_s(
        self, sent_s: float, received_s: float, store_ms: float | None
    ) -> float:
        """Returns the earliest time at which an answer can have been given.

        Args:
            sent_s: Time at which the request was sent, in seconds.
            received_s: Time at which the answer was complete, in seconds.
            store_ms: The store's time when it answered; None if not stated.
        """
        if store_ms is None:
            return sent_s
        answered_s = sent_s
        for earlier_s, earlier_ms in self._comparisons:
            passed_s = (store_ms - earlier_ms) / _MILLISECONDS_PER_SECOND
            if 0 <= passed_s <= _MAX_AGE_S:
                bound_s = earlier_s + passed_s * (1 - _MAX_RATE_ERROR)
                # A later time would mean that the store's clock has jumped.
                if bound_s <= received_s:
                    answered_s = max(answered_s, bound_s)
        self._comparisons.append((answered_s, store_ms))
        return answered_s
