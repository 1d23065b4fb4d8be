"""Faults of entry instances."""

from __future__ import annotations

import signal

from bench import faults
from bench import wiring

# The platform detects a dead instance only after up to this time.
_MAX_DETECTION_S = 3.0


@faults.fault("entry-kill")
async def entry_kill(context: faults.Context) -> None:
    """Kills an entry instance and restarts it later."""
    entry = context.claim_entry()
    if entry is None:
        return
    name = entry.instance_id
    context.record(f"entry-kill {name}")
    try:
        await context.target.kill_entry(entry)
        await context.pause(0.5, _MAX_DETECTION_S)
        if not context.is_ending and context.random.random() < 0.5:
            await context.target.controls.unlist_instance(name)
            await context.pause(0.5, 10)
        await _start(context, entry)
    finally:
        context.release(name)


@faults.fault("entry-freeze")
async def entry_freeze(context: faults.Context) -> None:
    """Pauses an entry instance, sometimes for longer than a lease lasts."""
    entry = context.claim_entry()
    if entry is None:
        return
    context.record(f"entry-freeze {entry.instance_id}")
    try:
        context.target.signal_entry(entry, signal.SIGSTOP)
        await context.pause(0.5, 15)
    finally:
        context.target.signal_entry(entry, signal.SIGCONT)
        context.release(entry.instance_id)


@faults.fault("rolling-restart")
async def rolling_restart(context: faults.Context) -> None:
    """Restarts the entry instances of a zone gracefully, one at a time."""
    zone = context.random.choice(context.target.layout.zones)
    entries = [
        entry for entry in context.target.wired.entries if entry.zone == zone
    ]
    for entry in entries:
        if context.is_ending or not context.claim(entry.instance_id):
            continue
        context.record(f"rolling-restart {entry.instance_id}")
        try:
            await context.target.controls.list_instance(
                entry.instance_id, state="leaving"
            )
            await context.target.stop_entry(entry)
            await _start(context, entry)
        finally:
            context.release(entry.instance_id)


async def _start(context: faults.Context, entry: wiring.Entry) -> None:
    """Restarts an entry instance, lists it as live and waits until ready."""
    await context.target.start_entry(entry)
    listed = context.target.wired.list_record(entry.instance_id)
    await context.target.controls.list_instance(
        entry.instance_id, **{**listed, "state": "live"}
    )
    await context.target.wait_ready(entry)
