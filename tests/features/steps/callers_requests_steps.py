"""Steps for the callers' API."""

from __future__ import annotations

import asyncio
import json

from behave import given
from behave import then
from behave import when

from marigoldgap import errors
from marigoldgap.coordination import model as coordination_model
from tests.fixtures import caller
from tests.fixtures import data_plane
from tests.fixtures import loops

_LARGEST_BODY = 400_000


class _JobsInMemory:
    """In-memory replacement for the jobs gateway."""

    def __init__(self):
        self.specs = {}
        self.cancelled = []
        self.cancel_calls = 0

    async def submit(self, spec):
        job_id = f"centro-a.{len(self.specs)}"
        self.specs[job_id] = spec
        return await self.status(job_id)

    async def status(self, job_id):
        if job_id not in self.specs:
            raise errors.NotFoundError(job_id)
        spec = self.specs[job_id]
        return coordination_model.JobStatus(
            job_id, spec.team, "waiting", spec.tasks
        )

    async def cancel(self, team, job_ids=(), group=""):
        self.cancel_calls += 1
        found = tuple(
            job_id
            for job_id, spec in self.specs.items()
            if spec.team == team and (job_id in job_ids or spec.group == group)
        )
        self.cancelled.extend(found)
        return found


@given("a callers API over 1 scripted worker")
def callers_api(context):
    async def start():
        context.jobs = _JobsInMemory()
        settings = {"queue": {"largest_body_bytes": _LARGEST_BODY}}
        context.plane = data_plane.Plane(
            1, 8, jobs=context.jobs, settings=settings
        )
        await context.plane.start()
        context.caller = caller.Caller(await context.plane.serve())

    loops.run(context, start())


@when("a caller sends a request of {size:d} bytes")
def large_request(context, size):
    context.sent = b"x" * size
    context.result = loops.run(context, context.caller.request(context.sent))


@when('a caller sends a request to a worker with the fault "{fault}"')
def request_with_fault(context, fault):
    context.plane.workers[0].faults = [fault]
    context.result = loops.run(context, context.caller.request(b"t1"))


