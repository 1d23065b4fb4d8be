"""Test environment: reproducible hypothesis runs and logs of failures."""

from __future__ import annotations

import sys

import hypothesis

# The latest lines of the log that are shown for a failed scenario.
_LOG_LINES_SHOWN = 40

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.load_profile("fixed")


def after_feature(context, feature):
    """Shows the captured log of each failed scenario."""
    del context
    for scenario in feature.walk_scenarios():
        lines = scenario.captured.log.splitlines()
        if scenario.status.has_failed() and lines:
            print(
                f"\nlog of scenario: {scenario.name}",
                *lines[-_LOG_LINES_SHOWN:],
                sep="\n",
                # Bypasses the capture of output during this hook.
                file=sys.__stderr__,
            )
