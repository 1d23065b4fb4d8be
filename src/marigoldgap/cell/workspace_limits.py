"""Decides how many tasks of a step the upper limit of its workspace allows."""

from __future__ import annotations

from collections.abc import Sequence

from marigoldgap.cell import model


def allowed_tasks(
    limit: model.Demand,
    used: Sequence[int],
    spec: model.StepSpec,
    requested: int,
    has_runs: bool,
) -> int:
    """Returns how many tasks may start.

    A step that could not start otherwise may exceed the limit by one task
    while the workspace uses less than half of it: a task that needs more
    than half of the limit would wait for as long as small ones run, and one
    that needs more than the limit for ever.

    Args:
        limit: Upper limit of the workspace; 0 means no limit on a resource.
        used: Resources that the workspace uses without these tasks.
        spec: The step.
        requested: Number of tasks that would start.
        has_runs: Whether other tasks of the step have runs.
    """
    allowed = requested
    for index, amount in enumerate(limit):
        need = spec.demand[index]
        if amount and need:
            allowed = min(allowed, (amount - used[index]) // need)
    allowed = max(0, allowed)
    needed = spec.task_count if spec.is_gang else 1
    if allowed < needed and not has_runs and _is_below_half(used, limit):
        allowed += 1
    return allowed


def _is_below_half(used: Sequence[int], limit: model.Demand) -> bool:
    """Returns whether less than half of each limited resource is used."""
    return all(
        2 * amount < most
        for amount, most in zip(used, limit, strict=True)
        if most
    )
