"""Current runs of all workers, and the check of the limits of workspaces."""

from __future__ import annotations

import json
import time
from typing import NamedTuple

# A limit that was replaced may be in force for this long.
_APPLY_S = 2.5
# Share by which the resources in use may exceed a limit before a start.
_TOLERANCE = 0.1
_DEFAULT_WORKSPACE = "team"
# Words of a payload that declare the resources of its tasks.
RESOURCE_WORDS = {"cpu": "cpu=", "memMb": "mem=", "gpu": "gpu="}


class _Run(NamedTuple):
    number: int
    spec: str


class FleetRuns:
    """Adds up what really runs of each workspace, also on unreachable workers.

    A payload names its workspace with the word `workspace=NAME`; without one,
    it belongs to the workspace `team`.

    Args:
        store: The metadata store, which has the limits.
    """

    def __init__(self, store):
        self._store = store
        self._runs = {}

    def __len__(self):
        return len(self._runs)

    def __iter__(self):
        """Yields the task and the worker of each run."""
        return iter(dict(self._runs))

    def begin(self, task, worker_id, number, spec):
        """Adds a run.

        Returns:
            The violations of limits that its start causes, as texts.
        """
        self._runs[task, worker_id] = _Run(number, spec)
        workspace = _workspace(spec)
        return [
            f"task {task} exceeds the limit of workspace {workspace}:"
            f" {used} of {limit} {resource} with it"
            for resource, limit in self._limits(workspace).items()
            if limit
            and (used := self.used(workspace, resource))
            > limit * (1 + _TOLERANCE) + amount(spec, RESOURCE_WORDS[resource])
        ]

    def end(self, task, worker_id):
        """Removes a run."""
        self._runs.pop((task, worker_id), None)

    def others(self, task):
        """Returns the worker and the number of each run of a task."""
        return tuple(
            (worker_id, run.number)
            for (name, worker_id), run in self._runs.items()
            if name == task
        )

    def used(self, workspace, resource):
        """Returns the amount of a resource that the runs of a workspace use."""
        return sum(
            amount(run.spec, RESOURCE_WORDS[resource])
            for run in self._runs.values()
            if _workspace(run.spec) == workspace
        )

    def _limits(self, workspace):
        """Returns the highest limits that may be in force; 0 means no limit."""
        oldest_s = time.monotonic() - _APPLY_S
        found = []
        replaced_s = float("inf")
        for stored_s, content in reversed(self._store.configurations):
            if replaced_s < oldest_s:
                break
            replaced_s = stored_s
            found += [
                tenant["cap"]
                for tenant in json.loads(content)["tenants"]
                if tenant["name"] == workspace
            ]
        return {
            resource: 0
            if any(not cap[resource] for cap in found)
            else max((cap[resource] for cap in found), default=0)
            for resource in RESOURCE_WORDS
        }


def amount(spec, word):
    """Returns the amount that a word of a payload states; 0 without it."""
    return int(spec.partition(word)[2].split()[0] if word in spec else 0)


def _workspace(spec):
    word = "workspace="
    if word not in spec:
        return _DEFAULT_WORKSPACE
    return spec.partition(word)[2].split()[0]
