"""HTTP client of one worker."""

from __future__ import annotations

import json

from marigoldgap import errors
from marigoldgap import http_client
from marigoldgap.scheduling import model
from marigoldgap.workers import lease
from marigoldgap.workers import model as workers_model
from marigoldgap.workers import wire

# Renewals, polls and stops run concurrently.
_CONTROL_CONNECTIONS = 4
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_MILLISECONDS_PER_SECOND = 1_000
# Added to the wait of a long poll for the timeout of the exchange.
_POLL_MARGIN_S = 0.5


class WorkerClient:
    """Client of the worker interface in section 3.3 of the design page.

    Control exchanges and tasks use separate connections, so that long requests
    never delay a lease renewal.

    Args:
        worker: The worker; only its id and address are used.
        owner: Id of this instance.
        control_timeout_s: Timeout of each control exchange in seconds.
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
        """Sets the maximum number of concurrent connections for tasks."""
        if connections == self._connections:
            return
        previous = self._tasks
        self._connections = connections
        self._tasks = http_client.HttpClient(max(1, connections))
        await previous.close()

    async def request_lease(
        self, ttl_ms: int, known_epoch: int, since_seq: int
    ) -> wire.LeaseAnswer:
        """Acquires or renews the lease.

        Args:
            ttl_ms: Requested duration of the lease.
            known_epoch: Epoch of the held lease; 0 requests a new epoch with
                an inventory.
            since_seq: Sequence number after which changes are requested.

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
        _require_status(answer, _OK)
        return wire.parse_lease(self._worker_id, answer.body)

    async def release(self, epoch: int) -> None:
        """Releases the lease; the status of the answer is ignored."""
        await self._post(
            "/v1/lease/release", {"owner": self._owner, "epoch": epoch}
        )

    async def poll_changes(
        self, since_seq: int, wait_ms: int
    ) -> wire.ChangesAnswer:
        """Polls for changes of job tasks for at most `wait_ms`.

        Raises:
            ConnectFailedError: The worker cannot be reached.
            OutcomeUnknownError: The answer was lost.
            ProtocolError: The answer is malformed.
        """
        answer = await self._control.exchange(
            "GET",
            self._address,
            f"/v1/changes?since={since_seq}&wait_ms={wait_ms}",
            timeout_s=wait_ms / _MILLISECONDS_PER_SECOND + _POLL_MARGIN_S,
        )
        _require_status(answer, _OK)
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
        # Another id means that this is the answer to another request.
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
        """Starts a job task; raises the errors of `run_request`."""
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
            raise errors.OutcomeUnknownError(
                f"worker {self._worker_id} answered the start of job task "
                f"{task.task_id} with status {answer.status} instead of "
                f"{_ACCEPTED}"
            )

    async def apply_action(self, task_id: str, action: str, epoch: int) -> str:
        """Stops, checkpoints or throttles a task.

        Returns:
            The state of the task after the action.

        Raises:
            WorkerRefusedError: The worker refused the action.
            ConnectFailedError: The worker cannot be reached.
            OutcomeUnknownError: The answer was lost.
            ProtocolError: The answer is malformed.
        """
        answer = await self._post(
            f"{_task_path(task_id)}/{action}", {"epoch": epoch}
        )
        if answer.status == _CONFLICT:
            raise errors.WorkerRefusedError(wire.refusal_code(answer.body))
        _require_status(answer, _OK)
        return str(wire.parse_object(answer.body).get("state", ""))

    async def close(self) -> None:
        """Closes idle connections; requests in flight still get answers."""
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
    """Raises the refusal of a start.

    Only refusals have the status 409; tasks never answer with it.

    Raises:
        WorkerRefusedError: The code promises that the task did not run.
        OutcomeUnknownError: The code is unknown.
    """
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


def _require_status(answer: http_client.HttpAnswer, status: int) -> None:
    if answer.status != status:
        raise errors.ProtocolError(
            f"the worker answered with status {answer.status} instead of "
            f"{status}"
        )
