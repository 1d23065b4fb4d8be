"""Types of the gang planner."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import NamedTuple

from marigoldgap.scheduling import model


class GangState(enum.Enum):
    """Progress of one gang; the last three are final."""

    RESERVING = "reserving"
    READY = "ready"
    COMMITTED = "committed"
    RELEASED = "released"
    EXPIRED = "expired"


class Gang(NamedTuple):
    """Tasks that must all run at once.

    Attributes:
        tasks: Number of tasks, all of the same size.
        resources: What each task needs.
    """

    job_id: str
    service: str
    tasks: int
    resources: model.Resources


class GangPlan(NamedTuple):
    """How many tasks each entry instance should reserve.

    Attributes:
        counts: Number of tasks for each entry instance.
        expires_ms: The reservation ends by itself at this time.
    """

    job_id: str
    counts: Mapping[str, int]
    expires_ms: int
