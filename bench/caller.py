"""Client that sends work and records the outcomes."""

from __future__ import annotations

import random
from typing import Any

from bench import cluster
from bench import exchange
from bench import observations
from bench import plans
from marigoldgap import clock
from marigoldgap import identifiers

_DEADLINE_MS = 10_000
# A request may start as late as its deadline and then run; the peers may need
# as long again to detect a fault.
_REPLY_TIMEOUT_S = 30.0
_PROBLEM = "application/problem+json"
_FIRST_ERROR_STATUS = 400


class Caller:
    """Sends work to the balancers of all zones.

    Args:
        target: The deployment.
        source: Random generator of the load.
    """

    def __init__(self, target: cluster.Cluster, source: random.Random) -> None:
        self._target = target
        self._random = source
        self.submissions: list[observations.Submission] = []

    def random_other_zone(self, zone: str) -> str:
        """Returns a random other zone, or this one if it is the only zone."""
        names = [each.name for each in self._target.layout.zones]
        others = [name for name in names if name != zone]
        return self._random.choice(others or names)

    def random_zone(self) -> str:
        """Returns a random zone, weighted by its number of entry instances."""
        zones = self._target.layout.zones
        weights = [zone.entries for zone in zones]
        return self._random.choices(zones, weights)[0].name

    async def request(
        self,
        plan: plans.RequestPlan,
        token: str,
        zone: str,
        key: str | None = None,
    ) -> observations.Submission:
        """Sends a request and returns its recorded outcome.

        Args:
            plan: Request to send.
            token: Token in payload and answer; also the Idempotency-Key.
            zone: Zone whose balancer gets the request.
            key: Key to use instead of the team's key.
        """
        headers = self.authorization(plan.team, key)
        headers["Marigoldgap-Deadline-Ms"] = str(_DEADLINE_MS)
        headers["Marigoldgap-Idempotent"] = str(plan.idempotent).lower()
        if plan.has_idempotency_key:
            headers["Idempotency-Key"] = token
        payload = {
            "token": token,
            "run_ms": plan.run_ms,
            "answer_bytes": plan.answer_bytes,
            "fail": False,
        }
        sent = self._new_submission(plan, token, zone, headers)
        path = f"/v1/queues/{plan.queue}/requests"
        reply = await self._send("POST", zone, path, payload, headers)
        done = classify(sent, reply)
        if done.outcome == "answered":
            done = done._replace(
                correct=is_correct(reply, token, plan.answer_bytes)
            )
        self.submissions.append(done)
        return done

    async def submit(
        self, plan: plans.JobPlan, token: str, zone: str
    ) -> tuple[observations.Submission, str]:
        """Submits a job; returns its outcome and, if accepted, its id."""
        headers = self.authorization(plan.team)
        sent = self._new_submission(plan, token, zone, headers)
        reply = await self._send(
            "POST", zone, "/v1/jobs", job_body(plan, token), headers
        )
        done = classify(sent, reply)
        job_id = ""
        if reply is not None and done.outcome == "answered":
            job_id = _job_id(reply)
        self.submissions.append(done)
        return done, job_id

    async def send(
        self, method: str, zone: str, path: str, team: str, value: Any = None
    ) -> exchange.Reply | None:
        """Sends another request for a team; returns None without a reply."""
        return await self._send(
            method, zone, path, value, self.authorization(team)
        )

    def authorization(
        self, team: str, key: str | None = None
    ) -> dict[str, str]:
        """Returns the Authorization header; empty if no key is needed."""
        if key is None and team:
            key = self._target.keys[team].key
        return {"Authorization": f"Bearer {key}"} if key else {}

    def _new_submission(
        self,
        plan: plans.Plan,
        token: str,
        zone: str,
        headers: dict[str, str],
    ) -> observations.Submission:
        """Returns the new submission, whose outcome is still unknown."""
        key = headers.get("Authorization", "").removeprefix("Bearer ")
        return observations.Submission(
            token=token,
            use=plan.use,
            team=plan.team or self._target.layout.open_team,
            key_id=key.partition(".")[0],
            zone=zone,
            idempotent=plan.idempotent,
            idempotency_key=headers.get("Idempotency-Key", ""),
            sent_ms=clock.monotonic_ms(),
        )

    async def _send(
        self,
        method: str,
        zone: str,
        path: str,
        value: Any,
        headers: dict[str, str],
    ) -> exchange.Reply | None:
        """Sends to the balancer of a zone; returns None without a reply."""
        address = self._target.wired.services.balancers[zone]
        try:
            return await self._target.client.send(
                method, address, path, value, headers, _REPLY_TIMEOUT_S
            )
        except exchange.NoReplyError:
            return None


def new_token() -> str:
    """Returns a unique token for a request."""
    return identifiers.new_token()


def job_body(plan: plans.JobPlan, token: str) -> dict[str, Any]:
    """Returns the request body that submits a job."""
    return {
        "queue": plan.queue,
        "tasks": plan.tasks,
        "gang": plan.gang,
        "resources": {
            "slots": 1,
            "connections": 1,
            "millicores": plan.millicores,
            "memory_mib": plan.memory_mib,
            "accelerators": 0,
        },
        "expected_run_ms": plan.expected_run_ms,
        "urgent": plan.urgent,
        "group": plan.group,
        "idempotent": plan.idempotent,
        "payload": {
            "token": token,
            "run_ms": plan.run_ms,
            "answer_bytes": 0,
            "fail": plan.fail,
        },
    }


def classify(
    sent: observations.Submission, reply: exchange.Reply | None
) -> observations.Submission:
    """Returns the submission with its outcome.

    A problem counts as a refusal only if it states that the work did not run.
    """
    done = sent._replace(done_ms=clock.monotonic_ms())
    if reply is None:
        return done._replace(code="no-reply")
    done = done._replace(status=reply.status)
    if not reply.headers.get("content-type", "").startswith(_PROBLEM):
        return done._replace(outcome="answered", ran="")
    problem = reply.json()
    if not isinstance(problem, dict):
        return done._replace(code="malformed-problem")
    ran = str(problem.get("ran", "unknown"))
    return done._replace(
        code=str(problem.get("code", "")),
        ran=ran,
        outcome="refused" if ran == "no" else "unknown",
    )


def is_correct(
    reply: exchange.Reply | None, token: str, answer_bytes: int
) -> bool:
    """Returns whether an answer is complete and has the token."""
    value = reply.json() if reply is not None else None
    if reply is None or not isinstance(value, dict):
        return False
    if value.get("token") != token:
        return False
    is_complete = len(reply.body) >= answer_bytes
    return is_complete or reply.status >= _FIRST_ERROR_STATUS


def _job_id(reply: exchange.Reply) -> str:
    """Returns the job id in the answer to a submission; empty if missing."""
    value = reply.json()
    if not isinstance(value, dict):
        return ""
    return str(value.get("id") or value.get("job_id") or "")
