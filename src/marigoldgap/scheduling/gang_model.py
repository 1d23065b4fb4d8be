"""Types of the gang planner."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple

from marigoldgap.scheduling import model


class GangState(enum.Enum):
    """State of one gang; the last three states are final."""

    RESERVING = "reserving"
    READY = "ready"
    COMMITTED = "committed"
    RELEASED = "released"
    EXPIRED = "expired"


class Gang(NamedTuple):
    """Tasks that must all run at the same time.

    Attributes:
        tasks: Number of tasks, all of the same size.
        resources: Resources of each task.
    """

    job_id: str
    service: str
    tasks: int
    resources: model.Resources


class GangPlan(NamedTuple):
    """Number of tasks that each entry instance should reserve.

    Attributes:
        counts: Number of tasks for each entry instance.
        expires_ms: Time in milliseconds at which the reservation expires.
    """

    job_id: str
    counts: Mapping[str, int]
    expires_ms: int
