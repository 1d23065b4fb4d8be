"""A single entry instance without fault tolerance.

It serves to test the load tool by itself. With `--flaw` it violates one
guarantee, which the checker of the load tool must detect.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any
import uuid

import typer

from bench import exchange
from tests.standins import http
from tests.standins import process

_TTL_MS = 60_000
_SLOTS = 8
_FLAWS = ("", "run-twice", "false-refusal", "wrong-answer", "lost-job")


class SimpleEntry:
    """Runs each task on the first worker with a free slot."""

    def __init__(self, settings: dict[str, Any], flaw: str) -> None:
        self._settings = settings
        self._flaw = flaw
        self._client = exchange.Client()
        self._rules = {"version": 0, "text": "", "author": ""}
        self._teams: dict[str, str] = {}
        self._free: asyncio.Queue[tuple[str, dict[str, Any]]] = asyncio.Queue()
        self._jobs: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> SimpleEntry:
        """Leases all workers and starts listening."""
        address = self._settings["platform"]["list_address"]
        listed = await self._client.send("GET", address, "/v1/instances")
        for each in listed.json()["instances"]:
            if each["kind"] == "worker":
                await self._lease(each["address"])
        router = http.Router()
        router.add("GET", "/readyz", self._ready)
        router.add("GET", "/v1/operators/rules", self._show_rules)
        router.add("POST", "/v1/operators/rules", self._apply_rules)
        router.add("POST", "/v1/operators/keys", self._grant)
        router.add("POST", "/v1/queues/{queue}/requests", self._request)
        router.add("POST", "/v1/jobs", self._submit)
        router.add("GET", "/v1/jobs/{job_id}", self._show_job)
        router.add("DELETE", "/v1/jobs/{job_id}", self._cancel)
        await http.Server(router, self._settings["address"]).start()
        return self

    async def _lease(self, worker: str) -> None:
        """Acquires the lease of a worker and queues its slots as free."""
        value = {"owner": "simple", "ttl_ms": _TTL_MS, "known_epoch": 0}
        reply = await self._client.send("POST", worker, "/v1/lease", value)
        grant = reply.json()
        for _ in range(_SLOTS):
            self._free.put_nowait((worker, grant))

    async def _ready(self, _: http.Request) -> http.Response:
        return http.json_response({}, 200 if self._rules["version"] else 503)

    async def _show_rules(self, _: http.Request) -> http.Response:
        return http.json_response(self._rules)

    async def _apply_rules(self, request: http.Request) -> http.Response:
        self._rules = {**request.json(), "version": self._rules["version"] + 1}
        return http.json_response({"version": self._rules["version"]})

    async def _grant(self, request: http.Request) -> http.Response:
        key_id = uuid.uuid4().hex
        self._teams[key_id] = request.json()["team"]
        key = {"key": f"{key_id}.x", "key_id": key_id}
        return http.json_response({**key, "version": 1})

    def _team(self, request: http.Request) -> str:
        """Returns the team of the API key, or `public` without a known key."""
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        return self._teams.get(key.partition(".")[0], "public")

    async def _request(
        self, request: http.Request, queue: str
    ) -> http.Response:
        """Runs a request and returns the response of the worker."""
        task_id = uuid.uuid4().hex
        team = self._team(request)
        arguments = ("request", team, queue, request.body)
        reply = await self._run(task_id, *arguments)
        if self._flaw == "run-twice":
            reply = await self._run(f"{task_id}-again", *arguments)
        if self._flaw == "false-refusal":
            problem = {"code": "overloaded", "ran": "no"}
            kind = {"Content-Type": "application/problem+json"}
            return http.json_response(problem, 503, kind)
        if self._flaw == "wrong-answer":
            return http.json_response({"token": "another"})
        return http.Response(reply.status, reply.body)

    async def _run(
        self, task_id: str, mode: str, team: str, queue: str, body: bytes
    ) -> exchange.Reply:
        """Runs a task on a worker with a free slot."""
        worker, grant = await self._free.get()
        resources = {"slots": 1, "connections": 1}
        task = {
            "task_id": task_id,
            "team": team,
            "queue": queue,
            "resources": resources,
            "job_id": task_id.partition("~")[0] if "~" in task_id else "",
        }
        headers = {
            "Marigoldgap-Epoch": str(grant["epoch"]),
            "Marigoldgap-Valid-Until-Ms": str(grant["now_ms"] + _TTL_MS),
            "Marigoldgap-Mode": mode,
            "Marigoldgap-Task": json.dumps(task),
        }
        try:
            return await self._client.send(
                "POST",
                worker,
                f"/v1/tasks/{task_id}",
                json.loads(body),
                headers,
                timeout_s=60,
            )
        finally:
            self._free.put_nowait((worker, grant))

    async def _submit(self, request: http.Request) -> http.Response:
        """Accepts a job and runs its tasks like requests."""
        job_id = f"zone.{uuid.uuid4().hex}"
        values = request.json()
        self._jobs[job_id] = "running"
        if self._flaw != "lost-job":
            task = asyncio.create_task(
                self._run_job(job_id, self._team(request), values)
            )
            self._tasks.add(task)
        return http.json_response({"id": job_id}, 201)

    async def _run_job(
        self, job_id: str, team: str, values: dict[str, Any]
    ) -> None:
        """Runs the tasks of a job concurrently; services run for 1 ms."""
        payload = values["payload"]
        if payload["run_ms"] is None:
            payload["run_ms"] = 1
        body = json.dumps(payload).encode()
        await asyncio.gather(
            *(
                self._run(
                    f"{job_id}~{index}",
                    "request",
                    team,
                    values["queue"],
                    body,
                )
                for index in range(values["tasks"])
            )
        )
        self._jobs[job_id] = "failed" if payload["fail"] else "finished"

    async def _show_job(self, _: http.Request, job_id: str) -> http.Response:
        return http.json_response({"state": self._jobs[job_id]})

    async def _cancel(self, _: http.Request, job_id: str) -> http.Response:
        return http.json_response({"cancelled": [job_id]})


def main(settings_file: str, flaw: str = "") -> None:
    """Run with SETTINGS_FILE until SIGTERM."""
    if flaw not in _FLAWS:
        raise typer.BadParameter(
            f"unknown flaw {flaw}; must be one of {_FLAWS}"
        )
    settings = json.loads(pathlib.Path(settings_file).read_text())
    process.run(SimpleEntry(settings, flaw).start)


if __name__ == "__main__":
    typer.run(main)
