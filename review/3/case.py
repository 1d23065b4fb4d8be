"""The leader is killed while a wide job with checkpoints is at work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402
import runs  # noqa: E402

_TASKS = 4_200
_STEP = {
    "count": _TASKS,
    "cpu": 45,
    "memMb": 150,
    "estimateMs": 20_000,
    "checkpoint": True,
}
# Share of the tasks whose end has been taken note of when the leader is killed.
_NOTED_SHARE = 0.2
_DOWN_S = 3.5


async def case(deployment, is_disturbed):
    job = deployments.new_job_id()
    body = {"spec": "ms=8000-40000 save", "steps": [_STEP]}
    is_accepted = await deployment.submit(job, body)
    deployment.note("case", "accepted", jobs=int(is_accepted))
    if not is_accepted:
        raise deployments.CannotRunError("the job was not accepted")
    while _noted(deployment) < _NOTED_SHARE * _TASKS:
        await asyncio.sleep(0.2)
    if is_disturbed:
        name = deployment.leader()
        deployment.kill(name)
        await asyncio.sleep(_DOWN_S)
        deployment.start_instance(name)
        deployment.note(name, "started")
    await asyncio.sleep(15)
    await deployment.state(job)
    found = runs.collect(deployment.worker_events(), deployment.events)
    total = sum(len(each) for each in found.values())
    deployment.note("case", "runs", tasks=len(found), runs=total)
    return runs.twice(found)


def _noted(deployment):
    return sum(
        each["what"] == "noted" and each["how"] == "done"
        for each in deployment.worker_events()
    )


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=4, workers=12)
