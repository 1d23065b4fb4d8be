"""Identity of one process of a worker.

A worker that restarts keeps its id, but not its clock, its runs, the numbers of
their ends, nor perhaps its labels. So a command is meant for one process, and an
answer counts only for the process that gave it.
"""

from __future__ import annotations

from typing import NamedTuple

from marigoldgap.cell import model


class WorkerProcess(NamedTuple):
    """One process of a worker.

    Attributes:
        worker_id: Identifier of the worker.
        born_ms: Wall time at which the process started, in milliseconds; 0 if
            unknown.
    """

    worker_id: str
    born_ms: int

    @property
    def is_known(self) -> bool:
        """Whether the process can be told from the next one of its worker."""
        return self.born_ms != 0

    def is_other(self, process: WorkerProcess) -> bool:
        """Returns whether two processes are certainly not the same one."""
        if self.worker_id != process.worker_id:
            return True
        return (
            self.is_known
            and process.is_known
            and self.born_ms != process.born_ms
        )


def of_registration(registration: model.Registration) -> WorkerProcess:
    """Returns the process of a worker that has registered."""
    return WorkerProcess(registration.worker_id, registration.born_ms)
