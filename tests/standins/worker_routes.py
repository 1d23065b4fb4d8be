"""The HTTP interface of one worker (section 3.3 of the design page)."""

from __future__ import annotations

import json
from typing import Any

from marigoldgap.scheduling import model
from tests.standins import http
from tests.standins import worker_records
from tests.standins import worker_state


def create(state: worker_state.WorkerState) -> http.Router:
    """Returns the routes of one worker."""
    routes = _Routes(state)
    router = http.Router()
    router.add("POST", "/v1/lease", routes.lease)
    router.add("POST", "/v1/lease/release", routes.release)
    router.add("POST", "/v1/tasks/{task_id}", routes.start)
    router.add("POST", "/v1/tasks/{task_id}/{action}", routes.act)
    router.add("GET", "/v1/changes", routes.changes)
    router.add("GET", "/control/records", routes.records)
    router.add("POST", "/control/switches", routes.switches)
    return router


class _Routes:
    """Handlers of one worker."""

    def __init__(self, state: worker_state.WorkerState) -> None:
        self._state = state

    async def lease(self, request: http.Request) -> http.Response:
        """Grants or renews the lease."""
        state = self._state
        state.tick()
        values = request.json()
        now_ms = state.now_ms()
        owner = str(values["owner"])
        ttl_ms = int(values["ttl_ms"])
        known_epoch = int(values.get("known_epoch") or 0)
        grant = state.lease.request(owner, ttl_ms, known_epoch, now_ms)
        if not grant.epoch:
            refusal = {
                "code": "lease-held",
                "holder": state.lease.owner,
                "remaining_ms": state.lease.remaining_ms(now_ms),
            }
            return http.json_response(refusal, 409)
        if grant.is_new:
            state.records.add(
                "lease", worker_records.now_ms(), owner=owner, epoch=grant.epoch
            )
        since_seq = int(values.get("since_seq") or 0)
        return http.json_response(
            self._lease_answer(grant.is_new, ttl_ms, since_seq, now_ms)
        )

    async def release(self, request: http.Request) -> http.Response:
        """Ends the lease."""
        values = request.json()
        owner = str(values["owner"])
        epoch = int(values["epoch"])
        state = self._state
        if not state.lease.release(owner, epoch, state.now_ms()):
            return http.json_response({"code": "stale-epoch"}, 409)
        state.records.add(
            "release", worker_records.now_ms(), owner=owner, epoch=epoch
        )
        return http.json_response({})

    async def start(self, request: http.Request, task_id: str) -> http.Response:
        """Starts a task; in mode `request`, responds after its end."""
        start = _read_start(request, task_id, self._state.worker.worker_id)
        code = self._state.refusal(start)
        if code:
            return http.json_response({"code": code}, 409)
        done = self._state.run(start)
        headers = {"Marigoldgap-Task-Id": task_id}
        if start.mode == "job":
            return http.json_response({"state": "running"}, 202, headers)
        result = await done
        if result == "finished":
            return http.Response(200, _answer(start), headers)
        problem = {"code": f"task-{result}", "token": start.token}
        return http.json_response(problem, 500, headers)

    async def act(
        self, request: http.Request, task_id: str, action: str
    ) -> http.Response:
        """Stops, checkpoints or throttles a task."""
        state = self._state
        values = request.json()
        if int(values["epoch"]) < state.lease.epoch:
            return http.json_response({"code": "stale-epoch"}, 409)
        attempt = values.get("attempt")
        if action == "throttle" and state.is_running(task_id):
            return http.json_response({"state": "running"})
        ends_as = "checkpointed" if action == "checkpoint" else "stopped"
        if action not in ("stop", "checkpoint", "throttle"):
            raise http.BadRequestError(f"unknown action {action}")
        result = state.stop(task_id, attempt, ends_as)
        return http.json_response({"state": result})

    async def changes(self, request: http.Request) -> http.Response:
        """Returns changes; waits up to `wait_ms` for one (long poll)."""
        since = int(request.query.get("since", 0))
        wait_ms = int(request.query.get("wait_ms", 0))
        state = self._state
        await state.wait_for_changes(since, wait_ms)
        answer = {
            "seq": state.seq,
            "changes": state.changes(since),
            "incarnation": state.incarnation,
        }
        return http.json_response(answer)

    async def records(self, _: http.Request) -> http.Response:
        """Returns the recorded events of the worker."""
        return http.json_response({"records": self._state.records.of_worker()})

    async def switches(self, request: http.Request) -> http.Response:
        """Sets the switches `leaving` and `fail_all`."""
        values = request.json()
        if "leaving" in values:
            self._state.set_leaving(bool(values["leaving"]))
        if "fail_all" in values:
            self._state.fail_all = bool(values["fail_all"])
        return http.json_response({})

    def _lease_answer(
        self, is_new: bool, ttl_ms: int, since_seq: int, now_ms: int
    ) -> dict[str, Any]:
        """Returns the body of the response that grants a lease."""
        state = self._state
        worker = state.worker._asdict()
        worker["capacity"] = state.worker.capacity._asdict()
        answer = {
            "epoch": state.lease.epoch,
            "ttl_ms": ttl_ms,
            "now_ms": now_ms,
            "incarnation": state.incarnation,
            "worker": worker,
            "state": "leaving" if state.leaving else "live",
            "seq": state.seq,
            "changes": state.changes(since_seq),
            "usage": state.usage(),
        }
        if is_new:
            answer["inventory"] = [
                {**task._asdict(), "resources": task.resources._asdict()}
                for task in state.inventory()
            ]
        return answer


def _read_start(
    request: http.Request, task_id: str, worker_id: str
) -> worker_records.Start:
    """Parses a request to start a task."""
    headers = request.headers
    fields = json.loads(headers["marigoldgap-task"])
    mode = headers["marigoldgap-mode"]
    if mode not in ("request", "job"):
        raise http.BadRequestError(f"unknown mode {mode}")
    if fields["task_id"] != task_id:
        raise http.BadRequestError(
            f"task id {fields['task_id']} differs from {task_id} in the path"
        )
    payload = _read_payload(request.body)
    run_ms = payload.get("run_ms", 0)
    return worker_records.Start(
        task=model.RunningTask(
            task_id=task_id,
            worker_id=worker_id,
            team=fields["team"],
            queue=fields["queue"],
            resources=_read_resources(fields["resources"]),
            job_id=fields.get("job_id", ""),
            attempt=int(fields.get("attempt", 0)),
        ),
        epoch=int(headers["marigoldgap-epoch"]),
        valid_until_ms=int(headers["marigoldgap-valid-until-ms"]),
        mode=mode,
        token=str(payload.get("token", "")),
        run_ms=None if run_ms is None else int(run_ms),
        answer_bytes=int(payload.get("answer_bytes", 0)),
        fail=bool(payload.get("fail", False)),
    )


def _read_resources(value: Any) -> model.Resources:
    """Parses resources, sent as an object or as an array."""
    if isinstance(value, dict):
        return model.Resources(**value)
    return model.Resources(*value)


def _read_payload(body: bytes) -> dict[str, Any]:
    """Parses a payload; that of a job may be a string that holds JSON."""
    try:
        value = json.loads(body)
        if isinstance(value, str):
            value = json.loads(value)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _answer(start: worker_records.Start) -> bytes:
    """Returns a body of the requested size that contains the token."""
    body = json.dumps({"token": start.token, "padding": ""})
    padding = "x" * max(0, start.answer_bytes - len(body))
    return json.dumps({"token": start.token, "padding": padding}).encode()
