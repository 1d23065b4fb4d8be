"""Registry of placement policies by kind of work."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from marigoldgap import errors
from marigoldgap.scheduling import model


class CapacityView(Protocol):
    """Searches that a policy can use; none of them scans all workers."""

    def best_fit(
        self, task: model.TaskSpec, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the fewest free slots."""

    def worst_fit(
        self, task: model.TaskSpec, avoid: frozenset[str]
    ) -> str | None:
        """Returns a fitting worker with the most free slots."""

    def spread(self, task: model.TaskSpec, avoid: frozenset[str]) -> str | None:
        """Returns a fitting worker on the rack with the fewest group tasks.

        Tasks of the same team, queue and job form a group.
        """


class PlacementPolicy(Protocol):
    """Decides where a task of one kind runs and when it must start."""

    def choose(
        self, view: CapacityView, task: model.TaskSpec, avoid: frozenset[str]
    ) -> str | None:
        """Returns a worker for the task, or None if no worker fits."""

    def latest_start_ms(self, task: model.TaskSpec) -> int | None:
        """Returns the time by which the task should start, or None."""


_Policy = TypeVar("_Policy", bound=type)
_policies: dict[str, PlacementPolicy] = {}


def placement_policy(kind: str) -> Callable[[_Policy], _Policy]:
    """Registers the decorated class as the policy for a kind of work."""

    def register(policy: _Policy) -> _Policy:
        _policies[kind] = policy()
        return policy

    return register


def kinds() -> tuple[str, ...]:
    """Returns the kinds of work that have a policy."""
    return tuple(sorted(_policies))


def policy_of(kind: str) -> PlacementPolicy:
    """Returns the policy for a kind of work.

    Raises:
        NotFoundError: If there is no policy for the kind.
    """
    policy = _policies.get(kind)
    if policy is None:
        raise errors.NotFoundError(
            f"no placement policy {kind!r}; known: {', '.join(kinds())}"
        )
    return policy
