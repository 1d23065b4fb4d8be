"""A leader loses the store, and some workers the path to the next leader."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness"))

import deployment as deployments  # noqa: E402
import runs  # noqa: E402

_WORKERS = 10
# Two of ten workers (a share of 0.2) lose the path to one instance of seven.
_CUT_WORKERS = ("w0", "w1")
_CUT_S = 5.0
_STORE_CUT_S = 5.5
_PAUSE_S = 4.0
_ROUNDS = 8
_JOBS_PER_S = 24.0
_STEP = {"count": 2, "cpu": 1400, "memMb": 2900, "estimateMs": 640}


async def case(deployment, is_disturbed):
    stop = asyncio.Event()
    load = asyncio.create_task(_submit_until(deployment, stop))
    await asyncio.sleep(3.0)
    for _ in range(_ROUNDS):
        if not is_disturbed:
            await asyncio.sleep(_STORE_CUT_S + _PAUSE_S)
            continue
        name = deployment.leader()
        deployment.cut_from_store(name, True)
        for worker_id in _CUT_WORKERS:
            await deployment.cut_from_next_leader(worker_id, _CUT_S)
        await asyncio.sleep(_STORE_CUT_S)
        deployment.cut_from_store(name, False)
        await asyncio.sleep(_PAUSE_S)
    stop.set()
    await load
    await asyncio.sleep(5.0)
    found = runs.collect(deployment.worker_events(), deployment.events)
    total = sum(len(each) for each in found.values())
    deployment.note("case", "runs", tasks=len(found), runs=total)
    return runs.twice(found)


async def _submit_until(deployment, stop):
    pending = set()
    while not stop.is_set():
        job = deployments.new_job_id()
        body = {"spec": "ms=300-900", "steps": [_STEP]}
        task = asyncio.create_task(deployment.submit(job, body))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(random.expovariate(_JOBS_PER_S))
    await asyncio.gather(*pending)


if __name__ == "__main__":
    deployments.main(case, FOLDER, instances=7, workers=_WORKERS)
