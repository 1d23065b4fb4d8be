"""Planned stops of instances, and the checks of what callers see of them."""

from __future__ import annotations

import asyncio
import datetime
import signal
import time
from typing import TYPE_CHECKING

from marigoldgap import errors
from soak import instances

if TYPE_CHECKING:
    from soak import world as worlds

# Connections that callers use until the process of a stopped instance is gone.
_CONNECTIONS_IN_USE = 8
# A connection may end without a response within this time after the last byte
# of the request was sent.
_LOSS_SLACK_S = 0.2
_POLL_S = 0.02


async def stop_in_use(
    world: worlds.World,
    instance: instances.Instance,
    signals: list[signal.Signals],
    max_gap_s: float = 0.0,
) -> None:
    """Sends signals to an instance while callers use open connections.

    Args:
        world: The run.
        instance: The instance.
        signals: The signals, in order; sent only to the current process.
        max_gap_s: Longest pause between two signals, in seconds.
    """
    connections = await world.callers.open_connections(
        instance, _CONNECTIONS_IN_USE
    )
    incarnation = instance.incarnation
    tasks = [
        asyncio.create_task(
            world.callers.use_until_closed(
                instance,
                connection,
                world.random_source.uniform(0, instances.SHUTDOWN_S),
            )
        )
        for connection in connections
    ]
    if incarnation is not None:
        tasks.append(
            asyncio.create_task(_check_end(world, instance.name, incarnation))
        )
    for signal_number in signals:
        if instance.incarnation is incarnation:
            instance.send_signal(signal_number)
        await asyncio.sleep(world.random_source.uniform(0, max_gap_s))
    await asyncio.gather(*tasks)


def lost_request(
    request: str,
    sent_s: float,
    incarnation: instances.Incarnation,
    cause: errors.MarigoldgapError,
) -> str | None:
    """Checks a request whose connection has just ended without an answer.

    Args:
        request: Method, job and instance.
        sent_s: Monotonic time at which it was sent, in seconds.
        incarnation: The process to which it was sent.
        cause: How the connection ended.

    Returns:
        The violation; None if the process had no planned stop, was disturbed,
        or may not have read the request.
    """
    ended_s = time.monotonic()
    stopped_s = incarnation.stop_requested_s
    if (
        stopped_s is None
        or incarnation.is_disturbed
        or ended_s - sent_s <= _LOSS_SLACK_S
    ):
        return None
    sigterm_at = datetime.datetime.now() - datetime.timedelta(
        seconds=ended_s - stopped_s
    )
    return (
        f"{request} was not answered: SIGTERM at {sigterm_at:%H:%M:%S.%f},"
        f" sent {sent_s - stopped_s:+.3f} s and connection ended"
        f" {ended_s - stopped_s:+.3f} s after it ({cause})"
    )


async def _check_end(
    world: worlds.World, name: str, incarnation: instances.Incarnation
) -> None:
    """Checks that an undisturbed process ends within its shutdown time."""
    while incarnation.is_running and not incarnation.is_disturbed:
        stopped_s = incarnation.stop_requested_s
        if (
            stopped_s is not None
            and time.monotonic() - stopped_s > instances.SHUTDOWN_S
        ):
            world.violations.append(
                f"{name} did not stop within {instances.SHUTDOWN_S} s of"
                " SIGTERM"
            )
            return
        await asyncio.sleep(_POLL_S)
