"""Times that a caller's deadline allows."""

from __future__ import annotations

# Deadline of a request for which the caller gives none, in seconds.
DEFAULT_S = 3.0
# Pause between two attempts of a call to the store.
RETRY_PAUSE_S = 0.05
# Share of the caller's deadline after which an unknown outcome is reported;
# the rest is left for a retry at another instance.
_WAIT_SHARE = 0.45


def submission_wait_s(deadline_s: float) -> float:
    """Returns the seconds after which a submission has an answer at the latest.

    Args:
        deadline_s: Time for which the caller waits, in seconds.
    """
    return _WAIT_SHARE * deadline_s
