"""Runs a serving process; saves memory by not importing the command line."""

from __future__ import annotations

import signal
import sys

_SETTINGS_EXIT_CODE = 2


def main() -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code."""
    # Without this, a SIGHUP during the imports below would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio

    from marigoldgap import decision_log
    from marigoldgap import errors
    from marigoldgap.node import process
    from marigoldgap.platform import settings_file

    log = decision_log.DecisionLogger("process")
    try:
        settings = settings_file.load(settings_file.path())
    except (OSError, errors.MarigoldgapError) as error:
        decision_log.configure("unknown")
        log.error("settings_unusable", cause=str(error))
        return _SETTINGS_EXIT_CODE
    decision_log.configure(settings.name)
    asyncio.run(process.Process(settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
