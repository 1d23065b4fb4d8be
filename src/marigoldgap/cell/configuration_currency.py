"""Decides whether requests may be decided by the known configuration.

The load that it answers is a change that arrives late: a large one on a shared
link, a slow store, an instance that was paused.
"""

from __future__ import annotations


def may_be_superseded(
    age_s: float, store_silence_s: float, apply_s: float
) -> bool:
    """Returns whether another configuration may have to be in force by now.

    Nothing may be decided by the known configuration then, neither that a request
    runs nor that its queue or key does not exist. An instance that is cut off from
    the store goes on with what it knows: it cannot get another configuration, and
    its availability zone would serve nobody.

    Args:
        age_s: Seconds since the store confirmed the configuration.
        store_silence_s: Seconds since the store last answered any call; 0 if it
            answered the latest one.
        apply_s: Seconds within which a change must be in force.
    """
    return age_s > apply_s >= store_silence_s
