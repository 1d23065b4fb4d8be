"""Starts a serving process; imports no command line, to save memory."""

from __future__ import annotations

import asyncio
import sys

from marigoldgap import decision_log
from marigoldgap import errors
from marigoldgap.node import process
from marigoldgap.platform import node_settings

_log = decision_log.DecisionLogger("process")
_SETTINGS_EXIT_CODE = 2


def main() -> int:
    """Serves until a signal asks to stop; returns the exit code."""
    try:
        settings = node_settings.load(node_settings.path())
    except (OSError, errors.MarigoldgapError) as error:
        decision_log.configure("unknown")
        _log.error("settings_unusable", cause=str(error))
        return _SETTINGS_EXIT_CODE
    decision_log.configure(settings.name)
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings: process.node_settings.NodeSettings) -> None:
    await process.Process(settings).run()


if __name__ == "__main__":
    sys.exit(main())
