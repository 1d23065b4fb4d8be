"""HTTP client of workers: starts and stops runs, renews leases."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from marigoldgap import errors
from marigoldgap import json_object
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.cell import worker_process
from marigoldgap.platform import decoding
from marigoldgap.platform import process_checks
from marigoldgap.web import client
from marigoldgap.web import messages
from marigoldgap.web import request_heads

# Ended runs in one answer of a worker; it withholds further ones until these are
# acknowledged.
_MAX_LISTED_ENDS = 500
# Time that a renewal may take beyond the wait that it requests: two trips
# between regions and a slow worker.
_RENEWAL_MARGIN_S = 0.8
_START_OUTCOMES = {
    "fence": model.StartOutcome.FENCED,
    "old": model.StartOutcome.OLD_RUN,
    "late": model.StartOutcome.LATE,
    "room": model.StartOutcome.NO_ROOM,
    "ticket": model.StartOutcome.NO_TICKET,
}
_END_REASONS = {
    "done": model.EndReason.DONE,
    "failed": model.EndReason.FAILED,
    "stopped": model.EndReason.STOPPED,
    "lapsed": model.EndReason.LAPSED,
    "broken": model.EndReason.BROKEN,
    "alone": model.EndReason.ALONE,
}
_EXPECTED_WORKER_HEADER = "X-Expect-Instance"


class WorkerClient:
    """Sends commands to workers.

    Args:
        pool: HTTP connection pool.
    """

    def __init__(self, pool: client.HttpPool) -> None:
        self._pool = pool
        self._checks = process_checks.ProcessChecks()

    async def start(
        self,
        worker: model.Registration,
        command: ports.StartCommand,
        timeout_s: float,
    ) -> model.StartAnswer:
        """Starts a run; the call is idempotent for each run.

        Args:
            worker: Latest registration of the worker, which may be that of its
                next process.
            command: The command. Its lease ends on the clock that the answers
                of the process give as `clockMs`.
            timeout_s: Timeout of the call in seconds.

        Raises:
            NotConnectedError: Nothing was sent.
            NoAnswerError: The run may start, even seconds later.
            InvalidAnswerError: The answer is malformed; the run may have
                started.
            ReplacedProcessError: Another process of the worker answers;
                nothing was sent.
        """
        body: dict[str, Any] = {
            "task": encode_task(command.name.task),
            "run": command.name.run,
            "spec": command.payload,
            "untilMs": command.lease_until_ms,
            "fence": command.fence,
        }
        if command.saved:
            body["saved"] = command.saved
        if command.ticket:
            body["ticket"] = command.ticket
        process = worker.address, command.process, command.fence

        async def check(connection: client.Connection) -> None:
            await self._checks.run(
                process,
                lambda: self._check_process(connection, worker, command),
            )

        answer = await self._send_command(
            worker, "/v1/run-start", body, timeout_s, check
        )
        try:
            return model.StartAnswer(
                _decode_start_outcome(answer), _decode_clock_ms(answer)
            )
        except decoding.FormatError as error:
            # The command has reached the worker, so the run may have started.
            raise messages.InvalidAnswerError(str(error)) from error

    async def _check_process(
        self,
        connection: client.Connection,
        worker: model.Registration,
        command: ports.StartCommand,
    ) -> None:
        """Checks that a connection leads to the process a command is meant for.

        The connections to a worker may have been silenced, so that its end is
        not known, although its next process has registered. That one has its id,
        but another clock and perhaps other labels. A connection does not outlive
        the process, so one check is enough.

        Raises:
            NotConnectedError: There is no usable answer; nothing was started.
            ReplacedProcessError: Another process answers.
        """
        try:
            listing = await self.renew(
                connection, worker, command.fence, 0, 0, 0
            )
        except ports.FencedError:
            raise
        except errors.MarigoldgapError as error:
            raise messages.NotConnectedError(
                f"process of worker {worker.worker_id} not confirmed: {error}"
            ) from error
        answering = worker_process.WorkerProcess(
            worker.worker_id, listing.born_ms
        )
        if answering.is_other(command.process):
            raise ports.ReplacedProcessError(
                f"worker {worker.worker_id} runs the process of"
                f" {listing.born_ms}, not of {command.process.born_ms}"
            )

    async def stop(
        self,
        worker: model.Registration,
        name: model.RunName,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Stops a run; the worker refuses a start of it that arrives later.

        Returns:
            Whether the worker accepted the command.

        Raises:
            NotConnectedError: Nothing was sent.
            NoAnswerError: The run may be stopped, even seconds later.
        """
        body = {"task": encode_task(name.task), "run": name.run, "fence": fence}
        answer = await self._send_command(
            worker, "/v1/run-stop", body, timeout_s
        )
        return answer.status == 200

    async def renew(
        self,
        connection: client.Connection,
        worker: model.Registration,
        fence: int,
        seen_number: int,
        lease_until_ms: int,
        wait_ms: int,
    ) -> model.WorkerListing:
        """Renews the lease; reads the active runs and those that ended.

        Args:
            connection: Connection to this incarnation of the worker.
            worker: The worker.
            fence: Fencing token.
            seen_number: Acknowledges ended runs up to this number; the worker
                discards them.
            lease_until_ms: New end of the lease in milliseconds on the worker's
                clock; 0 leaves it unchanged.
            wait_ms: Longest time that the worker waits for a run to end.

        Raises:
            FencedError: The worker has seen a higher fencing token.
            OtherIncarnationError: Another worker answers at this address.
            ExchangeError: There is no usable response.
            FormatError: The response body cannot be decoded.
        """
        body: dict[str, Any] = {"fence": fence, "lastSeen": seen_number}
        if lease_until_ms:
            body["untilMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        content = json_object.encode(body)
        head = request_heads.encode(
            "POST",
            worker.address,
            "/v1/hold",
            len(content),
            ((_EXPECTED_WORKER_HEADER, worker.worker_id),),
        )
        answer = await connection.exchange(
            head, content, wait_ms / 1000 + _RENEWAL_MARGIN_S
        )
        if answer.status == 409:
            raise ports.FencedError(
                f"worker {worker.worker_id} rejected fencing token {fence}"
            )
        if answer.status == 421:
            raise ports.OtherIncarnationError(
                f"another worker than {worker.worker_id} answers at"
                f" {worker.address}"
            )
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"worker {worker.worker_id} answered {answer.status}"
            )
        return decode_listing(answer.body)

    async def _send_command(
        self,
        worker: model.Registration,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        check: Callable[[client.Connection], Awaitable[None]] | None = None,
    ) -> messages.Response:
        return await self._pool.exchange(
            "POST",
            worker.address,
            path,
            json_object.encode(body),
            timeout_s,
            ((_EXPECTED_WORKER_HEADER, worker.worker_id),),
            check=check,
        )


