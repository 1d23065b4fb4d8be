"""Prints the status of jobs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from marigoldgap.console import output

_COUNTS = ("waiting", "running", "finished", "failed")


def print_status(status: Mapping[str, Any], as_json: bool) -> None:
    """Prints the status of a job."""
    if as_json:
        output.print_json(status)
        return
    counts = ", ".join(f"{status.get(name, 0)} {name}" for name in _COUNTS)
    output.print_lines(
        [
            f"job {status['job_id']}: {status['state']}",
            f"{status['tasks']} tasks: {counts}",
        ]
    )
    if status.get("detail"):
        output.print_lines([status["detail"]])