async def _send_invalid(context, fault):
    send = context.caller.send
    path = "/v1/queues/status/requests"
    with_key = {"Authorization": caller.KEY}
    if fault == "no key":
        return await send("POST", path, b"t1", {"Accept": "*/*"})
    if fault == "an unknown queue":
        return await context.caller.request(b"t1", "nothing")
    if fault == "a bad deadline":
        return await context.caller.request(b"t1", Marigoldgap_Deadline_Ms="-1")
    if fault == "a bad flag":
        return await context.caller.request(b"t1", Marigoldgap_Idempotent="no")
    if fault == "a long key":
        return await context.caller.request(b"t1", Idempotency_Key="k" * 256)
    if fault == "a large body":
        return await context.caller.request(b"x" * (_LARGEST_BODY + 1))
    if fault == "a large chunked body":
        chunks = iter([b"x" * 1_000] * (_LARGEST_BODY // 1_000 + 1))
        return await send("POST", path, chunks, with_key)
    if fault == "an unknown method":
        return await send("PUT", path, b"t1")
    return await send("POST", "/v1/nothing", b"t1")


@when("a caller sends an invalid request with {fault}")
def invalid_request(context, fault):
    context.result = loops.run(context, _send_invalid(context, fault))


@then(
    'the caller gets status {status:d} with code "{code}" '
    'and ran "{ran_value}"'
)
def caller_gets_problem(context, status, code, ran_value):
    answer = context.result
    assert answer.status == status, answer
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.headers["marigoldgap-ran"] == ran_value
    problem = json.loads(answer.body)
    assert (problem["code"], problem["ran"]) == (code, ran_value), problem
    assert problem["status"] == status
    assert problem["detail"]


@then("the caller gets both values of each repeated header")
def repeated_headers(context):
    assert context.result.status == 200, context.result
    assert context.result.headers["vary"] == "a, b"
    cookies = context.result.headers["set-cookie"].split("\n")
    assert cookies == ["a=1", "b=2, c"]


@then("the caller gets status 200 and the complete response to its request")
def whole_answer(context):
    assert context.result.status == 200, context.result
    assert context.result.body == b"answer to " + context.sent


@then("the worker received no start message")
def no_start(context):
    assert context.plane.workers[0].starts == []


@when("a caller without a key sends a request to the open queue")
def open_queue(context):
    context.sent = b"t1"
    context.result = loops.run(
        context,
        context.caller.send(
            "POST", "/v1/queues/walk-in/requests", b"t1", {"Accept": "*/*"}
        ),
    )
    header = context.plane.workers[0].start_headers[0]["marigoldgap-task"]
    assert json.loads(header)["team"] == "public"


@then("{count:d} concurrent callers get the responses to their own requests")
def concurrent_callers(context, count):
    async def send_all():
        faults = ["late", "", "short run"] * count
        context.plane.workers[0].faults = faults[:count]
        return await asyncio.gather(
            *(
                context.caller.request(b"r%d" % number)
                for number in range(count)
            )
        )

    answers = loops.run(context, send_all())
    for number, answer in enumerate(answers):
        assert answer.body == b"answer to r%d" % number, answer


@when("a caller repeats a request with an idempotency key")
def request_twice(context):
    async def send_twice():
        first = await context.caller.request(b"t1", Idempotency_Key="k1")
        dispatcher = context.plane.dispatcher
        await loops.until(lambda: not dispatcher._background_tasks)
        return first, await context.caller.request(b"t1", Idempotency_Key="k1")

    context.results = loops.run(context, send_twice())


@then("the caller gets the recorded response and the work ran once")
def recorded_answer(context):
    first, second = context.results
    assert first.body == second.body == b"answer to t1"
    assert second.headers["marigoldgap-replayed"] == "true"
    assert len(context.plane.workers[0].ran) == 1


@then("healthz responds with 200, and readyz with 200 or 503 by readiness")
def readiness(context):
    async def statuses():
        found = []
        for reason in ("", "no configuration yet"):
            context.plane.ready.reason = reason
            for path in ("/healthz", "/readyz"):
                found.append((await context.caller.send("GET", path)).status)
        return found

    assert loops.run(context, statuses()) == [200, 200, 200, 503]


@then("a job goes through submission, status and cancellation")
def job_lifecycle(context):
    async def run_lifecycle():
        job = {
            "queue": "bundles",
            "tasks": 3,
            "resources": {"millicores": 500},
            "payload": {"evidence": 1},
        }
        status, created = await context.caller.json("POST", "/v1/jobs", job)
        assert (status, created["tasks"]) == (201, 3), created
        path = f"/v1/jobs/{created['job_id']}"
        status, shown = await context.caller.json("GET", path)
        assert (status, shown) == (200, created)
        spec = context.jobs.specs[created["job_id"]]
        assert (spec.team, spec.kind) == ("claims", "batch")
        assert spec.payload == b'{"evidence":1}'
        assert spec.resources.slots == 1
        status, cancelled = await context.caller.json("DELETE", path)
        assert cancelled == {"cancelled": [created["job_id"]]}

    loops.run(context, run_lifecycle())


@then("another team can neither read nor cancel the job")
def other_team(context):
    async def try_all():
        context.jobs.cancelled.clear()
        other = "Bearer desk-key"
        for method in ("GET", "DELETE"):
            status, problem = await context.caller.json(
                method, "/v1/jobs/centro-a.0", key=other
            )
            assert (status, problem["code"]) == (404, "not-found")
        status, _ = await context.caller.json(
            "POST", "/v1/jobs/cancel", {"ids": ["centro-a.0"]}, other
        )
        assert status == 200
        status, _ = await context.caller.json(
            "POST", "/v1/jobs/cancel", {"group": "all"}, ""
        )
        assert status == 401

    loops.run(context, try_all())
    assert context.jobs.cancelled == []


@then("cancelling {count:d} jobs takes one call")
def mass_cancel(context, count):
    async def cancel():
        context.jobs.cancel_calls = 0
        ids = [f"centro-a.{number}" for number in range(count)]
        return await context.caller.json(
            "POST", "/v1/jobs/cancel", {"ids": ids}
        )

    status, answer = loops.run(context, cancel())
    assert (status, answer["cancelled"]) == (200, ["centro-a.0"])
    assert context.jobs.cancel_calls == 1


@when("a caller submits a job with bad fields")
def bad_job(context):
    job = {
        "queue": "bundles",
        "tasks": 0,
        "resources": {"slots": "many"},
        "colour": "red",
    }
    context.result = loops.run(
        context,
        context.caller.send("POST", "/v1/jobs", json.dumps(job).encode()),
    )


@then('the error names the fields "{fields}"')
def names_fields(context, fields):
    detail = json.loads(context.result.body)["detail"]
    for field in fields.split(", "):
        assert f"{field}:" in detail, detail
