"""State of runs, kept by the leader."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from marigoldgap.cell import model

if TYPE_CHECKING:
    from marigoldgap.cell import fleet
    from marigoldgap.cell import step_progress

# A run without progress for this long is stuck, unless one percent of its
# expected run time takes about as long.
_MIN_STUCK_S = 3.0
# Share of the expected run time without progress after which it is stuck.
_STUCK_SHARE = 0.04
_MAX_STUCK_DOUBLINGS = 6
# Below this progress the elapsed time does not predict the total run time.
_MIN_PERCENT = 8.0
# Expected remaining time of a run that is being stopped; a worker needs up to
# 0.9 s to stop one.
_STOP_S = 0.5
# Expected remaining time of a run that has exceeded its expected run time.
_MIN_REMAINING_S = 0.3


class RunState(enum.Enum):
    """State of a run as the leader knows it."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class Run:
    """One run of a task on a worker; holds its resources until it ends."""

    __slots__ = (
        "confirmed_s",
        "expected_s",
        "has_begun",
        "is_far",
        "is_sent",
        "is_timed",
        "is_unstarted",
        "name",
        "percent",
        "process",
        "progressed_s",
        "saved",
        "started_s",
        "state",
        "step",
        "worker",
    )

    def __init__(
        self,
        name: model.RunName,
        step: step_progress.StepProgress,
        worker: fleet.Worker,
        now: float,
    ) -> None:
        self.name = name
        self.step = step
        self.worker = worker
        # Process of the worker for which the run was planned.
        self.process = worker.process
        self.state = RunState.STARTING
        self.started_s = now
        # Time at which the worker first confirmed the run, by a listing or by
        # its answer to a command; infinite before that.
        self.confirmed_s = float("inf")
        # Whether its worker has answered its start or listed it.
        self.has_begun = False
        # Whether all commands to start it have certainly failed.
        self.is_unstarted = False
        # Whether a command to start it was sent that may be carried out.
        self.is_sent = False
        # Monotonic time of the latest change of `percent`.
        self.progressed_s = now
        self.percent = 0.0
        self.saved = ""
        # Whether its time shows how long a task takes: this leader has seen its
        # start, and it does not resume from saved progress.
        self.is_timed = False
        # Expected time in seconds when it was started, for the log; 0 for a run
        # that another leader started.
        self.expected_s = 0.0
        # Whether it runs outside the rack of its data.
        self.is_far = bool(step.spec.data_rack) and (
            worker.registration.rack != step.spec.data_rack
        )

    def remaining_s(self, now: float, expected_s: float) -> float:
        """Returns the estimated time in seconds until the run ends."""
        if self.state is RunState.STOPPING:
            return _STOP_S
        elapsed = now - self.started_s
        if self.percent >= _MIN_PERCENT:
            seen = self.progressed_s - self.started_s
            total = seen * 100 / self.percent
            return max(0.0, total - elapsed)
        return max(_MIN_REMAINING_S, expected_s - elapsed)


def stuck_after_s(expected_s: float, avoided_workers: int) -> float:
    """Returns the seconds without progress after which a run is stuck.

    Workers may list progress in whole percents, so a long run shows none for a
    while. The declared run time may be far too short: the limit doubles with
    each further worker on which the task has got no further.

    Args:
        expected_s: Expected run time of the task in seconds.
        avoided_workers: Number of workers that the task avoids.
    """
    limit_s = max(_MIN_STUCK_S, _STUCK_SHARE * expected_s)
    doublings = min(max(0, avoided_workers - 1), _MAX_STUCK_DOUBLINGS)
    return float(limit_s * 2**doublings)
