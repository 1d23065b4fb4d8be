"""Waits until a change is in force in all zones and prints the result."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import typer

from marigoldgap import clock
from marigoldgap import errors
from marigoldgap.console import exit_codes
from marigoldgap.console import output
from marigoldgap.operators import messages

_POLL_MS = 500


async def wait_for_zones(
    zones: messages.Zones,
    fetch: Callable[[], Awaitable[messages.Zones]],
    wait_s: float,
) -> messages.Zones:
    """Polls until all zones have confirmed a change or the time-out ends.

    A failed request is printed and repeated.

    Args:
        zones: Confirmation of each zone as known so far.
        fetch: Requests the confirmations from an instance.
        wait_s: Time-out in seconds.

    Returns:
        The latest known confirmation of each zone.
    """
    deadline_ms = clock.monotonic_ms() + int(
        wait_s * clock.MILLISECONDS_PER_SECOND
    )
    with output.progress("waiting until the change is in force everywhere"):
        while not all(zones.values()) and clock.monotonic_ms() < deadline_ms:
            await asyncio.sleep(_POLL_MS / clock.MILLISECONDS_PER_SECOND)
            try:
                zones = await fetch()
            except errors.MarigoldgapError as error:
                output.print_note(f"asking again: {error.detail}")
    return zones


def print_zones(zones: messages.Zones) -> None:
    """Prints for each zone whether it has confirmed a change."""
    for zone, confirmed in sorted(zones.items()):
        state = "in force" if confirmed else "not confirmed yet"
        typer.echo(f"zone {zone}: {state}")


def exit_if_unconfirmed(zones: messages.Zones) -> None:
    """Ends the command with an error if a zone has not confirmed a change.

    Raises:
        typer.Exit: At least one zone has not confirmed.
    """
    unconfirmed = sorted(
        zone for zone, confirmed in zones.items() if not confirmed
    )
    if not unconfirmed:
        return
    output.print_note(
        f"not in force everywhere yet: {', '.join(unconfirmed)}; the change is "
        f"stored and reaches each zone when it can be reached again"
    )
    raise typer.Exit(exit_codes.NOT_IN_FORCE)
