"""Faults that are planted in the product, to show that the model check finds them."""

from __future__ import annotations

import contextlib
from unittest import mock

from marigoldgap.cell import fleet
from marigoldgap.cell import job_tracker
from marigoldgap.cell import jobs
from marigoldgap.cell import recovery
from marigoldgap.cell import step_progress
from marigoldgap.cell import workspace_usage
from marigoldgap.platform import documents

_decode_job = documents.decode_job
_add_job = job_tracker.JobTracker.add


def _without_label(content):
    spec = _decode_job(content)
    steps = tuple(step._replace(required_label="") for step in spec.steps)
    return spec._replace(steps=steps)


def _without_cancellation(tracker, record, version):
    _add_job(tracker, record._replace(is_cancelled=False), version)


# Target, attribute and replacement by rule.
_FAULTS = {
    "TWICE": [(fleet.Worker, "is_lease_expired", lambda worker, now: True)],
    "LIMIT": [(fleet.Worker, "free", lambda worker: [10**6] * 3)],
    "ROUTE": [(documents, "decode_job", _without_label)],
    "ORDER": [(jobs.Job, "ready_steps", jobs.Job.open_steps)],
    "QUOTA": [
        (workspace_usage.WorkspaceUsage, "current", lambda usage: {}),
        (
            workspace_usage.WorkspaceUsage,
            "exceeds_limit",
            lambda usage, run: False,
        ),
    ],
    "UNASKED": [(job_tracker.JobTracker, "add", _without_cancellation)],
    "BUDGET": [
        (step_progress.StepProgress, "record_failure", lambda step, name: 0)
    ],
    "LOST": [
        (
            recovery.Recovery,
            "_restore_job",
            lambda recovery, row, progress: None,
        )
    ],
}
NAMES = tuple(_FAULTS)


def planted(name):
    """Returns a context in which the product has a fault.

    Args:
        name: The rule that it breaks; empty for no fault.
    """
    stack = contextlib.ExitStack()
    for target, attribute, replacement in _FAULTS.get(name, ()):
        stack.enter_context(mock.patch.object(target, attribute, replacement))
    return stack
