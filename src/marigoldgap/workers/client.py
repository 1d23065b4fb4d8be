"""HTTP client of one worker."""

from __future__ import annotations

import json

from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap.scheduling import model
from marigoldgap.workers import lease
from marigoldgap.workers import model as workers_model
from marigoldgap.workers import wire

# Renewal, poll and stop run beside each other.
_CONTROL_CONNECTIONS = 4
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_MILLISECONDS_PER_SECOND = 1_000
# Margin over the time for which a worker may hold a long poll.
_POLL_MARGIN_S = 0.5


class WorkerClient:
    """Speaks the worker interface of section 3.3 with one worker.

    Control and tasks use separate connections, so that long requests never
    delay a renewal.

    Args:
        worker: The worker; only its id and address are used.
        owner: Id of this instance.
        control_timeout_s: Limit for each control exchange.
        traffic: Counts the bytes of control exchanges.
    """

    def __init__(
        self,
        worker: model.WorkerInfo,
        owner: str,
        control_timeout_s: float,
        traffic: http_client.HttpTraffic | None = None,
    ) -> None:
        self._worker_id = worker.worker_id
        self._address = worker.address
        self._owner = owner
        self._control_timeout_s = control_timeout_s
        self._control = http_client.HttpClient(_CONTROL_CONNECTIONS, traffic)
        self._connections = 1
        self._tasks = http_client.HttpClient(self._connections)

    async def limit_connections(self, connections: int) -> None:
        """Sets how many tasks may have a connection side by side."""
        if connections == self._connections:
            return
        previous = self._tasks
        self._connections = connections
        self._tasks = http_client.HttpClient(max(1, connections))
        await previous.close()

    async def request_lease(
        self, ttl_ms: int, known_epoch: int, since_seq: int
    ) -> wire.LeaseAnswer:
        """Asks for the lease, or renews it.

        Raises:
            LeaseHeldError: Another instance holds it.
            ConnectFailedError: The worker cannot be reached.
            OutcomeUnknownError: The answer was lost.
            ProtocolError: The answer is malformed.
        """
        answer = await self._post(
            "/v1/lease",
            {
                "owner": self._owner,
                "ttl_ms": ttl_ms,
                "known_epoch": known_epoch,
                "since_seq": since_seq,
            },
        )
        if answer.status == _CONFLICT:
            raise _lease_held(answer.body)
        _require(answer, _OK)
        return wire.parse_lease(self._worker_id, answer.body)

    async def release(self, epoch: int) -> None:
        """Gives the lease back; an answer of any kind ends it here."""
        await self._post(
            "/v1/lease/release", {"owner": self._owner, "epoch": epoch}
        )

    async def changes(self, since_seq: int, wait_ms: int) -> wire.ChangesAnswer:
        """Waits for changes of job tasks for at most `wait_ms`."""
        answer = await self._control.exchange(
            "GET",
            self._address,
            f"/v1/changes?since={since_seq}&wait_ms={wait_ms}",
            timeout_s=wait_ms / _MILLISECONDS_PER_SECOND + _POLL_MARGIN_S,
        )
        _require(answer, _OK)
        return wire.parse_changes(self._worker_id, answer.body)

    async def run_request(
        self,
        task: model.TaskSpec,
        payload: bytes,
        permit: lease.StartPermit,
        before_send: http_client.BeforeSend,
    ) -> workers_model.WorkerAnswer:
        """Runs a request and returns its whole answer.

        Raises:
            WorkerRefusedError: The worker refused; the task did not run.
            ConnectFailedError: Nothing was sent.
            LeaseLostError: Raised by `before_send`; nothing was sent.
            OutcomeUnknownError: The task may have run.
        """
        answer = await self._tasks.exchange(
            "POST",
            self._address,
            _task_path(task.task_id),
            _start_headers(task, permit, wire.MODE_REQUEST),
            payload,
            before_send=before_send,
        )
        _raise_refusal(answer)
        # A different id means that this is the answer to another request.
        if answer.headers.get(wire.HEADER_TASK_ID) != task.task_id:
            raise errors.OutcomeUnknownError(
                f"status {answer.status} without the id of the task"
            )
        return workers_model.WorkerAnswer(
            answer.status, answer.headers, answer.body, self._worker_id
        )

    async def start_job_task(
        self,
        task: model.TaskSpec,
        payload: bytes,
        permit: lease.StartPermit,
        before_send: http_client.BeforeSend,
    ) -> None:
        """Starts a job task; errors as for `run_request`."""
        answer = await self._tasks.exchange(
            "POST",
            self._address,
            _task_path(task.task_id),
            _start_headers(task, permit, wire.MODE_JOB),
            payload,
            timeout_s=self._control_timeout_s,
            before_send=before_send,
        )
        _raise_refusal(answer)
        if answer.status != _ACCEPTED:
            raise errors.OutcomeUnknownError(f"status {answer.status}")

    async def act(self, task_id: str, action: str, epoch: int) -> str:
        """Stops, checkpoints or throttles a task.

        Returns:
            The state of the task after the action.

        Raises:
            WorkerRefusedError: The worker refused the action.
            OutcomeUnknownError: There is no usable answer.
        """
        answer = await self._post(
            f"{_task_path(task_id)}/{action}", {"epoch": epoch}
        )
        if answer.status == _CONFLICT:
            raise errors.WorkerRefusedError(wire.refusal_code(answer.body))
        _require(answer, _OK)
        return str(wire.parse_object(answer.body).get("state", ""))

    async def close(self) -> None:
        """Closes idle connections; running requests still get answers."""
        await self._control.close()
        await self._tasks.close()

    async def _post(
        self, path: str, message: dict[str, object]
    ) -> http_client.HttpAnswer:
        return await self._control.exchange(
            "POST",
            self._address,
            path,
            {"Content-Type": "application/json"},
            json.dumps(message).encode(),
            timeout_s=self._control_timeout_s,
        )


def _task_path(task_id: str) -> str:
    return f"/v1/tasks/{http_client.quote(task_id)}"


def _start_headers(
    task: model.TaskSpec, permit: lease.StartPermit, mode: str
) -> dict[str, str]:
    return {
        "Content-Type": "application/octet-stream",
        wire.HEADER_EPOCH: str(permit.epoch),
        wire.HEADER_VALID_UNTIL: str(permit.valid_until_ms),
        wire.HEADER_MODE: mode,
        wire.HEADER_TASK: wire.task_header(task),
    }


def _raise_refusal(answer: http_client.HttpAnswer) -> None:
    """Raises the worker's refusal; tasks never answer with this status."""
    if answer.status != _CONFLICT:
        return
    code = wire.refusal_code(answer.body)
    if code not in wire.REFUSALS:
        raise errors.OutcomeUnknownError(f"conflict with code {code!r}")
    raise errors.WorkerRefusedError(code)


def _lease_held(body: bytes) -> errors.MarigoldgapError:
    fields = wire.parse_object(body)
    try:
        remaining_ms = int(fields.get("remaining_ms", 0))
    except (TypeError, ValueError):
        remaining_ms = 0
    return errors.LeaseHeldError(str(fields.get("holder", "")), remaining_ms)


def _require(answer: http_client.HttpAnswer, status: int) -> None:
    if answer.status != status:
        raise errors.ProtocolError(f"unexpected status {answer.status}")
