"""Calls to workers: start and stop runs, renew leases."""

from __future__ import annotations

from typing import Any

from marigoldgap import json_object
from marigoldgap.cell import model
from marigoldgap.cell import ports
from marigoldgap.platform import decoding
from marigoldgap.web import client
from marigoldgap.web import messages

# Beyond the wait: two crossings between regions and a slow worker.
_ANSWER_SLACK_S = 0.8
_START_OUTCOMES = {
    "fence": model.StartOutcome.FENCED,
    "old": model.StartOutcome.OLD_RUN,
    "late": model.StartOutcome.LATE,
    "room": model.StartOutcome.NO_ROOM,
    "ticket": model.StartOutcome.NO_TICKET,
}
_ENDS = {
    "done": model.EndReason.DONE,
    "failed": model.EndReason.FAILED,
    "stopped": model.EndReason.STOPPED,
    "lapsed": model.EndReason.LAPSED,
    "broken": model.EndReason.BROKEN,
    "alone": model.EndReason.ALONE,
}
_EXPECTED_LIFE = "X-Expect-Instance"


class WorkerClient:
    """Orders to workers.

    Args:
        pool: Connections.
    """

    def __init__(self, pool: client.HttpPool) -> None:
        self._pool = pool

    async def start(
        self,
        worker: model.Registration,
        name: model.RunName,
        payload: str,
        lease_until_ms: int,
        fence: int,
        saved: str,
        ticket: str,
        timeout_s: float,
    ) -> model.StartAnswer:
        """Starts a run; repeating it for the same run is safe.

        Raises:
            NotConnectedError: Nothing was sent.
            NoAnswerError: The run may start, also seconds later.
        """
        body: dict[str, Any] = {
            "task": encode_task(name.task),
            "run": name.run,
            "spec": payload,
            # Wall time on the worker's clock at which its lease ends.
            "untilMs": lease_until_ms,
            "fence": fence,
        }
        if saved:
            body["saved"] = saved
        if ticket:
            body["ticket"] = ticket
        answer = await self._order(worker, "/v1/run-start", body, timeout_s)
        return model.StartAnswer(_start_outcome(answer), _clock_ms(answer))

    async def stop(
        self,
        worker: model.Registration,
        name: model.RunName,
        fence: int,
        timeout_s: float,
    ) -> bool:
        """Stops a run; a run that has not arrived yet will be refused.

        Returns:
            Whether the worker took the order.

        Raises:
            NotConnectedError: Nothing was sent.
            NoAnswerError: The run may be stopped, also seconds later.
        """
        body = {"task": encode_task(name.task), "run": name.run, "fence": fence}
        answer = await self._order(worker, "/v1/run-stop", body, timeout_s)
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
        """Renews the lease and reads what runs and what ended.

        Args:
            connection: Connection of this worker's life.
            worker: The worker.
            fence: Fencing token.
            seen_number: Ends up to this number are forgotten by the worker.
            lease_until_ms: End of the lease on the worker's clock; 0: as is.
            wait_ms: How long the worker may wait for an end.

        Raises:
            FencedError: A higher fencing token is in force.
            OtherIncarnationError: Another worker answers at this address.
            ExchangeError: No usable answer.
        """
        body: dict[str, Any] = {"fence": fence, "lastSeen": seen_number}
        if lease_until_ms:
            body["untilMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        content = json_object.encode(body)
        head = client.request_head(
            "POST",
            worker.address,
            "/v1/hold",
            len(content),
            ((_EXPECTED_LIFE, worker.worker_id),),
        )
        answer = await connection.exchange(
            head, content, wait_ms / 1000 + _ANSWER_SLACK_S
        )
        if answer.status == 409:
            raise ports.FencedError(
                f"{worker.worker_id} refused the fence {fence}"
            )
        if answer.status == 421:
            raise ports.OtherIncarnationError(f"{worker.worker_id} is gone")
        if answer.status != 200:
            raise messages.InvalidAnswerError(
                f"{worker.worker_id} answered {answer.status}"
            )
        return decode_listing(answer.body)

    async def _order(
        self,
        worker: model.Registration,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> messages.Response:
        return await self._pool.exchange(
            "POST",
            worker.address,
            path,
            json_object.encode(body),
            timeout_s,
            ((_EXPECTED_LIFE, worker.worker_id),),
        )


def encode_task(task: model.TaskName) -> str:
    """Returns the platform's name of a task."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.position}"


def decode_task(name: Any) -> model.TaskName:
    """Returns the task of a name.

    Raises:
        FormatError: The name has another form.
    """
    try:
        job_id, occurrence, step, index = name.split(".")
        return model.TaskName(job_id, int(occurrence), int(step), int(index))
    except (AttributeError, ValueError) as error:
        raise decoding.FormatError(f"task name {name!r}") from error


def decode_listing(content: bytes) -> model.WorkerListing:
    """Decodes the answer to a lease renewal.

    Raises:
        FormatError: It cannot be read.
    """
    fields = decoding.decode_object(content)
    try:
        running = tuple(_active(row) for row in fields["running"])
        ended = tuple(_ended(row) for row in fields["ended"])
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise decoding.FormatError(f"list of runs: {error}") from error
    return model.WorkerListing(
        decoding.integer(fields, "clockMs"),
        decoding.integer(fields, "born", 0),
        running,
        ended,
    )


def _active(row: Any) -> model.ActiveRun:
    name = model.RunName(decode_task(row[0]), int(row[1]))
    return model.ActiveRun(name, str(row[2]), float(row[3]))


def _ended(row: Any) -> model.EndedRun:
    name = model.RunName(decode_task(row[1]), int(row[2]))
    return model.EndedRun(int(row[0]), name, _ENDS[row[3]], str(row[4]))


def _start_outcome(answer: messages.Response) -> model.StartOutcome:
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


def _clock_ms(answer: messages.Response) -> int:
    if not answer.body:
        return 0
    return decoding.integer(decoding.decode_object(answer.body), "clockMs", 0)
