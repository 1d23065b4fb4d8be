"""Starts a serving process; imports no command line, to save memory."""

from __future__ import annotations

import asyncio
import sys

from marigoldgap import errors
from marigoldgap import logs
from marigoldgap.node import process
from marigoldgap.platform import node_settings

_log = logs.PartLogger("process")
_SETTINGS_EXIT_CODE = 2


def main() -> int:
    """Serves until a signal asks to stop; returns the exit code."""
    try:
        settings = node_settings.load(node_settings.path())
    except (OSError, errors.MarigoldgapError) as error:
        logs.configure("unknown", "info", json_lines=True)
        _log.error("The settings are unusable: %s", error)
        return _SETTINGS_EXIT_CODE
    logs.configure(settings.name, "info", json_lines=True)
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings: process.node_settings.NodeSettings) -> None:
    await process.Process(settings).run()


if __name__ == "__main__":
    sys.exit(main())
