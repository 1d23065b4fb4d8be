"""Interfaces to the workers and the advice service."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from marigoldgap import errors
from marigoldgap.cell import model
from marigoldgap.cell import worker_process
from marigoldgap.web import client
from marigoldgap.web import messages

# Maximum number of workers in one call to the advice service.
MAX_ADVISED_WORKERS = 100


class FencedError(messages.ExchangeError):
    """The worker has accepted a higher fencing token."""

    code = "fenced"


class OtherIncarnationError(messages.ExchangeError):
    """Another worker or incarnation answers at this address."""

    code = "other-life"


class ReplacedProcessError(OtherIncarnationError):
    """Another process of the worker answers; the command was not sent."""

    code = "replaced-process"
    ran = errors.Ran.NO


class AdviceBusyError(messages.ExchangeError):
    """The advice service rejected a call: too many wait from this machine."""

    code = "advice-busy"
    ran = errors.Ran.NO


class Tickets(NamedTuple):
    """Answer of the advice service: workers that may run a step.

    Attributes:
        by_worker: Ticket by worker id.
        valid_ms: Time for which the tickets are valid.
    """

    by_worker: dict[str, str]
    valid_ms: float


class StartCommand(NamedTuple):
    """Command to start a run in one process of a worker.

    Attributes:
        name: Identifies the run.
        payload: Payload of the job, as submitted.
        process: The process, on whose clock the lease ends. Another one does
            not get the command.
        lease_until_ms: End of the lease in milliseconds on the clock of that
            process.
        fence: Fencing token: the epoch of the leader.
        saved: Latest saved progress of the task; empty if there is none.
        ticket: Ticket of the advice service; empty if not needed.
    """

    name: model.RunName
    payload: str
    process: worker_process.WorkerProcess
    lease_until_ms: int
    fence: int
    saved: str = ""
    ticket: str = ""


class WorkerPort(Protocol):
    """Commands to workers."""

    async def start(
        self,
        worker: model.Registration,
        command: StartCommand,
        timeout_s: float,
    ) -> model.StartAnswer:
        """Starts a run; idempotent for the same run name.

        Args:
            worker: Latest registration of the worker, which may be that of its
                next process.
            command: The command.
            timeout_s: Timeout of the call in seconds.
        """

    async def stop(
        self,
        worker: model.Registration,
        name: model.RunName,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Stops a run; returns whether the worker accepted the command."""

    async def renew(
        self,
        connection: client.Connection,
        worker: model.Registration,
        fence: int,
        seen_number: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> model.WorkerListing:
        """Renews the lease; returns the running and ended runs.

        Args:
            connection: Connection to the worker.
            worker: The worker.
            fence: Fencing token: the epoch of the leader.
            seen_number: Highest number of an ended run that is acknowledged;
                the worker no longer lists ended runs up to it.
            lease_until_ms: End of the lease, on the worker's clock; 0 to leave
                the lease unchanged.
            wait_ms: Time for which the worker may hold its answer until a run
                ends; 0 to answer at once.
        """


class AdvicePort(Protocol):
    """The service that advises which workers may run a step."""

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> Tickets:
        """Requests tickets for the workers that may run a step."""
