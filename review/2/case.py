"""More than 500 ends wait on a worker while the platform's store is down."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402
import runs  # noqa: E402

# 24 jobs of 60 tasks (the widest step of the site) on two workers.
_JOBS, _WIDTH = 24, 60
_OUTAGE_S = 4.5
_STEP = {"count": _WIDTH, "cpu": 20, "memMb": 64, "estimateMs": 7000}


async def case(deployment, is_disturbed):
    jobs = [deployments.new_job_id() for _ in range(_JOBS)]
    body = {"spec": "ms=8000-9000", "steps": [_STEP]}
    accepted = await asyncio.gather(
        *(deployment.submit(job, body) for job in jobs)
    )
    deployment.note("case", "accepted", jobs=sum(accepted))
    first_s = await _first_start_s(deployment)
    # The tasks end 8 to 9 s after their starts.
    await asyncio.sleep(max(0, first_s + 7.5 - deployments.time.monotonic()))
    if is_disturbed:
        deployment.store.is_down = True
        deployment.note("store", "down")
    await asyncio.sleep(_OUTAGE_S)
    deployment.store.is_down = False
    deployment.note("store", "up")
    await asyncio.sleep(18)
    for job in jobs[:2]:
        await deployment.state(job)
    found = runs.collect(deployment.worker_events(), deployment.events)
    total = sum(len(each) for each in found.values())
    deployment.note("case", "runs", tasks=len(found), runs=total)
    return runs.twice(found)


async def _first_start_s(deployment):
    while True:
        for event in deployment.worker_events():
            if event["what"] == "start":
                return event["t"]
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=4, workers=2)