def encode_task(task: model.TaskName) -> str:
    """Returns the name of a task in the format of the platform."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def decode_task(name: Any) -> model.TaskName:
    """Parses the name of a task in the format of the platform.

    Raises:
        FormatError: The name has a different format.
    """
    try:
        job_id, *numbers = name.split(".")
        occurrence, step, position = map(_decode_number, numbers)
    except (AttributeError, TypeError, ValueError) as error:
        raise decoding.FormatError(f"invalid task name {name!r}") from error
    return model.TaskName(job_id, occurrence, step, position)


def decode_listing(content: bytes) -> model.WorkerListing:
    """Decodes the answer to a lease renewal.

    Raises:
        FormatError: The answer is malformed.
    """
    fields = decoding.decode_object(content)
    try:
        running = tuple(_decode_active_run(row) for row in fields["running"])
        ended = tuple(_decode_ended_run(row) for row in fields["ended"])
    except (LookupError, OverflowError, TypeError, ValueError) as error:
        raise decoding.FormatError(
            "answer to a lease renewal: field 'running' or 'ended' is missing"
            f" or malformed: {error!r}"
        ) from error
    return model.WorkerListing(
        decoding.integer(fields, "clockMs"),
        decoding.integer(fields, "born", 0),
        running,
        ended,
        is_complete=len(ended) < _MAX_LISTED_ENDS,
    )


def _decode_active_run(row: Any) -> model.ActiveRun:
    name = model.RunName(decode_task(row[0]), _decode_number(row[1]))
    return model.ActiveRun(name, str(row[2]), float(row[3]))


def _decode_ended_run(row: Any) -> model.EndedRun:
    name = model.RunName(decode_task(row[1]), _decode_number(row[2]))
    return model.EndedRun(
        _decode_number(row[0]), name, _END_REASONS[row[3]], str(row[4])
    )


def _decode_number(value: Any) -> int:
    """Returns an integer from 0 to `model.MAX_INTEGER`.

    Raises:
        OverflowError: The value is infinite.
        TypeError: The value is not a number or a text.
        ValueError: The value is negative, too large or not a number.
    """
    number = int(value)
    if not 0 <= number <= model.MAX_INTEGER:
        raise ValueError(f"number {number:.3e} is out of range")
    return number


def _decode_start_outcome(answer: messages.Response) -> model.StartOutcome:
    if answer.status == 200:
        return model.StartOutcome.STARTED
    if answer.status == 409:
        reason = decoding.decode_object(answer.body).get("reason")
        return _START_OUTCOMES.get(str(reason), model.StartOutcome.REJECTED)
    if answer.status == 421:
        return model.StartOutcome.OTHER_LIFE
    if answer.status in (429, 503):
        return model.StartOutcome.UNHEALTHY
    return model.StartOutcome.REJECTED


def _decode_clock_ms(answer: messages.Response) -> int:
    if not answer.body:
        return 0
    return decoding.integer(decoding.decode_object(answer.body), "clockMs", 0)
